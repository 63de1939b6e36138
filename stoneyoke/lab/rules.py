"""The five rules that hold in every run, from the ledger alone. A violation names the ids that it touches."""

import bisect
from collections import defaultdict
from typing import Any

from msgspec import Struct

from stoneyoke.lab.ledger_index import LedgerIndex

# The protocol's 50 ms and what a busy machine adds; a run whose stand-ins lag more is void
SLACK_US = 150_000
CEILING_S = 0.15  # of a ceiling's rate, beside its slack: the protocol page


class Violation(Struct):
    """One break of a rule, with the ledger's lines that touched its ids."""

    rule: str
    at_us: int
    what: str
    ids: list[str]
    lines: list[Any] = []


def violations(index: LedgerIndex) -> list[Violation]:
    """All breaks of all rules, with their lines."""
    found = [
        *lost_answers(index),
        *double_executions(index),
        *sends_to_draining(index),
        *overloaded_cold_backends(index),
        *exceeded_ceilings(index),
    ]
    for one in found:
        one.lines = index.lines(set(one.ids))
    return found


def lost_answers(index: LedgerIndex) -> list[Violation]:
    """Each try that was taken gets one final answer by its deadline, made for it."""
    front, found = index.scenario.clients_name(), []
    for rpc in index.rpcs.values():
        late = rpc.answered > rpc.until + SLACK_US
        if rpc.status == -1 and rpc.words == "gave up":
            continue
        if rpc.status == 200 and rpc.words.split(" ")[0] != rpc.id:
            found.append(Violation("lost", rpc.answered, f"{rpc.id} was served with {rpc.words!r}", [rpc.id]))
        elif rpc.status <= 0 or late:
            until = max(rpc.until, rpc.answered)
            if index.was_away(rpc.gateway, rpc.sent, until) or index.link_struck(front, rpc.gateway, rpc.sent, until):
                continue
            what = "answered late" if late and rpc.status > 0 else rpc.words or "never answered"
            found.append(Violation("lost", rpc.until, f"{rpc.id} at {rpc.gateway}: {what}", [rpc.id]))
    return found


def double_executions(index: LedgerIndex) -> list[Violation]:
    """Nothing but an idempotent call runs twice, and no RPC has two call-outs out at once."""
    found = []
    for rpc in index.rpcs.values():
        method = index.methods[rpc.method]
        if method.effect != "idempotent" and len(rpc.ran) > 1:
            found.append(Violation("twice", rpc.ran[1][0], f"{rpc.id} ran at {[b for _, b in rpc.ran]}", [rpc.id]))
        if method.effect == "at_most_once" and rpc.ran and rpc.status in (429, 503):
            found.append(Violation("twice", rpc.answered, f"{rpc.id} ran and was pushed back", [rpc.id]))
        for (at, backend), (then, _) in zip(rpc.calls, rpc.calls[1:], strict=False):
            end = next(((e, what) for e, b, what in rpc.ends if b == backend and e >= at), None)
            if end and end[0] > then and not end[1].startswith(("unheard", "answer lost")):
                found.append(Violation("twice", then, f"{rpc.id} had two call-outs out at once", [rpc.id]))
    return found


def sends_to_draining(index: LedgerIndex) -> list[Violation]:
    """Nothing new to a backend later than the grace after its gateway was told that it leaves."""
    discovery, found = index.scenario.discovery_name(), []
    grace = index.scenario.backends.grace_ms * 1000
    # Gateway -> backend -> what it was told, when
    since: dict[str, dict[str, list[tuple[int, str]]]] = {}
    for gateway, rows in index.told.items():
        news = since[gateway] = defaultdict(list)
        for row in rows:
            named = dict(row[5])
            if row[4]:  # whole: who is not in it is gone
                for backend in set(news) - set(named):
                    if news[backend][-1][1] != "left":
                        news[backend].append((row[1], "left"))
            for backend, status in named.items():
                if not news[backend] or news[backend][-1][1] != status:
                    news[backend].append((row[1], status))
    for rpc in index.rpcs.values():
        for at, backend in rpc.calls:
            heard = since.get(rpc.gateway, {}).get(backend, [])
            last = bisect.bisect(heard, (at, "~")) - 1
            if last < 0 or heard[last][1] == "active" or at <= heard[last][0] + grace + SLACK_US:
                continue
            told = heard[last][0]
            # A new life may not have been told yet; over a failing link it was not told in time.
            life = max((s for s in index.lives.get(rpc.gateway, []) if s <= at), default=0)
            if (
                told < life
                or index.was_away(rpc.gateway, told, at)
                or (index.link_struck(rpc.gateway, discovery, told - 1_000_000, at))
                or (index.link_struck(rpc.gateway, backend, rpc.sent, at))
            ):
                continue
            found.append(
                Violation(
                    "drain",
                    at,
                    f"{rpc.id} went from {rpc.gateway} to {backend}, told "
                    f"{(at - told) / 1e6:.2f} s before that it was {heard[last][1]}",
                    [rpc.id],
                )
            )
    return found


def overloaded_cold_backends(index: LedgerIndex) -> list[Violation]:
    """Work sent to a cold backend within the window, against what it could do then."""
    given, found = index.scenario.backends, []
    window, warm_up = given.overload_window_s * 1e6, given.warm_up_s * 1e6
    calls: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
    for rpc in index.rpcs.values():
        for at, backend in rpc.calls:
            calls[backend].append((at, index.methods[rpc.method].work_ms / 1000, rpc.id))
    slack = 4 * max(m.work_ms for m in index.methods) / 1000
    for backend, starts in index.backend_starts.items():
        sent = sorted(calls.get(backend, []))
        for start in starts:
            for first, (at, _, _) in enumerate(sent):
                if not start <= at < start + warm_up:
                    continue
                last = bisect.bisect(sent, (at + window, 0.0, ""))
                work = sum(one[1] for one in sent[first:last])
                middle = min(1.0, (at + window / 2 - start) / warm_up)
                warmth = given.cold_share + (1 - given.cold_share) * middle
                can = given.slots * warmth * given.overload_window_s
                if work > given.overload_factor * can + slack:
                    found.append(
                        Violation(
                            "cold",
                            at,
                            f"{backend} was sent {work:.2f} s of work in {given.overload_window_s} s, "
                            f"{(at - start) / 1e6:.2f} s after its start; it can do {can:.2f}",
                            [one[2] for one in sent[first:last]][:20],
                        )
                    )
                    break
    return found


def exceeded_ceilings(index: LedgerIndex) -> list[Violation]:
    """No customer takes more than its plan's ceiling."""
    levels: dict[int, tuple[float, int]] = {}
    found, largest = [], max(m.units for m in index.methods)
    firsts = sorted((rpc.calls[0][0], rpc.id) for rpc in index.rpcs.values() if rpc.calls)
    for at, id_ in firsts:
        rpc = index.rpcs[id_]
        plan = index.scenario.plan[index.plan_of(rpc)]
        if not plan.ceiling_rate:
            continue
        level, last = levels.get(rpc.customer, (plan.ceiling_burst, at))
        level = min(plan.ceiling_burst, level + plan.ceiling_rate * (at - last) / 1e6) - index.units(rpc)
        levels[rpc.customer] = level, at
        if level < -max(0.1 * plan.ceiling_burst, largest) - CEILING_S * plan.ceiling_rate:
            found.append(
                Violation(
                    "ceiling",
                    at,
                    f"customer {rpc.customer} of {plan.name}: {id_} took its store to {level:.1f}",
                    [id_],
                )
            )
            levels[rpc.customer] = 0.0, at
    return found
