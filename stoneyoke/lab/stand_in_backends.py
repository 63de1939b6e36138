"""Stand-ins for backends that behave as the protocol describes. One process runs all of them."""

import asyncio
import math
import random
from collections import deque
from typing import NamedTuple

from stoneyoke.lab.http import Request, ServerConnection
from stoneyoke.lab.ledger_rows import STARTED
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.scenario import Fault, Method
from stoneyoke.lab.worker_messages import BackendSetup, BackendsSetup, ChangeBackendFault, Command, Reply

BACKLOG = 512
STATUS_PATHS = (b"/healthz", b"/load")
DECLINED = b"Srv-Declined: 1\r\n"  # says that the request was not executed
DEFAULT_WORK_MS = 50.0  # mean service time of a request whose method is unknown
WORK_MU, WORK_SIGMA = -0.125, 0.5  # parameters of the log-normal factor of service times; its mean is 1
MAX_REMEMBERED_KEYS = 10_000  # so many that no key is evicted before its method's memory_ms is over

KeyMemory = dict[bytes, float]  # by idempotency key: loop time of its execution, the oldest first


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    request: Request
    attempt_id: bytes
    deadline_s: float  # loop time


class ActiveFault(NamedTuple):
    """A fault that is active, with the loop time of its start."""

    fault: Fault
    since_s: float


class StandInBackend:
    """A backend with slots, a queue, a warm-up and faults.

    It listens from its start until it crashes. While it drains it declines new requests. An instance that replaces it
    has the same address and a different name.
    """

    def __init__(
        self, setup: BackendSetup, run: BackendsSetup, memories: dict[str, KeyMemory], ledger: LedgerWriter
    ) -> None:
        """Opens no socket; see `listen`.

        Args:
            setup: The setup of this backend.
            run: The setup of all backends.
            memories: The idempotency keys that backends share, by group of backends.
            ledger: Records what happens to requests.
        """
        self.name = setup.name
        self.faults: dict[int, ActiveFault] = {}  # by number
        self.draining = False
        self._address = setup.address
        self._speed = setup.speed
        self._memory_groups = setup.memory_groups
        self._memories = memories
        self._seed = run.seed
        self._settings = run.settings
        self._methods: dict[bytes, Method] = {method.name.encode(): method for method in run.methods}
        self._ledger = ledger
        self._queue: deque[QueuedRequest] = deque()
        self._busy_slots = 0  # requests in slots
        self._crashes = 0  # a request that was started before the last crash gets no response
        self._connections: set[ServerConnection] = set()
        self._started_at_s = -math.inf  # loop time; cold for warm_up_s from then on
        self._server: asyncio.Server | None = None

    def fault(self, kind: str) -> ActiveFault | None:
        """Returns the first active fault of a kind; None if there is none."""
        return next((active for active in self.faults.values() if active.fault.kind == kind), None)

    # ---- start, crash and restart ----

    async def listen(self) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._receive, self._accept, self._connections.discard),
            *self._address,
            backlog=BACKLOG,
        )

    def _accept(self, connection: ServerConnection) -> bool:
        if len(self._connections) >= self._settings.connections:
            return False
        self._connections.add(connection)
        return True

    def crash(self) -> None:
        """Stops immediately: closes its listener and its connections and drops all requests."""
        self._crashes += 1
        if self._server:
            self._server.close()
        self._queue.clear()
        self._busy_slots = 0
        for connection in list(self._connections):
            connection.abort()
        self._ledger.add("backend", self.name, "crashed")

    async def restart(self, name: str = "") -> None:
        """Starts again at the cold share of its capacity, and warms up.

        Args:
            name: The name of the new instance; if empty, the name stays the same.
        """
        self.name = name or self.name
        self.draining = False
        self._started_at_s = asyncio.get_running_loop().time()
        self._ledger.add("backend", self.name, STARTED)
        await self.listen()

    def _capacity_share(self) -> float:
        """Returns the current share of the full capacity, which is below 1 during the warm-up."""
        age = (asyncio.get_running_loop().time() - self._started_at_s) / self._settings.warm_up_s
        cold_share = self._settings.cold_share
        return 1.0 if age >= 1 else cold_share + (1 - cold_share) * age

    # ---- requests ----

    def _in_flight(self) -> int:
        return self._busy_slots + len(self._queue)

    def _receive(self, request: Request) -> None:
        if request.target in STATUS_PATHS:
            request.respond(200, b'{"inflight":%d}' % self._in_flight())
            return
        attempt_id = request.headers.get(b"req-id", b"")
        if not attempt_id:
            request.respond(404)
            return
        self._ledger.add("call", attempt_id.decode(), self.name, id(request.connection))
        if self.fault("black_hole"):
            self._respond(request, "error", 500)
        elif self.draining or len(self._queue) >= self._settings.queue:
            self._respond(request, "turned away", 503, DECLINED)
        else:
            time_left_s = float(request.headers.get(b"req-deadline", b"1"))
            self._queue.append(QueuedRequest(request, attempt_id, asyncio.get_running_loop().time() + time_left_s))
            self._fill_slots()

    def _respond(self, request: Request, outcome: str, status: int, headers: bytes = b"", body: bytes = b"") -> None:
        """Responds and records the outcome, which starts with "unheard" if the connection was already closed."""
        is_sent = request.respond(status, body, headers)
        attempt_id = request.headers[b"req-id"].decode()
        self._ledger.add("end", attempt_id, self.name, outcome if is_sent else "unheard " + outcome)

    def _fill_slots(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and self._busy_slots < self._settings.slots:
            queued = self._queue.popleft()
            if loop.time() >= queued.deadline_s:
                self._respond(queued.request, "too late", 504, DECLINED)
                continue
            method = self._methods.get(queued.request.target.split(b"/")[1].split(b"?")[0])
            self._execute(queued, method)
            if self.fault("hang"):
                continue  # the request was executed, but gets no response; it doesn't occupy a slot
            self._busy_slots += 1
            loop.call_later(
                self._service_time_s(queued.attempt_id, method), self._finish, queued.request, self._crashes
            )

    def _execute(self, queued: QueuedRequest, method: Method | None) -> None:
        """Records the execution, unless the idempotency key is remembered from an earlier one."""
        now_s = asyncio.get_running_loop().time()
        key = queued.request.headers.get(b"idempotency-key", b"")
        memory = self._memories.setdefault(self._memory_groups[method.group if method else "all"], {})
        executed_at_s = memory.get(key, -math.inf)
        if key and method and now_s - executed_at_s < method.memory_ms / 1000:
            return
        if key:
            memory.pop(key, None)  # re-inserted below, so that the keys stay sorted by age
            memory[key] = now_s
            while len(memory) > MAX_REMEMBERED_KEYS:
                memory.pop(next(iter(memory)))
        self._ledger.add("ran", queued.attempt_id.decode(), self.name, key.decode())

    def _service_time_s(self, attempt_id: bytes, method: Method | None) -> float:
        random_source = random.Random(f"{self._seed} {attempt_id!r} {self.name}")
        mean_s = (method.work_ms if method else DEFAULT_WORK_MS) / 1000
        time_s = mean_s * random_source.lognormvariate(WORK_MU, WORK_SIGMA) / self._speed / self._capacity_share()
        if active := self.fault("slow"):
            time_s *= 1 + (active.fault.factor - 1)
        if active := self.fault("age"):
            age_s = asyncio.get_running_loop().time() - active.since_s
            time_s *= 1 + (active.fault.factor - 1) * min(1.0, age_s / max(1, active.fault.for_s))
        return time_s

    def _finish(self, request: Request, crashes: int) -> None:
        if crashes != self._crashes:
            return
        self._busy_slots -= 1
        attempt_id = request.headers[b"req-id"]
        loss_fault = self.fault("lose_answers")
        if loss_fault and random.Random(f"{self._seed} {attempt_id!r}").random() < loss_fault.fault.part:
            request.connection.abort()
            self._ledger.add("end", attempt_id.decode(), self.name, "answer lost")
        else:
            load = b'Srv-Load: {"inflight":%d}\r\n' % self._in_flight()
            self._respond(request, "ok", 200, load, attempt_id + b" " + self.name.encode())
        self._fill_slots()


class StandInBackends:
    """The role of the worker that runs all backends."""

    def __init__(self, setup: BackendsSetup, ledger: LedgerWriter) -> None:
        """Creates the backends, which listen after `start`."""
        self.ledger = ledger
        memories: dict[str, KeyMemory] = {}
        self._backends = {backend.name: StandInBackend(backend, setup, memories, ledger) for backend in setup.backends}

    async def start(self) -> None:
        """Starts all backends at full capacity."""
        for backend in self._backends.values():
            await backend.listen()

    async def execute(self, command: Command) -> Reply | None:
        """Starts or ends a fault of a backend."""
        if isinstance(command, ChangeBackendFault) and command.name in self._backends:
            await self._change_fault(self._backends[command.name], command)
        return None

    async def _change_fault(self, backend: StandInBackend, command: ChangeBackendFault) -> None:
        match command.fault.kind, command.begins:
            case "crash", True:
                backend.crash()
            case "crash", False:
                await backend.restart()
            case "drain" | "replace", True:
                backend.draining = True
            case "drain", False:
                backend.crash()
            case "replace", False:
                backend.crash()
                await backend.restart(command.replacement)
            case _, True:
                backend.faults[command.number] = ActiveFault(command.fault, asyncio.get_running_loop().time())
            case _, False:
                backend.faults.pop(command.number, None)

    async def shut_down(self) -> None:
        """Stops all backends."""
        for backend in self._backends.values():
            backend.crash()
