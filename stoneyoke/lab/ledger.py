"""The ledger: what all processes of a run wrote down, and from it alone the rules and the figures.

Times are microseconds since the run began. A violation names the ids and keeps the lines that touched them.
"""

import bisect
from collections import defaultdict
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from stoneyoke.lab.plan import Drawn
from stoneyoke.lab.scenario import Method, Scenario

# The protocol's 50 ms and what a busy machine adds; a run whose stand-ins lag more is void
SLACK_US = 150_000
LAG_MS = 100.0  # a stand-in that is later than this in one look of fifty was the limit itself
CEILING_S = 0.15  # of a ceiling's rate, beside its slack: the protocol page


class Violation(Struct):
    rule: str
    at_us: int
    what: str
    ids: list[str]
    lines: list[Any] = []


class Rpc:
    """One try of a client, and all that touched it."""

    __slots__ = (
        "answered",
        "calls",
        "customer",
        "ends",
        "first_at",
        "gateway",
        "id",
        "method",
        "number",
        "ran",
        "sent",
        "status",
        "tries",
        "until",
        "words",
    )

    def __init__(self, id_: str, row: list[Any]) -> None:
        self.id = id_
        self.first_at = self.sent = row[1]
        self.number, self.customer, self.method, self.gateway, self.tries, self.until = row[3:9]
        self.status, self.words, self.answered = 0, "", -1
        self.calls: list[tuple[int, str]] = []
        self.ends: list[tuple[int, str, str]] = []
        self.ran: list[tuple[int, str]] = []


class Ledger:
    def __init__(self, rows: list[list[Any]], scenario: Scenario, drawn: Drawn) -> None:
        self.rows = sorted(rows, key=lambda row: row[1])
        self.scenario, self.drawn = scenario, drawn
        self.methods: list[Method] = scenario.method
        self.rpcs: dict[str, Rpc] = {}
        self.unmet: list[list[Any]] = []
        self.told: dict[str, list[list[Any]]] = defaultdict(list)  # by gateway
        self.lives: dict[str, list[int]] = defaultdict(list)  # when a gateway's process started
        self.away: dict[str, list[tuple[int, int]]] = defaultdict(list)  # dead or frozen, by gateway
        self.backend_starts: dict[str, list[int]] = defaultdict(list)
        self.backend_ends: dict[str, list[int]] = defaultdict(list)
        self.faults: list[list[Any]] = []
        self.uses: dict[str, list[list[Any]]] = defaultdict(list)
        self.lags: dict[str, list[float]] = defaultdict(list)
        self.counts = self.turned_away = self.carried = self.between = self.messages = 0
        self.crashes: list[list[Any]] = []
        open_away: dict[str, int] = {}
        for row in self.rows:
            match row[0]:
                case "rpc":
                    if old := self.rpcs.get(row[2]):  # sent once more after a close that crossed it
                        old.sent, old.gateway, old.status = row[1], row[6], 0
                    else:
                        self.rpcs[row[2]] = Rpc(row[2], row)
                case "ans" if rpc := self.rpcs.get(row[2]):
                    rpc.status, rpc.words, rpc.answered = row[3], row[4], row[1]
                case "call" if rpc := self.rpcs.get(row[2]):
                    rpc.calls.append((row[1], row[3]))
                case "end" if rpc := self.rpcs.get(row[2]):
                    rpc.ends.append((row[1], row[3], row[4]))
                case "ran" if rpc := self.rpcs.get(row[2]):
                    rpc.ran.append((row[1], row[3]))
                case "unmet":
                    self.unmet.append(row)
                case "told":
                    self.told[row[2]].append(row)
                case "backend":
                    (self.backend_starts if row[3] == "started" else self.backend_ends)[row[2]].append(row[1])
                case "fault":
                    self.faults.append(row)
                case "use":
                    self.uses[row[2]].append(row)
                case "lag":
                    self.lags[row[2]].append(row[3])
                case "count":
                    self.counts += 1
                    self.turned_away += row[3] is None
                case "carried":
                    self.carried += row[2]
                case "between":
                    self.between += row[2]
                    self.messages += row[3]
                case "process":
                    name, what = row[2], row[3]
                    if what == "started":
                        self.lives[name].append(row[1])
                    if what in ("SIGKILL", "SIGSTOP", "ended"):
                        open_away.setdefault(name, row[1])
                    if what in ("started", "SIGCONT") and name in open_away:
                        # A new life needs a moment to be ready; a woken one to catch up.
                        self.away[name].append((open_away.pop(name), row[1] + 1_500_000))
                    if what == "ended" and not row[5] or what == "over its limits":
                        self.crashes.append(row)
        for name, since in open_away.items():
            self.away[name].append((since, 1 << 62))
        # A new life is there once discovery has told it something, and a moment more: it asks before it
        # listens. Until then the link to it is up and it is not, so what it carries ends with a reset.
        for name, spans in self.away.items():
            told = [row[1] for row in self.told.get(name, [])]
            spans[:] = [
                (a, max(b, min((t for t in told if t >= b - 1_500_000), default=b) + 500_000)) for a, b in spans
            ]

    # ---- helpers ----

    def units(self, rpc: Rpc) -> float:
        return float(self.methods[rpc.method].units)

    def plan_of(self, rpc: Rpc) -> int:
        return int(self.drawn.customers[rpc.customer].plan)

    def was_away(self, gateway: str, since: int, until: int) -> bool:
        return any(a < until and since < b for a, b in self.away.get(gateway, ()))

    def link_struck(self, one: str, other: str, since: int, until: int) -> bool:
        """Whether a fault lay on the link between two at that time, or was mending (a second)."""
        from fnmatch import fnmatchcase as fits

        begun: dict[int, tuple[int, list[Any]]] = {}
        spans: list[tuple[int, int, list[Any]]] = []
        for row in self.faults:
            if not row[6]:
                continue
            if row[4]:
                begun[row[2]] = row[1], row
                if row[3] == "reset":
                    spans.append((row[1], row[1] + 1, row))
            elif row[2] in begun:
                spans.append((begun.pop(row[2])[0], row[1], row))
        spans += [(at, 1 << 62, row) for at, row in begun.values() if row[3] != "reset"]
        return any(
            a < until
            and since < b + 1_000_000
            and (fits(one, row[6]) and fits(other, row[7]) or fits(other, row[6]) and fits(one, row[7]))
            for a, b, row in spans
        )

    def lines(self, ids: set[str]) -> list[Any]:
        return [row for row in self.rows if len(row) > 2 and row[2] in ids][:60]

    # ---- the five rules ----

    def violations(self) -> list[Violation]:
        found = [*self.lost(), *self.twice(), *self.drains(), *self.cold(), *self.ceilings()]
        for one in found:
            one.lines = self.lines(set(one.ids))
        return found

    def lost(self) -> list[Violation]:
        """Each try that was taken gets one final answer by its deadline, made for it."""
        front, found = self.scenario.processes()[-3], []
        for rpc in self.rpcs.values():
            late = rpc.answered > rpc.until + SLACK_US
            if rpc.status == -1 and rpc.words == "gave up":
                continue
            if rpc.status == 200 and rpc.words.split(" ")[0] != rpc.id:
                found.append(Violation("lost", rpc.answered, f"{rpc.id} was served with {rpc.words!r}", [rpc.id]))
            elif rpc.status <= 0 or late:
                until = max(rpc.until, rpc.answered)
                if self.was_away(rpc.gateway, rpc.sent, until) or self.link_struck(front, rpc.gateway, rpc.sent, until):
                    continue
                what = "answered late" if late and rpc.status > 0 else rpc.words or "never answered"
                found.append(Violation("lost", rpc.until, f"{rpc.id} at {rpc.gateway}: {what}", [rpc.id]))
        return found

    def twice(self) -> list[Violation]:
        found = []
        for rpc in self.rpcs.values():
            method = self.methods[rpc.method]
            if method.effect != "idempotent" and len(rpc.ran) > 1:
                found.append(Violation("twice", rpc.ran[1][0], f"{rpc.id} ran at {[b for _, b in rpc.ran]}", [rpc.id]))
            if method.effect == "at_most_once" and rpc.ran and rpc.status in (429, 503):
                found.append(Violation("twice", rpc.answered, f"{rpc.id} ran and was pushed back", [rpc.id]))
            for (at, backend), (then, _) in zip(rpc.calls, rpc.calls[1:], strict=False):
                end = next(((e, what) for e, b, what in rpc.ends if b == backend and e >= at), None)
                if end and end[0] > then and not end[1].startswith(("unheard", "answer lost")):
                    found.append(Violation("twice", then, f"{rpc.id} had two call-outs out at once", [rpc.id]))
        return found

    def drains(self) -> list[Violation]:
        """Nothing new to a backend later than the grace after its gateway was told that it leaves."""
        discovery, found = self.scenario.processes()[-1], []
        grace = self.scenario.backends.grace_ms * 1000
        # Gateway -> backend -> what it was told, when
        since: dict[str, dict[str, list[tuple[int, str]]]] = {}
        for gateway, rows in self.told.items():
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
        for rpc in self.rpcs.values():
            for at, backend in rpc.calls:
                heard = since.get(rpc.gateway, {}).get(backend, [])
                last = bisect.bisect(heard, (at, "~")) - 1
                if last < 0 or heard[last][1] == "active" or at <= heard[last][0] + grace + SLACK_US:
                    continue
                told = heard[last][0]
                # A new life may not have been told yet; over a failing link it was not told in time.
                life = max((s for s in self.lives.get(rpc.gateway, []) if s <= at), default=0)
                if (
                    told < life
                    or self.was_away(rpc.gateway, told, at)
                    or (self.link_struck(rpc.gateway, discovery, told - 1_000_000, at))
                    or (self.link_struck(rpc.gateway, backend, rpc.sent, at))
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

    def cold(self) -> list[Violation]:
        """Work sent to a cold backend within the window, against what it could do then."""
        given, found = self.scenario.backends, []
        window, warm_up = given.push_over_s * 1e6, given.warm_up_s * 1e6
        calls: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
        for rpc in self.rpcs.values():
            for at, backend in rpc.calls:
                calls[backend].append((at, self.methods[rpc.method].work_ms / 1000, rpc.id))
        slack = 4 * max(m.work_ms for m in self.methods) / 1000
        for backend, starts in self.backend_starts.items():
            sent = sorted(calls.get(backend, []))
            for start in starts:
                for index, (at, _, _) in enumerate(sent):
                    if not start <= at < start + warm_up:
                        continue
                    last = bisect.bisect(sent, (at + window, 0.0, ""))
                    work = sum(one[1] for one in sent[index:last])
                    middle = min(1.0, (at + window / 2 - start) / warm_up)
                    warmth = given.cold_share + (1 - given.cold_share) * middle
                    can = given.slots * warmth * given.push_over_s
                    if work > given.push_over * can + slack:
                        found.append(
                            Violation(
                                "cold",
                                at,
                                f"{backend} was sent {work:.2f} s of work in {given.push_over_s} s, "
                                f"{(at - start) / 1e6:.2f} s after its start; it can do {can:.2f}",
                                [one[2] for one in sent[index:last]][:20],
                            )
                        )
                        break
        return found

    def ceilings(self) -> list[Violation]:
        levels: dict[int, tuple[float, int]] = {}
        found, largest = [], max(m.units for m in self.methods)
        firsts = sorted((rpc.calls[0][0], rpc.id) for rpc in self.rpcs.values() if rpc.calls)
        for at, id_ in firsts:
            rpc = self.rpcs[id_]
            plan = self.scenario.plan[self.plan_of(rpc)]
            if not plan.ceiling_rate:
                continue
            level, last = levels.get(rpc.customer, (plan.ceiling_burst, at))
            level = min(plan.ceiling_burst, level + plan.ceiling_rate * (at - last) / 1e6) - self.units(rpc)
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

    # ---- figures ----

    def void(self) -> str:
        """Why the run says nothing of the gateways, or nothing."""
        for name, lags in self.lags.items():
            late = sum(lag > LAG_MS for lag in lags)
            if len(lags) > 20 and late > 0.02 * len(lags):
                looks = f"{late} of {len(lags)} looks"
                return f"{name} was the limit: its event loop was over {LAG_MS:g} ms late in {looks}"
        return ""

    def figures(self) -> dict[str, float]:
        """Shares are of 0 to 1, times in ms, memory in MB, CPU in ms an RPC."""
        scenario, end = self.scenario, self.scenario.seconds * 1e6
        # Number: inside, customer, method, gateway, at
        offered: dict[int, tuple[bool, int, int, int, int]] = {}
        quota: dict[int, tuple[float, int]] = {}
        for arrival in self.drawn.arrivals:
            plan = scenario.plan[self.drawn.customers[arrival.customer].plan]
            level, last = quota.get(arrival.customer, (plan.burst, arrival.at_us))
            level = min(plan.burst, level + plan.rate * (arrival.at_us - last) / 1e6)
            units = self.methods[arrival.method].units
            inside = level >= units
            quota[arrival.customer] = level - units * inside, arrival.at_us
            offered[arrival.number] = inside, arrival.customer, arrival.method, arrival.gateway, arrival.at_us
        ok: dict[int, int] = {}  # number: when it was served
        for rpc in self.rpcs.values():
            if rpc.status == 200 and rpc.answered <= rpc.until + SLACK_US:
                ok.setdefault(rpc.number, rpc.answered)
        worth = {
            n: self.methods[o[2]].utility
            * self.methods[o[2]].units
            * scenario.plan[self.drawn.customers[o[1]].plan].price
            for n, o in offered.items()
        }
        in_time = {
            n
            for n, at in ok.items()
            if n in offered and (at <= offered[n][4] + self.methods[offered[n][2]].soft_ms * 1000 + SLACK_US)
        }
        names = scenario.gateway_names()

        def share(keep: Any) -> float:
            asked = sum(worth[n] for n, o in offered.items() if o[0] and keep(o))
            served = sum(worth[n] for n in in_time if offered[n][0] and keep(offered[n]))
            return round(served / asked, 4) if asked else 1.0

        figures: dict[str, float] = {"goodput": share(lambda o: True)}
        for at, method in enumerate(self.methods):
            figures[f"goodput {method.name}"] = share(lambda o, at=at: o[2] == at)
        for at, plan in enumerate(scenario.plan):
            figures[f"goodput {plan.name}"] = share(lambda o, at=at: self.drawn.customers[o[1]].plan == at)
        for zone in scenario.zones():
            figures[f"goodput zone {zone}"] = share(lambda o, zone=zone: names[o[3]].startswith(zone + "/"))
        for third in range(3):
            figures[f"goodput third {third + 1}"] = share(lambda o, third=third: int(3 * o[4] / end) == third)
        sent, beyond, crossed, calls = 0.0, 0.0, 0, 0
        levels: dict[int, tuple[float, int]] = {}
        for at, id_ in sorted((rpc.calls[0][0], rpc.id) for rpc in self.rpcs.values() if rpc.calls):
            rpc = self.rpcs[id_]
            plan = scenario.plan[self.plan_of(rpc)]
            level, last = levels.get(rpc.customer, (plan.burst, at))
            level = min(plan.burst, level + plan.rate * (at - last) / 1e6)
            inside, units = level >= self.units(rpc), self.units(rpc)
            levels[rpc.customer] = level - units * inside, at
            sent, beyond = sent + units, beyond + units * (not inside)
            calls += len(rpc.calls)
            crossed += sum(rpc.gateway.split("/")[0] != backend.split("/")[0] for _, backend in rpc.calls)
        times = HdrHistogram(1, 60_000_000, 3)
        for rpc in self.rpcs.values():
            if rpc.status == 200:
                times.record_value(max(1, rpc.answered - rpc.sent))
        tries = len(self.rpcs)
        per = max(1, tries)
        figures |= {
            "tries": tries,
            "unmet": len(self.unmet),
            "refused": round(sum(rpc.status in (429, 503) for rpc in self.rpcs.values()) / per, 4),
            "aborted": round(sum(rpc.status not in (200, 429, 503) for rpc in self.rpcs.values()) / per, 4),
            "beyond quota": round(beyond / sent, 4) if sent else 0.0,
            "crossed zones": round(crossed / calls, 4) if calls else 0.0,
            "call-outs a try": round(calls / per, 4),
            "counter calls a try": round(self.counts / per, 4),
            "ms p50": times.get_value_at_percentile(50) / 1000,
            "ms p99": times.get_value_at_percentile(99) / 1000,
            "to sick s": self.to_sick(),
            "link MB": round(self.carried / 1e6, 2),
            "peer bytes s": round(self.between / scenario.seconds / scenario.gateways.count, 1),
            "peer messages s": round(self.messages / scenario.seconds / scenario.gateways.count, 2),
            "memory MB most": round(max((row[3] for rows in self.uses.values() for row in rows), default=0) / 1e6, 1),
            "descriptors most": max((row[4] for rows in self.uses.values() for row in rows), default=0),
            "cpu ms a try": round(1000 * sum(self.cpu(rows) for rows in self.uses.values()) / per, 3),
            "crashes": len(self.crashes),
        }
        return figures

    def to_sick(self) -> float:
        """Call-outs a second to each backend that hangs or fails all, from 1 s after that began to its
        end."""
        began: dict[tuple[int, str], int] = {}
        spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for _, at, number, kind, begins, names, *_ in self.faults:
            for name in names if kind in ("hang", "black_hole") else ():
                if begins:
                    began[number, name] = at
                elif (number, name) in began:
                    spans[name].append((began.pop((number, name)) + 1_000_000, at))
        for (_, name), at in began.items():
            spans[name].append((at + 1_000_000, int(self.scenario.seconds * 1e6)))
        seconds = sum(max(0, b - a) for rows in spans.values() for a, b in rows) / 1e6
        met = sum(
            any(a <= at < b for a, b in spans.get(backend, ()))
            for rpc in self.rpcs.values()
            for at, backend in rpc.calls
        )
        return round(met / seconds, 3) if seconds else 0.0

    @staticmethod
    def cpu(rows: list[list[Any]]) -> float:
        """Seconds used by a gateway's lives: a fall of the sum is a new one."""
        total, last = 0.0, 0.0
        for row in rows:
            total += row[5] - last if row[5] >= last else row[5]
            last = row[5]
        return total


def read_rows(folder: Path) -> list[list[Any]]:
    """All rows that a run's processes wrote; a line cut off by a kill is left out."""
    decode, rows = msgspec.json.Decoder().decode, []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                rows.append(decode(line))
            except msgspec.DecodeError:
                continue
    return rows
