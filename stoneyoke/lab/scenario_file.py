"""Reads and checks scenario files."""

from collections.abc import Callable
from fnmatch import fnmatchcase
from pathlib import Path

import msgspec

from stoneyoke.lab.errors import InvalidScenario, UnknownFaultKind
from stoneyoke.lab.fault_kinds import REQUIRED_KEYS, FaultTarget, target_of
from stoneyoke.lab.scenario import Fault, Scenario, matching_processes


def read_scenario(path: Path) -> Scenario:
    """Reads a scenario file.

    Raises:
        InvalidScenario: The text is 'FILE: KEY: REASON'.
    """
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=Scenario)
        check(scenario)
    except OSError as error:
        raise InvalidScenario(f"{path}: can't be read: {error.strerror}") from error
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$")
        raise InvalidScenario(f"{path}: {where.rstrip('`').lstrip('.') or 'top'}: {reason}") from error
    except msgspec.DecodeError as error:
        raise InvalidScenario(f"{path}: no TOML: {error}") from error
    except InvalidScenario as error:
        raise InvalidScenario(f"{path}: {error}") from error
    return scenario


def check(scenario: Scenario) -> None:
    """Checks the constraints that the types alone don't express.

    Raises:
        InvalidScenario: The text is 'KEY: REASON'.
    """
    for check_part in CHECKS:
        check_part(scenario)


def _check_unique(key: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise InvalidScenario(f"{key}: {name!r} is given twice")


def _check_names(scenario: Scenario) -> None:
    _check_unique("method", [method.name for method in scenario.method])
    _check_unique("plan", [plan.name for plan in scenario.plan])


def _check_plans(scenario: Scenario) -> None:
    max_units = max(method.units for method in scenario.method)
    for index, plan in enumerate(scenario.plan):
        half_given = bool(plan.ceiling_rate) != bool(plan.ceiling_burst)
        if half_given or 0 < plan.ceiling_rate < plan.rate:
            raise InvalidScenario(f"plan[{index}].ceiling_rate: must be at least rate, and needs ceiling_burst")
        if plan.burst < max_units:
            raise InvalidScenario(f"plan[{index}].burst: is less than the units of the most expensive method")


def _check_methods(scenario: Scenario) -> None:
    for index, method in enumerate(scenario.method):
        if method.effect == "deduplicated" and not method.memory_ms:
            raise InvalidScenario(f"method[{index}].memory_ms: is required for a deduplicated method")
        if method.soft_ms > method.deadline_ms:
            raise InvalidScenario(f"method[{index}].soft_ms: is greater than deadline_ms")


def _check_faults(scenario: Scenario) -> None:
    for index, fault in enumerate(scenario.fault):
        _check_fault(scenario, fault, f"fault[{index}]")


def _check_fault(scenario: Scenario, fault: Fault, key: str) -> None:
    target = _known_target(fault.kind, f"{key}.kind")
    if fault.at_s > scenario.seconds:
        raise InvalidScenario(f"{key}.at_s: is after the end of the run at {scenario.seconds:g} s")
    if target == FaultTarget.LINK:
        names = scenario.process_names()
        for end, glob in (("from", fault.from_), ("to", fault.to)):
            if not any(fnmatchcase(name, glob or "*") for name in names):
                raise InvalidScenario(f"{key}.{end}: no process name matches {glob!r}")
    elif not matching_processes(scenario, fault):
        raise InvalidScenario(f"{key}.on: no process that {fault.kind!r} affects matches {fault.on!r}")
    required_key, missing_value = REQUIRED_KEYS.get(fault.kind, ("", None))
    if required_key and getattr(fault, required_key) == missing_value:
        raise InvalidScenario(f"{key}.{required_key}: is required for {fault.kind!r}")


def _check_random_faults(scenario: Scenario) -> None:
    for kind in scenario.random.kinds if scenario.random else ():
        _known_target(kind, "random.kinds")


def _known_target(kind: str, key: str) -> FaultTarget:
    try:
        return target_of(kind)
    except UnknownFaultKind as error:
        raise InvalidScenario(f"{key}: {error}") from error


def _check_bounds(scenario: Scenario) -> None:
    for index, bound in enumerate(scenario.bound):
        if bound.least is None and bound.most is None:
            raise InvalidScenario(f"bound[{index}]: has neither least nor most")


CHECKS: tuple[Callable[[Scenario], None], ...] = (
    _check_names,
    _check_plans,
    _check_methods,
    _check_faults,
    _check_random_faults,
    _check_bounds,
)
