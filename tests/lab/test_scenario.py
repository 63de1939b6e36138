"""Scenario files: an error is one line with the file and the key, and a seed always gives the same plan."""

import os
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stoneyoke.lab.cli import SHIPPED_SCENARIOS
from stoneyoke.lab.errors import InvalidScenario
from stoneyoke.lab.plan import draw_plan
from stoneyoke.lab.scenario_file import read_scenario

SMALL = (SHIPPED_SCENARIOS / "small.toml").read_text()


def write(folder, text):
    path = folder / "one.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    "old, new, key",
    [
        ("seconds = 14", "seconds = -1", "seconds"),
        ("seconds = 14", "", "top"),
        ("rps = 60", 'rps = "many"', "clients.rps"),
        ("rps = 60", "rps = 60\nrpm = 3", "clients"),
        ('count = 6\nzones = ["a", "b", "c"]\nskew', 'count = 0\nzones = ["a"]\nskew', "gateways.count"),
        ('on = "b/g001"', 'on = "b/g999"', "fault[1].on"),
        ('from = "a/g*"', 'from = "z/*"', "fault[0].from"),
        ('kind = "stop"', 'kind = "stopp"', "fault[2].kind"),
        ('kind = "stop"', 'kind = "slow"', "fault[2].on"),
        ("at_s = 9", "at_s = 99", "fault[5].at_s"),
        ("memory_ms = 5000", "", "method[1].memory_ms"),
        ("burst = 8", "burst = 1", "plan[0].burst"),
        ('name = "wide"', 'name = "basic"', "plan"),
        ("least = 0.5", "", "bound[0]"),
        ('name = "small"', "name = small", "no TOML"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line_with_file_and_key(tmp_path, old, new, key):
    assert old in SMALL
    path = write(tmp_path, SMALL.replace(old, new, 1))
    with pytest.raises(InvalidScenario) as error:
        read_scenario(path)
    text = str(error.value)
    assert text.startswith(f"{path}: ") and key in text and "\n" not in text


def test_all_shipped_scenarios_can_be_read():
    assert len([read_scenario(path) for path in SHIPPED_SCENARIOS.glob("*.toml")]) >= 11


def test_a_seed_gives_the_same_plan_in_another_process():
    scenario = read_scenario(SHIPPED_SCENARIOS / "small.toml")
    digest = draw_plan(scenario, 5).digest()
    assert digest == draw_plan(scenario, 5).digest() != draw_plan(scenario, 6).digest()
    other_process = subprocess.run(
        [sys.executable, "-m", "stoneyoke.single_gateway.cli", "lab", "run", "small", "--seed", "5", "--plan"],
        env=os.environ | {"PYTHONHASHSEED": "77", "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
    )
    assert other_process.stdout.strip() == digest, other_process.stderr


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 8))
def test_random_faults_start_within_the_run_and_name_its_processes(seed, faults):
    kinds = ["cut", "kill", "slow", "crash", "silent", "delay", "stop"]
    text = SMALL + f"\n[random]\nfaults = {faults}\nkinds = {kinds}\n".replace("'", '"')
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as folder:
        scenario = read_scenario(write(Path(folder), text))
    plan = draw_plan(scenario, seed)
    assert plan.digest() == draw_plan(scenario, seed).digest()
    names = set(scenario.process_names())
    assert all(set(s.processes) <= names and s.at_us >= 0 for s in plan.fault_events)
    assert all(s.at_us < scenario.seconds * 1e6 for s in plan.fault_events if s.begins)
    assert len({s.number for s in plan.fault_events}) == len(scenario.fault) + faults
    assert [a.at_us for a in plan.arrivals] == sorted(a.at_us for a in plan.arrivals)
