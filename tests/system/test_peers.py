"""Calls between processes over real sockets: which response is accepted for a call, and what closes a connection."""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from types import TracebackType

from ward import each, test

from stoneyoke.transport.errors import MalformedMessage, PeerUnreachable
from stoneyoke.transport.framing import read_frame
from stoneyoke.transport.messages import (
    KINDS,
    RESPONSES,
    FetchRequest,
    FetchResponse,
    HeartbeatRow,
    InstanceRefresh,
    InstanceUpdateResponse,
    Message,
    QuotaGrant,
    QuotaRequest,
    QuotaResponse,
    VersionRow,
    pack,
    unpack,
)
from stoneyoke.transport.messages.codec import LENGTH_BYTES
from stoneyoke.transport.peer_client import PeerClient
from stoneyoke.transport.peer_connection import PeerConnection
from stoneyoke.transport.peer_server import PeerServer

REQUEST = FetchRequest()
RESPONSE = FetchResponse(version=VersionRow(3, b"digest"), body=b"text")
OTHER_REQUEST = InstanceRefresh(heartbeats=[HeartbeatRow("i-1", 7)])
CALL_TIMEOUT_S = 5.0
ANY_PORT = ("127.0.0.1", 0)

# Maps the connection's number (from 1), the call's number and the request to the bytes to write; None: close.
Script = Callable[[int, int, Message], bytes | None]


def on_loop(test_coroutine: Callable[..., Coroutine[None, None, None]]) -> Callable[..., None]:
    """Runs a test on a new event loop."""

    @functools.wraps(test_coroutine)
    def run(*args: object, **kwargs: object) -> None:
        asyncio.run(test_coroutine(*args, **kwargs))

    return run


class ScriptedPeer:
    """A peer that responds according to a script, and a client that calls it."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.received: list[tuple[int, Message]] = []  # call numbers and requests
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "ScriptedPeer":
        self.server = await asyncio.start_server(self.serve, *ANY_PORT)
        self.client = PeerClient(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        own_number = self.connections
        try:
            while (body := await read_frame(reader)) is not None:
                number, request = unpack(body)
                self.received.append((number, request))
                data = self.script(own_number, number, request)
                if data is None:
                    break
                writer.write(data)
            await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def call(self, request: Message = REQUEST) -> asyncio.Future[Message]:
        return asyncio.ensure_future(self.client.call(request, CALL_TIMEOUT_S))

    def connection(self) -> PeerConnection:
        """Returns the client's last connection."""
        assert self.client.connection
        return self.client.connection


def respond_to_all(_: int, number: int, __: Message) -> bytes:
    """A script that responds to every call."""
    return pack(number, RESPONSE)


def respond_to_none(*_: object) -> bytes:
    """A script that never responds."""
    return b""


def fetched(version_number: int) -> FetchResponse:
    return FetchResponse(version=VersionRow(version_number, b"d"), body=b"")


async def until(holds: Callable[[], object]) -> None:
    async with asyncio.timeout(5):
        while not holds():  # noqa: ASYNC110 -- the state that is waited for has no event
            await asyncio.sleep(0)


async def is_unreachable(call: Awaitable[Message]) -> bool:
    """Returns True if a call fails with PeerUnreachable; raises AssertionError with its response otherwise."""
    try:
        response = await call
    except PeerUnreachable:
        return True
    raise AssertionError(f"accepted: {response}")


@test("each message type is either a request with a response type, or a response")
def _() -> None:
    assert set(RESPONSES) | set(RESPONSES.values()) == set(KINDS)
    assert not set(RESPONSES) & set(RESPONSES.values())


@test("responses are matched to calls in any order, and concurrent calls open a single connection")
@on_loop
async def _() -> None:
    calls: list[tuple[int, Message]] = []

    def respond_after_third_call(_: int, number: int, request: Message) -> bytes:
        calls.append((number, request))
        if len(calls) < 3:
            return b""
        return b"".join(
            pack(number, fetched(number) if request == REQUEST else InstanceUpdateResponse())
            for number, request in reversed(calls)
        )

    async with ScriptedPeer(respond_after_third_call) as peer:
        first, second, third = peer.call(), peer.call(OTHER_REQUEST), peer.call()
        assert await first == fetched(1)
        assert await second == InstanceUpdateResponse()
        assert await third == fetched(3)
        assert peer.connections == 1


UNEXPECTED: dict[str, Callable[[int], bytes]] = {
    "of another kind": lambda number: pack(number, QuotaResponse(ok=True, grants=[])),
    "that is a request": lambda number: pack(number, REQUEST),
    "to a call that was never made": lambda number: pack(number + 1, RESPONSE),
    "to call 0": lambda _: pack(0, RESPONSE),
    "that is not a message": lambda _: b"\x00\x00\x00\x01x",
    "of an excessive length": lambda _: b"\xff\xff\xff\xff",
    "to a call that already has its response": lambda _: pack(1, RESPONSE),
}
EACH_FAULT = each(*UNEXPECTED)


@test("a response {fault} closes its connection and fails all calls pending on it")
@on_loop
async def _(fault: str = EACH_FAULT) -> None:
    def respond_wrongly_to_second_call(connection: int, number: int, _: Message) -> bytes:
        if connection == 1 and number == 2:
            return UNEXPECTED[fault](number) + pack(number, RESPONSE)  # the valid response after the fault is not read
        return pack(number, RESPONSE)

    async with ScriptedPeer(respond_wrongly_to_second_call) as peer:
        assert await peer.call() == RESPONSE
        assert await is_unreachable(peer.call())
        assert await peer.call() == RESPONSE
        assert peer.connections == 2


@test("a repeated response closes its connection")
@on_loop
async def _() -> None:
    async with ScriptedPeer(lambda connection, number, _: pack(number, RESPONSE) * (1 + (connection == 1))) as peer:
        assert await peer.call() == RESPONSE
        await until(lambda: peer.connection().closed)
        assert await peer.call() == RESPONSE
        assert peer.connections == 2


@test("a response to a call on an earlier connection is not accepted for a call on a later one")
@on_loop
async def _() -> None:
    def respond_to_earlier_call(connection: int, number: int, _: Message) -> bytes | None:
        if connection == 1:
            return None
        return pack(1, RESPONSE) if connection == 2 else pack(number, RESPONSE)

    async with ScriptedPeer(respond_to_earlier_call) as peer:
        assert await is_unreachable(peer.call())
        assert await is_unreachable(peer.call())  # call number 1 was used on the earlier connection
        assert await peer.call() == RESPONSE
        assert peer.received[-1][0] == 3


@test("data left in the buffers of a closed connection is not read")
@on_loop
async def _() -> None:
    async with ScriptedPeer(respond_to_none) as peer:
        call = peer.call()
        await until(lambda: peer.received)
        old = peer.connection()
        peer.writers[0].write(pack(1, RESPONSE))
        old.close("in doubt")
        try:
            old.accept_response(
                1, RESPONSE
            )  # as if it had been read in the turn of the loop that closed the connection
            raise AssertionError("a closed connection accepts responses")
        except MalformedMessage:
            assert await is_unreachable(call)
        renewed = peer.call()
        await until(lambda: len(peer.received) == 2)
        assert not old.pending
        assert not renewed.done()
        assert peer.connection() is not old
        peer.writers[1].write(pack(2, RESPONSE))
        assert await renewed == RESPONSE


@test("the response to a cancelled call is dropped, and a second response to it closes the connection")
@on_loop
async def _() -> None:
    async with ScriptedPeer(lambda _, number, __: b"" if number == 1 else pack(number, RESPONSE)) as peer:
        cancelled = peer.call()
        await until(lambda: peer.received)
        cancelled.cancel()
        await asyncio.wait([cancelled])
        peer.writers[0].write(pack(1, RESPONSE))
        assert await peer.call() == RESPONSE
        assert peer.connections == 1
        await until(lambda: not peer.connection().abandoned)
        peer.writers[0].write(pack(1, RESPONSE))
        await until(lambda: peer.connection().closed)


@test("a response that was received before a suspension of the process is rejected, and a new connection is opened")
@on_loop
async def _() -> None:
    async with ScriptedPeer(respond_to_all) as peer:
        loop = asyncio.get_running_loop()
        assert await peer.call() == RESPONSE
        connection, now = peer.connection(), loop.time
        call_on_connection = connection.call

        async def suspended_with_response(request: Message) -> Message:
            response = await call_on_connection(request)
            loop.time = lambda: now() + CALL_TIMEOUT_S + 1
            return response

        connection.call = suspended_with_response
        assert await is_unreachable(peer.call())
        assert connection.closed
        delattr(loop, "time")
        assert await peer.call() == RESPONSE
        assert peer.connections == 2


@test("a call to an unresponsive peer times out, and so do the other calls on that connection")
@on_loop
async def _() -> None:
    async with ScriptedPeer(respond_to_none) as peer:
        other = peer.call()
        await until(lambda: peer.received)
        assert await is_unreachable(peer.client.call(REQUEST, 0.01))
        assert await is_unreachable(other)


def mutations(data: bytes) -> Iterator[bytes]:
    """Yields the data truncated, and with a low or a high bit flipped, at each byte."""
    for at in range(len(data)):
        yield data[:at]
        for bit in (1, 128):
            yield data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]


@test("a mutated response is never accepted for another call, and the next call gets its own response")
@on_loop
async def _() -> None:
    request = QuotaRequest(name="edge", incarnation="l", since_answer_ms=0, complete=False, demands=[])
    response = QuotaResponse(ok=True, grants=[QuotaGrant("anna", 1.0, 0.0, 0.5, 2.0)])
    all_mutations, accepted = list(mutations(pack(1, response))), 0
    for mutated in all_mutations:

        def respond_with_mutation(connection: int, number: int, _: Message, data: bytes = mutated) -> bytes | None:
            if connection > 1:
                return pack(number, response)
            peer.writers[0].write(data)
            return None  # closes the connection after the mutated response

        async with ScriptedPeer(respond_with_mutation) as peer:
            try:
                received = await peer.call(request)
                assert isinstance(received, QuotaResponse)
                assert unpack(mutated[LENGTH_BYTES:])[0] == 1
                accepted += 1
            except PeerUnreachable:
                pass
            assert await response_after_close(peer, request) == response
    assert accepted < len(all_mutations) / 2


async def response_after_close(peer: ScriptedPeer, request: Message) -> Message:
    """Returns the first response of a peer that may still be closing its connection."""
    async with asyncio.timeout(5):
        while True:
            try:
                return await peer.call(request)
            except PeerUnreachable:
                pass


WRONG_SECOND: dict[str, bytes] = {
    "has the same number": pack(5, REQUEST),
    "has a lower number": pack(4, REQUEST),
    "is a response": pack(6, RESPONSE),
    "has number 0": pack(0, REQUEST),
}
EACH_WRONG_SECOND = each(*WRONG_SECOND)


@test("a server closes a connection on which a second request {fault}")
@on_loop
async def _(fault: str = EACH_WRONG_SECOND) -> None:
    handled: list[Message] = []

    async def handle(request: Message) -> Message:
        handled.append(request)
        return RESPONSE

    server = PeerServer(handle)
    await server.open(ANY_PORT)
    reader, writer = await asyncio.open_connection(*server.bound_address())
    writer.write(pack(5, REQUEST))
    assert unpack(await read_frame(reader) or b"") == (5, RESPONSE)
    writer.write(WRONG_SECOND[fault])
    async with asyncio.timeout(5):
        with contextlib.suppress(ConnectionResetError):
            assert await read_frame(reader) is None
    assert handled == [REQUEST]
    writer.transport.abort()
    server.close()
