"""The clients: they send the plan's requests over persistent connections, and retry."""

import asyncio
import random
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass

import msgspec

from stoneyoke.lab.connection_pool import ConnectionPool
from stoneyoke.lab.http import ClientConnection, Response, open_connection
from stoneyoke.lab.ledger_rows import CONNECTION_CLOSED, GAVE_UP, NO_ANSWER
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.plan import Arrival
from stoneyoke.lab.worker_messages import Begin, ChangeClientsFault, ClientsSetup, Command, Drain, Drained, Reply

UNSENT = 0  # in place of a status: no connection to the gateway was established
RETRIED_STATUSES = (429, 503, UNSENT)
MAX_RETRIES = 2  # of one request; requests that the fault return_at_once sends again have as many of their own
RESEND_FIRST_TRY = 8  # number of the first try that return_at_once sends, so that try ids differ from earlier ones
MAX_REJECTED_CLIENTS = 500
MIN_RETRY_TIME_US = 50_000  # a client doesn't retry with less time than this until the deadline
DOWN_INTERVAL_S = 1.0  # how long clients skip a gateway that refused a connection
MIN_TIMEOUT_S, MAX_CONNECT_S = 0.05, 1.0
RESPONSE_SLACK_S = 0.5  # how long a client waits for a response beyond the deadline, or beyond GIVE_UP_SHARE
GIVE_UP_SHARE = 0.5  # share of the time to the deadline after which a client that gives up stops waiting
DRAIN_POLL_S = 0.2


@dataclass(slots=True, kw_only=True)
class ClientRequest:
    """A request of a client, with the state of its tries."""

    arrival: Arrival
    deadline_us: int  # since the run's start
    retries: int  # how many tries were made before the next one
    max_retries: int
    random_source: random.Random


@dataclass(frozen=True, slots=True)
class TryOutcome:
    """How a try ended: an HTTP status, or UNSENT, NO_ANSWER or CONNECTION_CLOSED."""

    status: int
    retry_after_s: float = 0.0


class ClientFleet:
    """The role of the worker that runs all clients."""

    def __init__(self, setup: ClientsSetup, ledger: LedgerWriter) -> None:
        """Sends nothing until it receives Begin."""
        self.ledger = ledger
        self._setup = setup
        self._settings = setup.settings
        self._pool = ConnectionPool()
        self._tasks: set[asyncio.Task[None]] = set()  # one for each request, and one that starts them
        self._down_until_s: dict[int, float] = {}  # loop time, by gateway that refused a connection
        # Arrivals whose last try was rejected, with the gateway of that try. The fault return_at_once sends them again.
        self._rejected: deque[Arrival] = deque(maxlen=MAX_REJECTED_CLIENTS)
        self._sending = True

    async def start(self) -> None:
        """Does nothing: clients don't listen."""

    async def execute(self, command: Command) -> Reply | None:
        """Starts sending, drains, or sends rejected requests again."""
        match command:
            case Begin():
                self._start_task(self._send_arrivals())
            case Drain():
                return await self._drain()
            case ChangeClientsFault(begins=True) if command.fault.kind == "return_at_once":
                self._resend_rejected()
        return None

    async def shut_down(self) -> None:
        """Cancels all requests and closes all idle connections."""
        for task in self._tasks:
            task.cancel()
        self._pool.close()

    async def _drain(self) -> Drained:
        """Sends no new requests, and waits until none is pending."""
        self._sending = False
        while self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_POLL_S)
        return Drained()

    def _resend_rejected(self) -> None:
        """Sends the most recently rejected requests again, on new connections."""
        self._pool.close()
        while self._rejected:
            self._start_task(self._send_request(self._rejected.popleft(), retries=RESEND_FIRST_TRY))

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- one request ----

    async def _send_arrivals(self) -> None:
        for arrival in self._setup.arrivals:
            wait_us = arrival.at_us - self.ledger.now_us()
            if wait_us > 0:
                await asyncio.sleep(wait_us / 1e6)
            if not self._sending:
                return
            self._start_task(self._send_request(arrival))

    async def _send_request(self, arrival: Arrival, retries: int = 0) -> None:
        """Sends one request with its retries. The time to its deadline starts with its first try."""
        request = ClientRequest(
            arrival=arrival,
            deadline_us=self.ledger.now_us() + arrival.wait_us,
            retries=retries,
            max_retries=retries + MAX_RETRIES,
            random_source=random.Random(f"{self._setup.seed} {arrival.number}"),
        )
        gateway = arrival.gateway
        while True:
            outcome = await self._send_try(request, self._gateway_up(gateway, arrival.customer))
            request.retries += 1
            if outcome.status not in RETRIED_STATUSES:
                return
            if request.retries > request.max_retries or not self._is_drawn(request, self._settings.retries):
                self._rejected.append(msgspec.structs.replace(arrival, gateway=gateway))
                return
            await asyncio.sleep(self._retry_pause_s(request, outcome))
            if request.deadline_us - self.ledger.now_us() < MIN_RETRY_TIME_US:
                return
            gateway = self._random_gateway(request)

    @staticmethod
    def _is_drawn(request: ClientRequest, share: float) -> bool:
        return request.random_source.random() < share

    def _retry_pause_s(self, request: ClientRequest, outcome: TryOutcome) -> float:
        """Returns the wait before a retry: the client's own backoff, or Retry-After if the client honours it."""
        backoff_s = self._settings.backoff_ms / 1000 * (0.5 + request.random_source.random())
        if self._is_drawn(request, self._settings.honour):
            return min(outcome.retry_after_s, self._settings.longest_wait_ms / 1000)
        return backoff_s

    def _random_gateway(self, request: ClientRequest) -> int:
        customer = self._setup.customers[request.arrival.customer]
        return (customer.first + request.random_source.randrange(customer.width)) % len(self._setup.gateways)

    def _gateway_up(self, gateway: int, customer_number: int) -> int:
        """Returns the gateway, or if it is known to be down the next of the customer's gateways that is not."""
        customer = self._setup.customers[customer_number]
        now_s = asyncio.get_running_loop().time()
        for step in range(customer.width):
            rank = (gateway - customer.first + step) % customer.width
            candidate = (customer.first + rank) % len(self._setup.gateways)
            if self._down_until_s.get(candidate, 0.0) <= now_s:
                return candidate
        return gateway

    # ---- one try ----

    async def _send_try(self, request: ClientRequest, gateway: int) -> TryOutcome:
        """Sends one try; sends it again on a new connection if an idle connection was closed during it."""
        arrival = request.arrival
        try_id = f"{arrival.number:010x}{request.retries:02x}"
        time_left_s = (request.deadline_us - self.ledger.now_us()) / 1e6
        gives_up = bool(self._settings.give_up) and self._is_drawn(request, self._settings.give_up)
        data = self._encode(request, try_id, time_left_s)
        timeout_s = max(MIN_TIMEOUT_S, time_left_s * (GIVE_UP_SHARE if gives_up else 1.0) + RESPONSE_SLACK_S)
        fields = (arrival.number, arrival.customer, arrival.method, self._setup.gateways[gateway], request.retries)
        connection = self._pool.take(gateway)
        is_reused = connection is not None
        while True:
            if connection is None:
                try:
                    connection = await self._connect(gateway, time_left_s)
                except OSError as error:
                    self.ledger.add("unmet", try_id, *fields, type(error).__name__)
                    return TryOutcome(UNSENT)
            self.ledger.add("rpc", try_id, *fields, request.deadline_us)
            try:
                response = await connection.request(data, timeout_s)
            except TimeoutError:
                self.ledger.add("ans", try_id, NO_ANSWER, GAVE_UP if gives_up else "no answer", 0.0)
                connection.close()
                return TryOutcome(NO_ANSWER)
            except ConnectionError:
                connection.close()
                self.ledger.add("ans", try_id, CONNECTION_CLOSED, "closed", 0.0)
                if not is_reused:
                    return TryOutcome(CONNECTION_CLOSED)
                connection, is_reused = None, False  # the gateway may have closed it before the request arrived
                continue
            self._pool.put_back(gateway, connection)
            return self._record_response(try_id, response)

    async def _connect(self, gateway: int, time_left_s: float) -> ClientConnection:
        timeout_s = max(MIN_TIMEOUT_S, min(MAX_CONNECT_S, time_left_s))
        try:
            return await open_connection(self._setup.entries[gateway], timeout_s)
        except ConnectionRefusedError:
            self._down_until_s[gateway] = asyncio.get_running_loop().time() + DOWN_INTERVAL_S
            raise

    def _record_response(self, try_id: str, response: Response) -> TryOutcome:
        retry_after_s = float(response.headers.get(b"retry-after", b"0"))
        words = response.body.decode(errors="replace").split()
        self.ledger.add("ans", try_id, response.status, " ".join(words[:2]), retry_after_s)
        return TryOutcome(response.status, retry_after_s)

    def _encode(self, request: ClientRequest, try_id: str, time_left_s: float) -> bytes:
        """Returns the HTTP request of a try."""
        arrival = request.arrival
        customer, method = self._setup.customers[arrival.customer], self._setup.methods[arrival.method]
        is_idempotent = method.effect == "idempotent"
        lines = [
            f"{'GET' if is_idempotent else 'POST'} /{method.name}/x HTTP/1.1",
            "Host: lab",
            f"Req-Id: {try_id}",
            f"Req-Kind: {method.name}",
            f"X-Plan: {self._setup.plans[customer.plan]}",
            f"X-Customer: {customer.account:016x}",
            f"Req-Deadline: {time_left_s:.3f}",
            f"X-Quota: units={method.units:g},spread={customer.width},first={customer.first}",
        ]
        if not is_idempotent:
            lines += [f"Idempotency-Key: {arrival.number:012x}", "Content-Length: 0"]
        if self._settings.marks and request.retries:
            lines.append("Req-Retry: 1")
        return "\r\n".join([*lines, "", ""]).encode()
