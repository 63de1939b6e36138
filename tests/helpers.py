"""One gateway under test, with the terms and events that most tests share, and stand-ins for its sockets."""

import asyncio
import functools
import itertools
import json
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Self, TypeVar

from stoneyoke.control import Gateway
from stoneyoke.control.actions import Action, StartAttempt
from stoneyoke.control.events import Arrival, AttemptEnded, Endpoint, EndpointsChanged, Event, TimerFired
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
    Plan,
)
from stoneyoke.single_gateway.configuration import read_settings
from stoneyoke.single_gateway.program import SingleGatewayProgram

Heard = tuple[list[bytes], bytes]  # a message: its head's lines and its body
Answer = tuple[int, dict[bytes, bytes], bytes]  # status, headers, body
Kind = TypeVar("Kind")

START = 1_000_000_000_000
METHODS = (
    Method(
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=0,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.ZONE,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=2_000_000,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=0,
        utility=1.0,
    ),
    Method(
        idempotency=Idempotency.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.ALL,
        soft_deadline_us=1_000_000,
        deadline_us=2_500_000,
        deduplication_window_us=2_000_000,
        utility=1.0,
    ),
)


def plan(
    rate: float = 4.0,
    burst: float = 12.0,
    parallel: int = 0,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    price: float = 1.0,
) -> Plan:
    return Plan(
        rate=rate,
        burst=burst,
        price=price,
        concurrency_max=parallel,
        ceiling_rate=ceiling_rate,
        ceiling_burst=ceiling_burst,
    )


def parameters(plans: tuple[Plan, ...] | None = None, **changes: Any) -> GatewayParameters:
    values: dict[str, Any] = {
        "seed": 7,
        "gateways": 3,
        "own_index": 0,
        "zone": 0,
        "methods": METHODS,
        "plans": plans or (plan(),),
        "attempts_max": 5,
        "can_cancel_attempts": True,
        "has_counter": True,
        "clients_mark_retries": False,
        "advises_wait": True,
        "settles_units": False,
        "must_subscribe": False,
        "units_max": 0.5,
        "cold_share": 0.25,
        "warm_up_us": 10_000_000,
        "overload_factor": 2.0,
        "overload_window_us": 1_500_000,
    }
    return GatewayParameters(**(values | changes))


class Bench:
    """Drives one gateway and keeps every action with its time."""

    def __init__(self, fleet: int = 6, started: dict[int, int] | None = None, **changes: Any) -> None:
        self.now, self.next_rpc = START, 0
        self.log: list[tuple[int, Action]] = []
        self.gateway = Gateway(parameters(**changes), START)
        started = started or {}
        self.tell(
            EndpointsChanged(
                True, False, [Endpoint(i, i % 2, i % 3, started.get(i, 0), BackendState.READY) for i in range(fleet)]
            )
        )

    def tell(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(event, self.now)
        self.log += [(self.now, action) for action in actions]
        return actions

    def arrive(
        self,
        method: int = 0,
        customer: int = 0,
        units: float = 1.0,
        width: float = 3.0,
        wait: int = 2_500_000,
        plan: int = 0,
        repeat: bool | None = None,
    ) -> list[Action]:
        self.next_rpc += 1
        return self.tell(
            Arrival(
                rpc=self.next_rpc,
                method=method,
                plan=plan,
                customer=customer,
                customer_id=1000 + customer,
                wait_us=wait,
                units=units,
                customer_gateways=width,
                is_retry=repeat,
            )
        )

    def end(
        self,
        rpc: int,
        n: int,
        backend: int,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        closed: bool | None = None,
        units: float = 0.0,
    ) -> list[Action]:
        closed = outcome is AttemptOutcome.OK if closed is None else closed
        return self.tell(
            AttemptEnded(rpc=rpc, attempt=n, backend=backend, outcome=outcome, is_final=closed, settled_units=units)
        )

    def pass_time(self, microseconds: int, answer: Callable[[Action], Event | None] | None = None) -> list[Action]:
        """Beats on the way; answer(action) may return an event for an action."""
        until, out = self.now + microseconds, list[Action]()
        while self.now < until:
            self.now = min(until, self.now + 50_000 - self.now % 50_000)
            actions = self.tell(TimerFired(0))
            out += actions
            for action in actions:
                if answer and (event := answer(action)):
                    self.tell(event)
        return out


def of(kind: type[Kind], actions: Iterable[Any]) -> list[Kind]:
    return [a for a in actions if isinstance(a, kind)]


def sent(actions: Iterable[Any]) -> list[StartAttempt]:
    return of(StartAttempt, actions)


# ---- the gateway on loopback sockets, between stand-ins of the systems around it ----

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "self-index": 1,
    "zone": 0,
    "discovery": "automatic",
    "zones": ["hall-a", "hall-b"],
    "caps": {"cancel": True, "try-limit": 5, "dial-timeout-us": 250_000, "conn-idle-us": 30_000_000},
    "extra": {"units-top": 4, "has-counter": True, "count-limit-us": 80_000},
    "rules": {
        "cold-from": 0.2,
        "ramp-time-us": 10_000_000,
        "overload-factor": 2.0,
        "overload-for-us": 1_500_000,
        "answer-slack-us": 8_000,
    },
    "classes": [
        {"effect": "idempotent", "aim-us": 1_000_000, "deadline-us": 2_000_000, "gain": 1.0, "name": "look"},
        {
            "effect": "deduplicated",
            "group": "all",
            "memory-span-us": 4_000_000,
            "aim-us": 1_000_000,
            "deadline-us": 2_000_000,
            "gain": 3.0,
            "name": "order",
        },
    ],
    "tariffs": [
        {
            "units-per-s": 100.0,
            "depth": 400.0,
            "worth-factor": 1.0,
            "parallel": 0,
            "cap-rate": 0.0,
            "cap-depth": 0.0,
            "name": "team",
        }
    ],
}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"


def on_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Runs an async test to its end, 20 s at most."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), 20))

    return run


async def until(holds: Callable[[], Any]) -> None:
    """Lets the loop run on until holds() does; on_loop's limit is the end of it."""
    while not holds():  # noqa: ASYNC110 -- what it looks at has no event
        await asyncio.sleep(0.002)


LAB_PORT_MAX = 60_000  # the largest that `stoneyoke lab` takes


def free_port(host: str = "127.10.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that nobody listens on now: so that runs beside each other don't meet on a fixed one."""
    while True:
        with socket.socket(type=kind) as probe:
            probe.bind((host, 0))
            port: int = probe.getsockname()[1]
        if port <= LAB_PORT_MAX:
            return port


async def read_message(reader: asyncio.StreamReader) -> Heard | None:
    """A message as it stands on the wire: its head's lines and its body. None where the stream ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].split(b"\r\n")
        size = next((int(x[15:]) for x in lines if x.lower().startswith(b"content-length:")), 0)
        return lines, await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return None


class StandIn:
    """An HTTP server whose answers the test sets: bytes, or a coroutine function of (request, writer).
    None says nothing; b"" closes the connection."""

    def __init__(self, answer: Any = OK) -> None:
        self.answer, self.connections, self.closed = answer, 0, 0
        self.got: list[Heard] = []

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.text = f"{self.address[0]}:{self.address[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while request := await read_message(reader):
                self.got.append(request)
                answer = await self.answer(request, writer) if callable(self.answer) else self.answer
                if answer == b"":
                    break
                if answer:
                    writer.write(answer)
        except asyncio.CancelledError:
            pass  # the test is over
        self.closed += 1
        writer.transport.abort()


def total(text: bytes) -> bytes:
    """The counter's answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


def json_answer(value: Any) -> bytes:
    body = json.dumps(value).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def entry(name: str, address: str, status: str = "active", since_ms: int = 0) -> dict[str, Any]:
    return {
        "name": name,
        "address": address,
        "zone": "hall-a",
        "type": "m2",
        "group": 3,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


IDS = itertools.count(1)


def rpc(kind: bytes = b"look", body: bytes = b"", **changes: str | None) -> bytes:
    """An RPC on the wire, with an id of its own; a change of None leaves the header out."""
    fields: dict[str, str | None] = {
        "Host": "app.svc",
        "Req-Id": f"{next(IDS):016x}",
        "Req-Kind": kind.decode(),
        "X-Plan": "team",
        "X-Customer": "00000000b4d65521",
        "Req-Deadline": "2.000",
        "X-Quota": "units=2,spread=3,first=1",
    }
    if kind == b"order":
        fields |= {"Idempotency-Key": "5c0f6e1a", "Content-Length": str(len(body))}
    fields |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v is not None)
    verb = b"POST" if kind == b"order" else b"GET"
    return b"%s /%s/x?y=1 HTTP/1.1\r\n%s\r\n%s" % (verb, kind, lines.encode(), body)


class Caller:
    """A client's connection, byte for byte."""

    def __init__(self, address: tuple[str, int], buffer: int | None = None) -> None:
        self.address, self.buffer = address, buffer

    async def __aenter__(self) -> Self:
        sock = socket.socket()
        if self.buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.transport.abort()

    async def ask(self, data: bytes) -> Answer:
        """The status, the headers and the body of what comes back."""
        self.writer.write(data)
        return await self.hear()

    async def hear(self) -> Answer:
        """What comes back without having asked."""
        heard = await read_message(self.reader)
        assert heard
        lines, body = heard
        headers = dict(line.split(b": ", 1) for line in lines[1:])
        return int(lines[0].split()[1]), headers, body


class GatewayUnderTest:
    """A whole gateway, listening, with a backend, a counter and discovery as stand-ins."""

    def __init__(self, answer: Any = OK, limits: dict[str, Any] | None = None, **caps: Any) -> None:
        self.caps = SETTINGS["caps"] | caps
        self.backend = StandIn(answer)
        self.counter = StandIn(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n2.0")
        self.discovery = StandIn(self.tell)
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.list: Any = None

    async def tell(self, request: Heard, _: asyncio.StreamWriter) -> bytes | None:
        return json_answer(self.list) if b"hold_ms" not in request[0][0] else None

    async def __aenter__(self) -> Self:
        for part in (self.backend, self.counter, self.discovery):
            await part.__aenter__()
        self.list = {"index": 4, "snapshot": True, "endpoints": [entry("s-1", self.backend.text)]}
        self.given = {
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.text,
            "counter": self.counter.text,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.list,
            "settings": SETTINGS | {"caps": self.caps},
        }
        self.program = SingleGatewayProgram(read_settings(self.given))
        await self.program.start()
        self.address = self.program.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.program.server.close()
        self.program.discovery.stop()
        self.program.maintenance.cancel()
        for part in (self.backend, self.counter, self.discovery):
            await part.__aexit__()

    def caller(self, buffer: int | None = None) -> Caller:
        return Caller(self.address, buffer)

    def count(self, what: str) -> int:
        return self.program.metrics.counts[what]
