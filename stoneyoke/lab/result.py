"""What is kept of a run, and how it is judged: from the ledger alone."""

import math
from pathlib import Path

import msgspec
import numpy as np
from msgspec import Struct

from stoneyoke.lab.fault_kinds import FaultTarget, target_of
from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.ledger_index import read_rows
from stoneyoke.lab.plan import Drawn
from stoneyoke.lab.rules import Violation
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.spread import Spread, Use, central, spread


class Result(Struct):
    """What is kept of a run, beside its ledger."""

    scenario: str
    seed: int
    plan: str  # a digest of all arrivals and faults
    verdict: str  # passed, failed, void, partial
    reasons: list[str]
    figures: dict[str, float]
    spread: dict[str, Spread]  # gateways 1 s, central 1 s, ...
    violations: list[Violation]
    crashes: list[str]
    seconds: float


def speeds_of(scenario: Scenario) -> list[float]:
    """Of the backends, about 1."""
    spread = scenario.backends.speed_spread
    return [round(1 + spread * math.sin(7.1 * (b + 1)), 4) for b in range(scenario.backends.count)]


def judge(
    out: Path,
    scenario: Scenario,
    drawn: Drawn,
    speeds: list[float],
    crashes: list[str],
    reasons: list[str],
    partial: str,
    seconds: float,
) -> Result:
    """From the ledger alone: rules, figures, spread, and what the scenario's bounds say of them."""
    ledger = Ledger(read_rows(out / "ledger"), scenario, drawn)
    violations, figures = ledger.violations(), ledger.figures()
    figures["violations"] = len(violations)
    spreads = spreads_of(ledger, scenario, speeds)
    for one in (1, 3):
        own, best = spreads[f"gateways {one} s"], spreads[f"central {one} s"]
        figures |= {f"spread {one} s": own.most, f"central {one} s": best.most, f"idle {one} s": own.idle}
        figures[f"spread {one} s to central"] = round(own.most / best.most, 3) if best.most else 0.0
    failed = [f"{len(crashes)} gateways crashed"] if crashes else []
    over = {row[2] for row in ledger.crashes if row[3] == "over its limits"}
    failed += [f"{name} went over its limits" for name in sorted(over)]
    failed += [
        f"rule {rule} broken {n} times"
        for rule in ("lost", "twice", "drain", "cold", "ceiling")
        if (n := sum(v.rule == rule for v in violations))
    ]
    for bound in scenario.bound:
        value = figures.get(bound.figure)
        if value is None:
            failed.append(f"no figure is named {bound.figure!r}")
        elif bound.least is not None and value < bound.least:
            failed.append(f"{bound.figure} is {value:g}, under {bound.least:g}")
        elif bound.most is not None and value > bound.most:
            failed.append(f"{bound.figure} is {value:g}, over {bound.most:g}")
    void = ledger.void()
    verdict = "partial" if partial else "void" if void else "failed" if failed else "passed"
    reasons = [*([partial] if partial else []), *([void] if void else []), *failed, *reasons]
    result = Result(
        scenario.name,
        drawn.seed,
        drawn.digest(),
        verdict,
        reasons,
        figures,
        spreads,
        violations,
        crashes,
        round(seconds, 1),
    )
    (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    return result


def spreads_of(ledger: Ledger, scenario: Scenario, speeds: list[float]) -> dict[str, Spread]:
    """How evenly backends were used over 1 s and 3 s, by the gateways and by a dispatcher that sees all."""
    places = {name: b for b, name in enumerate(scenario.backend_names())}
    end_us, step = int(scenario.seconds * 1e6), 250_000
    up = np.ones((end_us // step + 1, len(speeds)), dtype=bool)
    sick: dict[tuple[int, str], int] = {}
    for row in ledger.faults:
        if target_of(row[3]) != FaultTarget.BACKEND:
            continue
        for name in row[5]:
            if row[4]:
                sick[row[2], name] = row[1]
                up[max(0, row[1] // step) :, places[name]] = False
            else:  # it is healthy, and known to be, some seconds later
                up[min(len(up), row[1] // step + int(4e6 / step)) :, places[name]] = True
    uses = []
    for rpc in ledger.rpcs.values():
        for at, backend in rpc.calls:
            end = next((e for e, b, _ in rpc.ends if b == backend and e >= at), at + 1000)
            if (b := places.get(backend.removesuffix("-new"))) is not None:
                uses.append(Use(at, end - at, b))
    spreads = {}
    for seconds in (1, 3):
        window = seconds * 1_000_000
        healthy = np.array(
            [up[w * window // step : (w + 1) * window // step].all(axis=0) for w in range(max(1, end_us // window))]
        )
        spreads[f"gateways {seconds} s"] = spread(uses, speeds, healthy, window, end_us)
        spreads[f"central {seconds} s"] = spread(central(uses, speeds, up, step), speeds, healthy, window, end_us)
    return spreads
