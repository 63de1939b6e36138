import asyncio
import functools

from ward import test

from stoneyoke.transport.messages import (
    KINDS,
    RESPONSES,
    FetchRequest,
    FetchResponse,
    HeartbeatRow,
    InstanceRefresh,
    InstanceUpdateResponse,
    MalformedMessage,
    QuotaGrant,
    QuotaRequest,
    QuotaResponse,
    VersionRow,
    pack,
    unpack,
)
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.framing import read_frame
from stoneyoke.transport.peer_client import PeerClient
from stoneyoke.transport.peer_server import PeerServer

ASKED, ANSWER = FetchRequest(), FetchResponse(version=VersionRow(3, b"digest"), body=b"text")
OTHER = InstanceRefresh(heartbeats=[HeartbeatRow("i-1", 7)])
WITHIN_S = 5.0


def on_loop(story):
    @functools.wraps(story)
    def run():
        asyncio.run(story())

    return run


class Peer:
    """script: from (connection's number from 1, call's number, message) to the bytes written; None: a close."""

    def __init__(self, script):
        self.script, self.connections, self.got, self.writers = script, 0, [], []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.client = PeerClient(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        own = self.connections
        try:
            while (body := await read_frame(reader)) is not None:
                self.got.append(unpack(body))
                data = self.script(own, *self.got[-1])
                if data is None:
                    break
                writer.write(data)
            await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def call(self, message=ASKED):
        return asyncio.ensure_future(self.client.call(message, WITHIN_S))


def fetched(number):
    return FetchResponse(version=VersionRow(number, b"d"), body=b"")


async def until(holds):
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0)


async def fails(call):
    try:
        answer = await call
    except PeerUnreachable:
        return True
    raise AssertionError(f"taken: {answer}")


@test("each kind of message is a request with its response, or a response")
def _():
    assert set(RESPONSES) | set(RESPONSES.values()) == set(KINDS)
    assert not set(RESPONSES) & set(RESPONSES.values())


@test("answers find their calls in any order, and calls that need a connection at once make one")
@on_loop
async def _():
    calls = []

    def script(_, number, message):
        calls.append((number, message))
        if len(calls) < 3:
            return b""
        return b"".join(
            pack(number, fetched(number) if message == ASKED else InstanceUpdateResponse())
            for number, message in reversed(calls)
        )

    async with Peer(script) as peer:
        first, second, third = peer.call(), peer.call(OTHER), peer.call()
        assert (await first).version.number == 1 and await second == InstanceUpdateResponse()
        assert (await third).version.number == 3 and peer.connections == 1


@test("an answer of another kind, to no call, or sent twice ends its connection and whoever waits on it")
@on_loop
async def _():
    for wrong in (
        lambda number: pack(number, QuotaResponse(ok=True, grants=[])),  # of another kind
        lambda number: pack(number, ASKED),  # no answer
        lambda number: pack(number + 1, ANSWER),  # to a call that was never made
        lambda number: pack(0, ANSWER),
        lambda number: b"\x00\x00\x00\x01x",  # no message
        lambda number: b"\xff\xff\xff\xff",
        lambda number: pack(1, ANSWER),  # to the first, which had its answer
    ):

        def script(connection, number, _, wrong=wrong):
            if connection == 1 and number == 2:
                return wrong(number) + pack(number, ANSWER)  # what comes behind it counts no more
            return pack(number, ANSWER)

        async with Peer(script) as peer:
            assert await peer.call() == ANSWER
            assert await fails(peer.call())
            assert await peer.call() == ANSWER and peer.connections == 2
    doubled = Peer(lambda connection, number, _: pack(number, ANSWER) * (1 + (connection == 1)))
    async with doubled as peer:
        assert await peer.call() == ANSWER
        await until(lambda: peer.client.connection.closed)
        assert await peer.call() == ANSWER and peer.connections == 2


@test("an answer to a call of an earlier connection is taken for no call of this one")
@on_loop
async def _():
    def script(connection, number, _):
        if connection == 1:
            return None
        return pack(1, ANSWER) if connection == 2 else pack(number, ANSWER)

    async with Peer(script) as peer:
        assert await fails(peer.call())
        assert await fails(peer.call())  # number 1 was the earlier connection's
        assert await peer.call() == ANSWER and peer.got[-1][0] == 3


@test("what an ended connection still holds is read by nobody")
@on_loop
async def _():
    async with Peer(lambda *_: b"") as peer:
        call = peer.call()
        await until(lambda: peer.got)
        old = peer.client.connection
        peer.writers[0].write(pack(1, ANSWER))
        old.close("in doubt")
        try:
            old.accept_response(1, ANSWER)  # had been read in the turn of the loop in which it ended
            raise AssertionError("an ended connection takes answers")
        except MalformedMessage:
            assert await fails(call)
        renewed = peer.call()
        await until(lambda: len(peer.got) == 2)
        assert not old.pending and not renewed.done() and peer.client.connection is not old
        peer.writers[1].write(pack(2, ANSWER))
        assert await renewed == ANSWER


@test("a call given up by its caller: its answer finds nobody, and only a second one ends the connection")
@on_loop
async def _():
    async with Peer(lambda _, number, __: b"" if number == 1 else pack(number, ANSWER)) as peer:
        given_up = peer.call()
        await until(lambda: peer.got)
        given_up.cancel()
        await asyncio.wait([given_up])
        peer.writers[0].write(pack(1, ANSWER))
        assert await peer.call() == ANSWER and peer.connections == 1
        await until(lambda: not peer.client.connection.abandoned)
        peer.writers[0].write(pack(1, ANSWER))
        await until(lambda: peer.client.connection.closed)


@test("a process that stood still with the answer in hand does not take it, and goes on on another connection")
@on_loop
async def _():
    async with Peer(lambda _, number, __: pack(number, ANSWER)) as peer:
        loop = asyncio.get_running_loop()
        assert await peer.call() == ANSWER
        connection, now = peer.client.connection, loop.time
        answered = connection.call

        async def stands_still(message):
            answer = await answered(message)
            loop.time = lambda: now() + WITHIN_S + 1
            return answer

        connection.call = stands_still
        assert await fails(peer.call()) and connection.closed
        del loop.time
        assert await peer.call() == ANSWER and peer.connections == 2


@test("a silent peer: the call fails in time, and so do the others on that connection")
@on_loop
async def _():
    async with Peer(lambda *_: b"") as peer:
        other = peer.call()
        await until(lambda: peer.got)
        assert await fails(asyncio.ensure_future(peer.client.call(ASKED, 0.01))) and await fails(other)


@test("no mutation of one answer is taken for another call's, and the next call has its own")
@on_loop
async def _():
    asked = QuotaRequest(name="edge", incarnation="l", since_answer_ms=0, complete=False, demands=[])
    whole = QuotaResponse(ok=True, grants=[QuotaGrant("anna", 1.0, 0.0, 0.5, 2.0)])
    data, taken = pack(1, whole), 0
    mutations = [data[:at] for at in range(len(data))]
    mutations += [data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :] for at in range(len(data)) for bit in (1, 128)]
    for mutated in mutations:

        def script(connection, number, _, mutated=mutated):
            if connection > 1:
                return pack(number, whole)
            peer.writers[0].write(mutated)
            return None  # it hangs up behind it

        async with Peer(script) as peer:
            try:
                answer = await peer.call(asked)
                assert isinstance(answer, QuotaResponse) and unpack(mutated[4:])[0] == 1
                taken += 1
            except PeerUnreachable:
                pass
            async with asyncio.timeout(5):
                while True:
                    try:
                        assert await peer.call(asked) == whole
                        break
                    except PeerUnreachable:  # it had not hung up yet
                        pass
    assert taken < len(mutations) / 2


@test("a server ends a connection on which a call's number falls, or a response is asked")
@on_loop
async def _():
    met = []

    async def meet(message):
        met.append(message)
        return ANSWER

    server = PeerServer(meet)
    await server.open(("127.0.0.1", 0))
    address = server.bound_address()
    for second in (pack(5, ASKED), pack(4, ASKED), pack(6, ANSWER), pack(0, ASKED)):
        met.clear()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(pack(5, ASKED))
        assert unpack(await read_frame(reader)) == (5, ANSWER)
        writer.write(second)
        async with asyncio.timeout(5):
            try:
                assert await read_frame(reader) is None
            except ConnectionResetError:
                pass
        assert met == [ASKED]
        writer.transport.abort()
    server.close()
