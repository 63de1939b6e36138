"""A complete gateway on loopback sockets, with stub servers for the backend, the counter service and discovery."""

import asyncio
import functools
import itertools
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Self

from stoneyoke.single_gateway.configuration import read_settings
from stoneyoke.single_gateway.program import SingleGatewayProgram

RawMessage = tuple[list[bytes], bytes]  # the lines of the head, and the body
Response = tuple[int, dict[bytes, bytes], bytes]  # status, headers, body

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
TEST_TIMEOUT_S = 20
POLL_S = 0.002
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"


def runs_on_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Runs an async test in a new event loop, for at most TEST_TIMEOUT_S."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run


async def until(condition: Callable[[], Any]) -> None:
    """Runs the event loop until the condition holds; if it never does, the test's time limit fails the test."""
    while not condition():  # noqa: ASYNC110 -- no event reports that the condition holds
        await asyncio.sleep(POLL_S)


LAB_PORT_MAX = 60_000  # the largest port that `stoneyoke lab` accepts


def free_port(host: str = "127.10.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port on which no process listens, so that concurrent test processes don't use the same fixed port."""
    while True:
        with socket.socket(type=kind) as probe:
            probe.bind((host, 0))
            port: int = probe.getsockname()[1]
        if port <= LAB_PORT_MAX:
            return port


async def read_message(reader: asyncio.StreamReader) -> RawMessage | None:
    """Reads a message as it was sent: the lines of its head, and its body. Returns None if the stream ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].split(b"\r\n")
        size = next((int(x[15:]) for x in lines if x.lower().startswith(b"content-length:")), 0)
        return lines, await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return None


class StubServer:
    """An HTTP server whose responses the test sets.

    Attributes:
        answer: The bytes to send, or a coroutine function of (request, writer) that returns them. None sends nothing;
            b"" closes the connection.
        requests: The requests that have been received.
        connections: The number of connections that have been accepted.
        closed: The number of them that are closed.
    """

    def __init__(self, answer: Any = OK) -> None:
        self.answer, self.connections, self.closed = answer, 0, 0
        self.requests: list[RawMessage] = []

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.host_port = f"{self.address[0]}:{self.address[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while request := await read_message(reader):
                self.requests.append(request)
                answer = await self.answer(request, writer) if callable(self.answer) else self.answer
                if answer == b"":
                    break
                if answer:
                    writer.write(answer)
        except asyncio.CancelledError:
            pass  # the event loop of the test is shut down
        self.closed += 1
        writer.transport.abort()


def total_response(text: bytes) -> bytes:
    """Returns a response of the counter service, with the total as its body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


def json_response(value: Any) -> bytes:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def entry(name: str, address: str, status: str = "active", since_ms: int = 0) -> dict[str, Any]:
    """Returns a row of discovery's endpoint list."""
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
    """Returns the bytes of an RPC with a unique id; a change of None omits that header."""
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


class RawClient:
    """A client connection that sends and receives raw bytes."""

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

    async def request(self, data: bytes) -> Response:
        """Sends a request, and returns the next response."""
        self.writer.write(data)
        return await self.receive()

    async def receive(self) -> Response:
        """Returns the next response."""
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("the connection was closed without a response")
        lines, body = message
        headers = dict(line.split(b": ", 1) for line in lines[1:])
        return int(lines[0].split()[1]), headers, body


class GatewayUnderTest:
    """A complete gateway on its own socket, with stub servers as backend, counter service and discovery.

    Attributes:
        configuration: The configuration that the gateway was started with.
        endpoint_list: Discovery's response to a query for the whole list; it never responds to a long poll for changes.
    """

    def __init__(self, answer: Any = OK, limits: dict[str, Any] | None = None, **caps: Any) -> None:
        self.caps = SETTINGS["caps"] | caps
        self.backend = StubServer(answer)
        self.counter = StubServer(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n2.0")
        self.discovery = StubServer(self.answer_discovery)
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.endpoint_list: Any = None

    async def answer_discovery(self, request: RawMessage, _: asyncio.StreamWriter) -> bytes | None:
        return json_response(self.endpoint_list) if b"hold_ms" not in request[0][0] else None

    async def __aenter__(self) -> Self:
        for part in (self.backend, self.counter, self.discovery):
            await part.__aenter__()
        self.endpoint_list = {"index": 4, "snapshot": True, "endpoints": [entry("s-1", self.backend.host_port)]}
        self.configuration = {
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.host_port,
            "counter": self.counter.host_port,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.endpoint_list,
            "settings": SETTINGS | {"caps": self.caps},
        }
        self.program = SingleGatewayProgram(read_settings(self.configuration))
        await self.program.start()
        self.address = self.program.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.program.server.close()
        self.program.discovery.stop()
        self.program.maintenance.cancel()
        for part in (self.backend, self.counter, self.discovery):
            await part.__aexit__()

    def connect(self, buffer: int | None = None) -> RawClient:
        """Returns a client connection; `buffer` is the size of its receive buffer in bytes."""
        return RawClient(self.address, buffer)

    def count(self, name: str) -> int:
        """Returns the value of one of the gateway's counters."""
        return self.program.metrics.counts[name]
