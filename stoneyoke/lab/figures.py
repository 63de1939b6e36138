"""Figures of a run, from the ledger alone; and whether it says anything of the gateways."""

from collections import defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.rules import SLACK_US

LAG_MS = 100.0  # a stand-in that is later than this in one look of fifty was the limit itself


def void(index: LedgerIndex) -> str:
    """Why the run says nothing of the gateways, or nothing."""
    for name, lags in index.lags.items():
        late = sum(lag > LAG_MS for lag in lags)
        if len(lags) > 20 and late > 0.02 * len(lags):
            looks = f"{late} of {len(lags)} looks"
            return f"{name} was the limit: its event loop was over {LAG_MS:g} ms late in {looks}"
    return ""


def figures(index: LedgerIndex) -> dict[str, float]:
    """Shares are of 0 to 1, times in ms, memory in MB, CPU in ms an RPC."""
    scenario, end = index.scenario, index.scenario.seconds * 1e6
    # Number: inside, customer, method, gateway, at
    offered: dict[int, tuple[bool, int, int, int, int]] = {}
    quota: dict[int, tuple[float, int]] = {}
    for arrival in index.drawn.arrivals:
        plan = scenario.plan[index.drawn.customers[arrival.customer].plan]
        level, last = quota.get(arrival.customer, (plan.burst, arrival.at_us))
        level = min(plan.burst, level + plan.rate * (arrival.at_us - last) / 1e6)
        units = index.methods[arrival.method].units
        inside = level >= units
        quota[arrival.customer] = level - units * inside, arrival.at_us
        offered[arrival.number] = inside, arrival.customer, arrival.method, arrival.gateway, arrival.at_us
    ok: dict[int, int] = {}  # number: when it was served
    for rpc in index.rpcs.values():
        if rpc.status == 200 and rpc.answered <= rpc.until + SLACK_US:
            ok.setdefault(rpc.number, rpc.answered)
    worth = {
        n: index.methods[o[2]].utility
        * index.methods[o[2]].units
        * scenario.plan[index.drawn.customers[o[1]].plan].price
        for n, o in offered.items()
    }
    in_time = {
        n
        for n, at in ok.items()
        if n in offered and (at <= offered[n][4] + index.methods[offered[n][2]].soft_ms * 1000 + SLACK_US)
    }
    names = scenario.gateway_names()

    def share(keep: Any) -> float:
        asked = sum(worth[n] for n, o in offered.items() if o[0] and keep(o))
        served = sum(worth[n] for n in in_time if offered[n][0] and keep(offered[n]))
        return round(served / asked, 4) if asked else 1.0

    figures: dict[str, float] = {"goodput": share(lambda _: True)}
    for at, method in enumerate(index.methods):
        figures[f"goodput {method.name}"] = share(lambda o, at=at: o[2] == at)
    for at, plan in enumerate(scenario.plan):
        figures[f"goodput {plan.name}"] = share(lambda o, at=at: index.drawn.customers[o[1]].plan == at)
    for zone in scenario.zones():
        figures[f"goodput zone {zone}"] = share(lambda o, zone=zone: names[o[3]].startswith(zone + "/"))
    for third in range(3):
        figures[f"goodput third {third + 1}"] = share(lambda o, third=third: int(3 * o[4] / end) == third)
    sent, beyond, crossed, calls = 0.0, 0.0, 0, 0
    levels: dict[int, tuple[float, int]] = {}
    for at, id_ in sorted((rpc.calls[0][0], rpc.id) for rpc in index.rpcs.values() if rpc.calls):
        rpc = index.rpcs[id_]
        plan = scenario.plan[index.plan_of(rpc)]
        level, last = levels.get(rpc.customer, (plan.burst, at))
        level = min(plan.burst, level + plan.rate * (at - last) / 1e6)
        inside, units = level >= index.units(rpc), index.units(rpc)
        levels[rpc.customer] = level - units * inside, at
        sent, beyond = sent + units, beyond + units * (not inside)
        calls += len(rpc.calls)
        crossed += sum(rpc.gateway.split("/")[0] != backend.split("/")[0] for _, backend in rpc.calls)
    times = HdrHistogram(1, 60_000_000, 3)
    for rpc in index.rpcs.values():
        if rpc.status == 200:
            times.record_value(max(1, rpc.answered - rpc.sent))
    tries = len(index.rpcs)
    per = max(1, tries)
    figures |= {
        "tries": tries,
        "unmet": len(index.unmet),
        "refused": round(sum(rpc.status in (429, 503) for rpc in index.rpcs.values()) / per, 4),
        "aborted": round(sum(rpc.status not in (200, 429, 503) for rpc in index.rpcs.values()) / per, 4),
        "beyond quota": round(beyond / sent, 4) if sent else 0.0,
        "crossed zones": round(crossed / calls, 4) if calls else 0.0,
        "call-outs a try": round(calls / per, 4),
        "counter calls a try": round(index.counts / per, 4),
        "ms p50": times.get_value_at_percentile(50) / 1000,
        "ms p99": times.get_value_at_percentile(99) / 1000,
        "to sick s": calls_to_sick_a_second(index),
        "link MB": round(index.carried / 1e6, 2),
        "peer bytes s": round(index.between / scenario.seconds / scenario.gateways.count, 1),
        "peer messages s": round(index.messages / scenario.seconds / scenario.gateways.count, 2),
        "memory MB most": round(max((row[3] for rows in index.uses.values() for row in rows), default=0) / 1e6, 1),
        "descriptors most": max((row[4] for rows in index.uses.values() for row in rows), default=0),
        "cpu ms a try": round(1000 * sum(cpu_seconds(rows) for rows in index.uses.values()) / per, 3),
        "crashes": len(index.crashes),
    }
    return figures


def calls_to_sick_a_second(index: LedgerIndex) -> float:
    """Call-outs a second to each backend that hangs or fails all, from 1 s after that began to its
    end."""
    began: dict[tuple[int, str], int] = {}
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for _, at, number, kind, begins, names, *_ in index.faults:
        for name in names if kind in ("hang", "black_hole") else ():
            if begins:
                began[number, name] = at
            elif (number, name) in began:
                spans[name].append((began.pop((number, name)) + 1_000_000, at))
    for (_, name), at in began.items():
        spans[name].append((at + 1_000_000, int(index.scenario.seconds * 1e6)))
    seconds = sum(max(0, b - a) for rows in spans.values() for a, b in rows) / 1e6
    met = sum(
        any(a <= at < b for a, b in spans.get(backend, ())) for rpc in index.rpcs.values() for at, backend in rpc.calls
    )
    return round(met / seconds, 3) if seconds else 0.0


def cpu_seconds(rows: list[list[Any]]) -> float:
    """Seconds used by a gateway's lives: a fall of the sum is a new one."""
    total, last = 0.0, 0.0
    for row in rows:
        total += row[5] - last if row[5] >= last else row[5]
        last = row[5]
    return total
