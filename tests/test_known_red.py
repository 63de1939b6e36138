"""CI passes over the failures that KNOWN-RED.txt lists, and over nothing else."""

import importlib.util
import os
import subprocess
import sys
from pathlib import Path

import pytest

CI = Path(__file__).parent.parent / ".ci"
PYTEST_TESTS = "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
WARD_TESTS = """from ward import test

@test("it fails: always")
def _():
    assert False

@test("it passes")
def _():
    pass
"""
PYTEST_RED = "test_some.py::test_fails: pytest -k some, seed 3: the fault is known: issue 7\n"
PYTEST_GREEN = "test_some.py::test_passes: pytest -k some, seed 3: the fault is known: issue 7\n"
WARD_RED = "it fails: always: pytest -k some, seed 3: the fault is known: issue 7\n"
WARD_GREEN = "it passes: pytest -k some, seed 3: the fault is known: issue 7\n"


def load():
    spec = importlib.util.spec_from_file_location("known_red", CI / "known_red.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


known_red = load()


def run(folder, listed, *command):
    """A command of CI's in a folder with the list of known failures; its exit code and all it printed."""
    (folder / "KNOWN-RED.txt").write_text(listed)
    env = os.environ | {"KNOWN_RED_FILE": str(folder / "KNOWN-RED.txt"), "PYTHONPATH": str(CI)}
    env |= {"PYTEST_PLUGINS": "known_red_pytest", "PYTEST_ADDOPTS": ""}
    ran = subprocess.run([sys.executable, *command], cwd=folder, env=env, capture_output=True, text=True, timeout=60)
    return ran.returncode, ran.stdout + ran.stderr


def run_pytest(folder, listed, tests=PYTEST_TESTS):
    (folder / "test_some.py").write_text(tests)
    return run(folder, listed, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", ".")


def run_ward(folder, listed, tests=WARD_TESTS):
    (folder / "pyproject.toml").write_text("")
    (folder / "test_some.py").write_text(tests)
    return run(folder, listed, "-m", "ward", "--path", ".", "--hook-module", "known_red_ward")


def test_an_entry_is_read_from_its_end_and_comments_do_not_count():
    entries = known_red.parse(f"# none of these\n\n{WARD_RED}{PYTEST_RED}")
    assert entries == [
        ("it fails: always", "pytest -k some, seed 3", "the fault is known", "issue 7"),
        ("test_some.py::test_fails", "pytest -k some, seed 3", "the fault is known", "issue 7"),
    ]
    assert [entry.is_pytest for entry in entries] == [False, True]


@pytest.mark.parametrize(
    "text, says",
    [
        ("a::b: command 1: seen: issue 1\n" * 2, "twice"),
        ("a::b: seen: issue 1\n", "not `test id"),
        ("a::b: : seen: issue 1\n", "not `test id"),
        ("a::b: command 1: : issue 1\n", "not `test id"),
    ],
)
def test_a_list_that_cannot_be_used_is_refused(tmp_path, text, says):
    with pytest.raises(known_red.UnusableList, match=says):
        known_red.parse(text)
    code, said = run(tmp_path, text, str(CI / "known_red.py"))
    assert code == 1 and says in said


def test_the_number_of_entries_is_not_limited():
    assert len(known_red.parse("".join(f"a::b{n}: command 1: seen: issue 1\n" for n in range(20)))) == 20


def test_the_entries_are_printed_and_no_list_is_an_empty_one(tmp_path, monkeypatch):
    code, said = run(tmp_path, PYTEST_RED + WARD_RED, str(CI / "known_red.py"))
    assert code == 0
    for part in ("known red: 2", "it fails: always", "command: pytest -k some, seed 3", "known; issue: issue 7"):
        assert part in said
    monkeypatch.setenv("KNOWN_RED_FILE", str(tmp_path / "nowhere.txt"))
    assert known_red.read_list() == []


@pytest.mark.parametrize(
    "listed, passes, says",
    [
        (PYTEST_RED, True, "1 passed, 1 xfailed"),
        ("", False, "1 failed, 1 passed"),
        (PYTEST_GREEN, False, "2 failed"),  # one that fails and isn't listed, one that is listed and passes
        (PYTEST_RED + PYTEST_GREEN, False, "XPASS(strict)"),
        ("test_some.py::test_gone: pytest -k some, seed 3: the fault is known: issue 7\n", False, "no such test"),
    ],
)
def test_pytest_passes_over_listed_failures_alone(tmp_path, listed, passes, says):
    code, said = run_pytest(tmp_path, listed)
    assert (code == 0) is passes and says in said, said


@pytest.mark.parametrize(
    "listed, passes, says",
    [
        (WARD_RED, True, "known red, passed over: it fails: always"),
        (WARD_RED, True, "\n1 passed, 1 failed\n"),
        ("", False, "\n1 passed, 1 failed\n"),
        (WARD_GREEN, False, "\n0 passed, 2 failed\n"),
        (WARD_RED + WARD_GREEN, False, "\n0 passed, 2 failed\n"),
        ("it is gone: pytest -k some, seed 3: the fault is known: issue 7\n", False, "no such test: it is gone"),
    ],
)
def test_ward_passes_over_listed_failures_alone_and_tells_its_counts(tmp_path, listed, passes, says):
    code, said = run_ward(tmp_path, listed)
    assert (code == 0) is passes and says in said, said


def test_a_run_without_faults_and_without_a_list_passes(tmp_path):
    code, said = run_ward(tmp_path, "", WARD_TESTS.replace("assert False", "pass"))
    assert code == 0 and "\n2 passed, 0 failed\n" in said
    assert run_pytest(tmp_path, "", PYTEST_TESTS.replace("assert False", "pass"))[0] == 0
