"""The rows that all processes of a run wrote down, indexed by what they tell of. Times are us since it began."""

from collections import defaultdict
from fnmatch import fnmatchcase as fits
from pathlib import Path
from typing import Any

import msgspec

from stoneyoke.lab.plan import Drawn
from stoneyoke.lab.scenario import Method, Scenario


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


class LedgerIndex:
    """What the rows say of each RPC, gateway, backend and fault."""

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

    def units(self, rpc: Rpc) -> float:
        return float(self.methods[rpc.method].units)

    def plan_of(self, rpc: Rpc) -> int:
        return int(self.drawn.customers[rpc.customer].plan)

    def was_away(self, gateway: str, since: int, until: int) -> bool:
        return any(a < until and since < b for a, b in self.away.get(gateway, ()))

    def link_struck(self, one: str, other: str, since: int, until: int) -> bool:
        """Whether a fault lay on the link between two at that time, or was mending (a second)."""
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
