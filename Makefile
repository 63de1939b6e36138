PYTHON = .venv/bin/python

.PHONY: build test lint run cluster clean

build: .venv  ## an environment with what the gateway needs, compiled as release builds run it

.venv: requirements.txt
	python3 -m venv .venv
	$(PYTHON) -m pip install -q -r requirements.txt
	$(PYTHON) -O -m compileall -q --invalidation-mode checked-hash stoneyoke .venv/lib

test: .venv  ## plain cases and seeded random runs
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	$(PYTHON) -m pytest -q -n 8 --dist loadgroup
	.venv/bin/ward

lint: .venv
	$(PYTHON) -m pip install -q -r requirements-dev.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

run: .venv  ## one gateway in this shell; NODE_CONFIG names its configuration
	exec $(PYTHON) -O -m stoneyoke

cluster: .venv  ## the whole system on this machine: three cores, two gateways, stand-in backends; Ctrl-C ends it
	$(PYTHON) -m pip install -q -r requirements-system.txt
	$(PYTHON) -m stoneyoke.lab.cluster

clean:
	rm -rf .venv .venv-ci target .mypy_cache .ruff_cache .pytest_cache .hypothesis
