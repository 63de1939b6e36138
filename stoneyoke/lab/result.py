"""The result of a run, evaluated from the ledger alone."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import msgspec
import numpy as np
from msgspec import Struct

from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.ledger_index import read_rows
from stoneyoke.lab.ledger_rows import OVER_LIMITS
from stoneyoke.lab.plan import RunPlan
from stoneyoke.lab.rules import Rule, Violation
from stoneyoke.lab.scenario import Bound, Scenario
from stoneyoke.lab.spread import AttemptSpan, BoolMatrix, Spread, central_dispatch, measure_spread

SPREAD_WINDOWS_S = (1, 3)
HEALTH_STEP_US = 250_000  # time step of the health of backends, which counts as constant within a step
REINSTATEMENT_US = 4_000_000  # a backend counts as healthy so long after a fault, when the gateways must use it again
REPLACED_SUFFIX = "-new"  # appended to a backend's name to name the instance that replaces it


class Verdict(StrEnum):
    """The verdict on a run: the first that applies of PARTIAL, VOID and FAILED, otherwise PASSED."""

    PASSED = "passed"
    FAILED = "failed"
    VOID = "void"  # the laboratory itself was the bottleneck, so the run is no valid measurement
    PARTIAL = "partial"  # the run was interrupted


class Result(Struct):
    """The result of a run, as result.json stores it."""

    scenario: str
    seed: int
    plan: str  # digest of the run's plan
    verdict: str  # value of a Verdict
    reasons: list[str]
    figures: dict[str, float]
    spread: dict[str, Spread]  # "gateways 1 s", "central 1 s", ...
    violations: list[Violation]
    crashes: list[str]
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOutcome:
    """How a run ended, as far as the ledger doesn't show it."""

    seconds: float  # duration of the whole run, with the start and the shutdown of its processes
    crashes: list[str] = field(default_factory=list)  # one line for each gateway that exited unexpectedly
    reasons: list[str] = field(default_factory=list)  # further lines for the result's reasons
    partial: str = ""  # why the run was stopped early; empty if it was not


def backend_speeds(scenario: Scenario) -> list[float]:
    """Returns the relative speeds of the backends, about 1."""
    spread = scenario.backends.speed_spread
    return [round(1 + spread * math.sin(7.1 * (number + 1)), 4) for number in range(scenario.backends.count)]


def evaluate_run(out: Path, scenario: Scenario, plan: RunPlan, outcome: RunOutcome) -> Result:
    """Evaluates the ledger and writes the result into the run's folder.

    Args:
        out: The run's folder.
        scenario: The scenario of the run.
        plan: The plan that was drawn from the scenario and the seed.
        outcome: How the run ended.
    """
    ledger = Ledger(read_rows(out / "ledger"), scenario, plan)
    violations, figures = ledger.violations(), ledger.figures()
    figures["violations"] = len(violations)
    spreads = measure_spreads(ledger, scenario)
    figures |= spread_figures(spreads)
    failures = [
        *process_failures(ledger, outcome.crashes),
        *rule_failures(violations),
        *bound_failures(scenario.bound, figures),
    ]
    void_reason = ledger.void_reason()
    result = Result(
        scenario=scenario.name,
        seed=plan.seed,
        plan=plan.digest(),
        verdict=decide_verdict(outcome.partial, void_reason, failures),
        reasons=[*filter(None, (outcome.partial, void_reason)), *failures, *outcome.reasons],
        figures=figures,
        spread=spreads,
        violations=violations,
        crashes=outcome.crashes,
        seconds=round(outcome.seconds, 1),
    )
    (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    return result


def decide_verdict(partial: str, void_reason: str, failures: list[str]) -> Verdict:
    """Returns the verdict on a run.

    Args:
        partial: Why the run is partial; empty if it is not.
        void_reason: Why the run is void; empty if it is not.
        failures: The reasons for which the run failed.
    """
    if partial:
        return Verdict.PARTIAL
    if void_reason:
        return Verdict.VOID
    return Verdict.FAILED if failures else Verdict.PASSED


def process_failures(ledger: Ledger, crashes: list[str]) -> list[str]:
    """Returns a reason for crashed gateways, and one for each gateway that exceeded its limits."""
    failures = [f"{len(crashes)} gateways crashed"] if crashes else []
    over_limits = {row.gateway for row in ledger.crashes if row.change == OVER_LIMITS}
    return failures + [f"{gateway} went over its limits" for gateway in sorted(over_limits)]


def rule_failures(violations: list[Violation]) -> list[str]:
    """Returns a reason for each rule that was violated, with the number of violations."""
    counts = {rule: sum(violation.rule == rule for violation in violations) for rule in Rule}
    return [f"rule {rule} broken {count} times" for rule, count in counts.items() if count]


def bound_failures(bounds: list[Bound], figures: dict[str, float]) -> Iterator[str]:
    """Yields a reason for each figure that is missing or out of the scenario's bounds."""
    for bound in bounds:
        value = figures.get(bound.figure)
        if value is None:
            yield f"no figure is named {bound.figure!r}"
        elif bound.least is not None and value < bound.least:
            yield f"{bound.figure} is {value:g}, under {bound.least:g}"
        elif bound.most is not None and value > bound.most:
            yield f"{bound.figure} is {value:g}, over {bound.most:g}"


def spread_figures(spreads: dict[str, Spread]) -> dict[str, float]:
    """Returns the figures of how evenly the load was spread over the backends."""
    figures: dict[str, float] = {}
    for seconds in SPREAD_WINDOWS_S:
        own, central = spreads[f"gateways {seconds} s"], spreads[f"central {seconds} s"]
        figures[f"spread {seconds} s"] = own.most
        figures[f"central {seconds} s"] = central.most
        figures[f"idle {seconds} s"] = own.idle
        figures[f"spread {seconds} s to central"] = round(own.most / central.most, 3) if central.most else 0.0
    return figures


def measure_spreads(ledger: Ledger, scenario: Scenario) -> dict[str, Spread]:
    """Measures how evenly the gateways, and for comparison a central dispatcher, spread the load over the backends."""
    speeds, end_us = backend_speeds(scenario), int(scenario.seconds * 1e6)
    up = backends_up(ledger, scenario, end_us)
    spans = attempt_spans(ledger, scenario)
    central_spans = central_dispatch(spans, speeds, up, HEALTH_STEP_US)
    spreads = {}
    for seconds in SPREAD_WINDOWS_S:
        window_us = seconds * 1_000_000
        windows = range(max(1, end_us // window_us))
        healthy = np.array(
            [up[w * window_us // HEALTH_STEP_US : (w + 1) * window_us // HEALTH_STEP_US].all(axis=0) for w in windows]
        )
        spreads[f"gateways {seconds} s"] = measure_spread(spans, speeds, healthy, window_us, end_us)
        spreads[f"central {seconds} s"] = measure_spread(central_spans, speeds, healthy, window_us, end_us)
    return spreads


def backends_up(ledger: Ledger, scenario: Scenario, end_us: int) -> BoolMatrix:
    """Returns by step and backend whether the backend is healthy and the gateways must know that it is."""
    numbers = {name: number for number, name in enumerate(scenario.backend_names())}
    up = np.ones((end_us // HEALTH_STEP_US + 1, scenario.backends.count), dtype=bool)
    for fault in ledger.faults:
        if target_of(fault.kind) != FaultTarget.BACKEND:
            continue
        step = fault.at_us // HEALTH_STEP_US
        for name in fault.processes:
            if fault.begins:
                up[max(0, step) :, numbers[name]] = False
            else:
                up[min(len(up), step + REINSTATEMENT_US // HEALTH_STEP_US) :, numbers[name]] = True
    return up


def attempt_spans(ledger: Ledger, scenario: Scenario) -> list[AttemptSpan]:
    """Returns all attempts at backends. One without a response counts as in flight for 1 ms."""
    numbers = {name: number for number, name in enumerate(scenario.backend_names())}
    spans = []
    for client_try in ledger.tries.values():
        for attempt in client_try.attempts:
            number = numbers.get(attempt.backend.removesuffix(REPLACED_SUFFIX))
            if number is None:
                continue
            end = client_try.end_of(attempt)
            end_us = end.at_us if end else attempt.at_us + 1000
            spans.append(AttemptSpan(attempt.at_us, end_us - attempt.at_us, number))
    return spans
