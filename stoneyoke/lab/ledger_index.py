"""The ledger rows of all processes of a run, indexed by try, gateway and backend.

Times are microseconds since the run's start.
"""

from collections import defaultdict
from collections.abc import Callable
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import msgspec

from stoneyoke.lab.client_try import Attempt, AttemptEnd, ClientTry, Interval
from stoneyoke.lab.ledger_rows import (
    EXITED,
    KINDS,
    OVER_LIMITS,
    STARTED,
    AttemptAnswered,
    AttemptArrived,
    AttemptExecuted,
    BackendChanged,
    BytesCarried,
    CounterCall,
    DatagramsCarried,
    EndpointsSent,
    FaultChanged,
    GatewayUse,
    LedgerRow,
    LoopLag,
    ProcessChanged,
    TryEnded,
    TrySent,
    TryUnsent,
)
from stoneyoke.lab.plan import RunPlan
from stoneyoke.lab.scenario import Method, Scenario

FOREVER_US = 1 << 62
# How long a gateway still counts as unavailable after a restart, when it gets ready, or after SIGCONT, when it catches
# up.
RECOVERY_US = 1_500_000
# A restarted gateway queries discovery before it listens, and connections over its link are reset until then. So it
# also counts as unavailable until this long after discovery's first response.
LISTENING_DELAY_US = 500_000
LINK_RECOVERY_US = 1_000_000  # how long after the end of a fault a link may still be affected
MAX_LINES = 60  # maximum number of rows shown for a violation
STOPPING_SIGNALS = ("SIGKILL", "SIGSTOP")


class LedgerIndex:
    """The events of each try, gateway, backend and fault, as the rows describe them."""

    def __init__(self, rows: list[list[Any]], scenario: Scenario, plan: RunPlan) -> None:
        """Indexes all rows.

        Args:
            rows: The decoded lines of the ledger's files, in any order.
            scenario: The scenario of the run.
            plan: The plan that was drawn from the scenario and the seed.
        """
        self.rows = sorted(rows, key=lambda row: row[1])
        self.scenario = scenario
        self.plan = plan
        self.methods: list[Method] = scenario.method
        self.tries: dict[str, ClientTry] = {}  # by id
        self.unsent: list[TryUnsent] = []
        self.endpoints_sent: dict[str, list[EndpointsSent]] = defaultdict(list)  # by gateway
        self.gateway_starts: dict[str, list[int]] = defaultdict(list)
        self.unavailable: dict[str, list[Interval]] = defaultdict(list)  # dead, frozen or recovering; by gateway
        self.backend_starts: dict[str, list[int]] = defaultdict(list)
        self.faults: list[FaultChanged] = []
        self.uses: dict[str, list[GatewayUse]] = defaultdict(list)  # by gateway
        self.lags_ms: dict[str, list[float]] = defaultdict(list)  # by process
        self.counter_calls = self.bytes_carried = self.datagram_bytes = self.datagrams = 0
        self.crashes: list[ProcessChanged] = []
        self._stopped_at: dict[str, int] = {}  # gateways that are dead or frozen
        for row in self.rows:
            if row[0] in KINDS:
                self._add(msgspec.convert(row, type=LedgerRow))
        for gateway, since_us in self._stopped_at.items():
            self.unavailable[gateway].append(Interval(since_us, FOREVER_US))
        self._extend_restarts()

    def _add(self, row: Any) -> None:
        """Passes a row to the handler of its type."""
        HANDLERS[type(row)](self, row)

    # ---- rows ----

    def _add_try_sent(self, row: TrySent) -> None:
        known = self.tries.get(row.id)
        if known:
            known.mark_resent(row)
        else:
            self.tries[row.id] = ClientTry(row)

    def _add_try_ended(self, row: TryEnded) -> None:
        if client_try := self.tries.get(row.id):
            client_try.status, client_try.words, client_try.answered_at_us = row.status, row.words, row.at_us

    def _add_try_unsent(self, row: TryUnsent) -> None:
        self.unsent.append(row)

    def _add_attempt_arrived(self, row: AttemptArrived) -> None:
        if client_try := self.tries.get(row.id):
            client_try.attempts.append(Attempt(row.at_us, row.backend))

    def _add_attempt_answered(self, row: AttemptAnswered) -> None:
        if client_try := self.tries.get(row.id):
            client_try.ends.append(AttemptEnd(row.at_us, row.backend, row.outcome))

    def _add_attempt_executed(self, row: AttemptExecuted) -> None:
        if client_try := self.tries.get(row.id):
            client_try.executions.append(Attempt(row.at_us, row.backend))

    def _add_endpoints_sent(self, row: EndpointsSent) -> None:
        self.endpoints_sent[row.gateway].append(row)

    def _add_backend_changed(self, row: BackendChanged) -> None:
        if row.change == STARTED:
            self.backend_starts[row.backend].append(row.at_us)

    def _add_fault_changed(self, row: FaultChanged) -> None:
        self.faults.append(row)

    def _add_gateway_use(self, row: GatewayUse) -> None:
        self.uses[row.gateway].append(row)

    def _add_loop_lag(self, row: LoopLag) -> None:
        self.lags_ms[row.process].append(row.lag_ms)

    def _add_counter_call(self, _: CounterCall) -> None:
        self.counter_calls += 1

    def _add_bytes_carried(self, row: BytesCarried) -> None:
        self.bytes_carried += row.bytes

    def _add_datagrams_carried(self, row: DatagramsCarried) -> None:
        self.datagram_bytes += row.bytes
        self.datagrams += row.datagrams

    def _add_process_changed(self, row: ProcessChanged) -> None:
        gateway = row.gateway
        if row.change == STARTED:
            self.gateway_starts[gateway].append(row.at_us)
        if row.change in STOPPING_SIGNALS or row.change == EXITED:
            self._stopped_at.setdefault(gateway, row.at_us)
        if row.change in (STARTED, "SIGCONT") and gateway in self._stopped_at:
            self.unavailable[gateway].append(Interval(self._stopped_at.pop(gateway), row.at_us + RECOVERY_US))
        unexpected_exit = row.change == EXITED and not row.expected
        if unexpected_exit or row.change == OVER_LIMITS:
            self.crashes.append(row)

    def _extend_restarts(self) -> None:
        """Extends each time in which a gateway was unavailable until it listens after discovery's first response."""
        for gateway, intervals in self.unavailable.items():
            answered_at_us = [row.at_us for row in self.endpoints_sent.get(gateway, [])]
            for position, (start_us, end_us) in enumerate(intervals):
                answers_us = (at_us for at_us in answered_at_us if at_us >= end_us - RECOVERY_US)
                first_answer_us = min(answers_us, default=end_us)
                intervals[position] = Interval(start_us, max(end_us, first_answer_us + LISTENING_DELAY_US))

    # ---- queries ----

    def units(self, client_try: ClientTry) -> float:
        """Returns the units of quota that a try costs."""
        return float(self.methods[client_try.method].units)

    def plan_of(self, client_try: ClientTry) -> int:
        """Returns the number of the customer plan of a try."""
        return int(self.plan.customers[client_try.customer].plan)

    def first_attempts(self) -> list[ClientTry]:
        """Returns the tries that reached a backend, sorted by their first arrival at one."""
        reached = [client_try for client_try in self.tries.values() if client_try.attempts]
        return sorted(reached, key=lambda client_try: (client_try.attempts[0].at_us, client_try.id))

    def was_unavailable(self, gateway: str, since_us: int, until_us: int) -> bool:
        """Whether a gateway was dead, frozen or recovering at any time in the interval."""
        return any(interval.overlaps(since_us, until_us) for interval in self.unavailable.get(gateway, ()))

    def link_was_faulty(self, one: str, other: str, since_us: int, until_us: int) -> bool:
        """Whether a fault affected the link between two processes at any time in the interval."""
        return any(
            Interval(start_us, end_us + LINK_RECOVERY_US).overlaps(since_us, until_us) and is_between(fault, one, other)
            for fault, start_us, end_us in self._link_faults()
        )

    def _link_faults(self) -> list[tuple[FaultChanged, int, int]]:
        """Returns the faults of links, each with its start and its end."""
        active: dict[int, FaultChanged] = {}
        found: list[tuple[FaultChanged, int, int]] = []
        for fault in self.faults:
            if not fault.source:
                continue
            if fault.begins:
                active[fault.number] = fault
                if fault.kind == "reset":
                    found.append((fault, fault.at_us, fault.at_us + 1))
            elif fault.number in active:
                found.append((fault, active.pop(fault.number).at_us, fault.at_us))
        found += [(fault, fault.at_us, FOREVER_US) for fault in active.values() if fault.kind != "reset"]
        return found

    def lines(self, ids: set[str]) -> list[Any]:
        """Returns the first rows about any of these tries."""
        return [row for row in self.rows if len(row) > 2 and row[2] in ids][:MAX_LINES]


HANDLERS: dict[type, Callable[[LedgerIndex, Any], None]] = {
    TrySent: LedgerIndex._add_try_sent,
    TryEnded: LedgerIndex._add_try_ended,
    TryUnsent: LedgerIndex._add_try_unsent,
    AttemptArrived: LedgerIndex._add_attempt_arrived,
    AttemptAnswered: LedgerIndex._add_attempt_answered,
    AttemptExecuted: LedgerIndex._add_attempt_executed,
    EndpointsSent: LedgerIndex._add_endpoints_sent,
    BackendChanged: LedgerIndex._add_backend_changed,
    FaultChanged: LedgerIndex._add_fault_changed,
    GatewayUse: LedgerIndex._add_gateway_use,
    LoopLag: LedgerIndex._add_loop_lag,
    CounterCall: LedgerIndex._add_counter_call,
    BytesCarried: LedgerIndex._add_bytes_carried,
    DatagramsCarried: LedgerIndex._add_datagrams_carried,
    ProcessChanged: LedgerIndex._add_process_changed,
}


def is_between(fault: FaultChanged, one: str, other: str) -> bool:
    """Whether a fault's globs match the two ends of a link, in either order."""
    forth = fnmatchcase(one, fault.source) and fnmatchcase(other, fault.destination)
    return forth or (fnmatchcase(other, fault.source) and fnmatchcase(one, fault.destination))


def read_rows(folder: Path) -> list[list[Any]]:
    """Reads all rows that a run's processes wrote.

    Lines that can't be decoded are omitted: a process that is killed may leave a truncated line.
    """
    decode = msgspec.json.Decoder().decode
    rows: list[list[Any]] = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                rows.append(decode(line))
            except msgspec.DecodeError:
                continue
    return rows
