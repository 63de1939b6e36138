"""What an upstream attempt's outcome tells, at each await, and which connection may be used again.

An order is sent again after an outcome of PROVEN_NOT_RUN: that one must not come once a byte can have left."""

import asyncio
import errno
import socket

from event_loop import on_loop
from raw_backend import (
    LARGE,
    SHORT_US,
    RawBackend,
    Sender,
    after_all_timers,
    arrived,
    reset,
    until,
    wait_for_kernel_input,
)
from ward import each, test

from stoneyoke.control.parameters import PROVEN_NOT_RUN, AttemptOutcome
from stoneyoke.net.attempt import Attempt
from stoneyoke.net.backend_connection import BackendPool
from stoneyoke.net.message_writer import RequestWrite

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 3\r\n\r\nyes"
OTHER = OK.replace(b"a-1", b"z-9")


def is_own_answer(answer):
    return answer.headers.get(b"attempt-id") == b"a-1"


async def whole_request(peer, sender, **more):
    """An attempt whose request has arrived whole, and the peer's end of its connection."""
    out = sender.begin(**more)
    await until(peer.waiting)
    connection, got = peer.accept(), b""

    def read():
        nonlocal got
        got += arrived(connection)
        return got.endswith(b"order")

    await until(read)
    return out, connection


async def part_of_a_request(peer, sender, **more):
    out = sender.begin(body=LARGE, **more)
    await until(peer.waiting)
    connection = peer.accept()
    await until(lambda: sender.connections and sender.connections[0].writer.transport.get_write_buffer_size())
    return out, connection


# ---- before a byte can have left ----


@test("before a connection is asked for: an unknown backend or a time that is up leaves nothing")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        assert (await sender.send(within=0))[0] is AttemptOutcome.NOT_SENT and not peer.waiting()
        sender.backends.remove(0)
        assert (await sender.send())[0] is AttemptOutcome.NOT_SENT


@test("while it connects: refusal, silence, the deadline and cancellation all leave nothing sent")
@on_loop
async def _():
    with RawBackend() as peer:
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        with full, socket.create_connection(full.getsockname()):  # what comes beyond that gets no answer
            assert (await Sender(full.getsockname(), connect_timeout_us=SHORT_US).send())[
                0
            ] is AttemptOutcome.NO_CONNECTION
            late = Sender(full.getsockname())
            assert (await late.send(within=SHORT_US))[0] is AttemptOutcome.NOT_SENT and late.all_closed()
            out = late.begin()
            await until(lambda: late.pending.cancel_attempt)
            late.pending.cancel_attempt(0, False)
            assert (await out)[0] is AttemptOutcome.NOT_SENT and late.all_closed()
            out = late.begin()
            await until(lambda: late.backends.descriptor_budget.used)
            out.cancel()
            await asyncio.wait([out])
            assert out.cancelled() and late.all_closed()
        refused = Sender(peer.address)
        peer.close()
        assert (await refused.send())[0] is AttemptOutcome.NO_CONNECTION and refused.all_closed()


@test("connected, not written: a backend that has left or moved meanwhile gets no byte")
@on_loop
async def _(leaves=each(True, False)):
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def accepts_new_work(_):
            if not leaves:
                sender.backends.set_address(0, ("127.0.0.1", 1))
            return not leaves

        sender.backends.accepts_new_work = accepts_new_work
        assert (await sender.send())[0] is AttemptOutcome.NOT_SENT
        assert sender.backends.descriptor_budget.used == 0
        assert arrived(peer.accept()) == b""


@test("a write that is refused at once leaves nothing, and says so")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def accepts_new_work(_):  # the connection is up, the next step is the write: the loop doesn't turn before
            reset(peer.accept())
            wait_for_kernel_input(sender.connections[0].writer)
            return True

        sender.backends.accepts_new_work = accepts_new_work
        assert (await sender.send())[0] is AttemptOutcome.CUT and sender.all_closed()


@test("a backend that speaks before it was asked is asked nothing")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def accepts_new_work(_):
            sender.connections[0].protocol.data_received(OK)
            return True

        sender.backends.accepts_new_work = accepts_new_work
        assert (await sender.send())[0] is AttemptOutcome.CUT and sender.all_closed()
        assert arrived(peer.accept()) == b""


class Transport:
    """A transport as RequestWrite sees it: what the first send leaves in the buffer, and whether it is closing."""

    def __init__(self, closing=False, closes=False, sends_at_once=0):
        self.closing, self.closes, self.sends_at_once, self.buffered = closing, closes, sends_at_once, 0

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0 if self.closing else self.buffered

    def writelines(self, parts):
        self.closing = self.closes
        self.buffered = max(0, sum(map(len, parts)) - self.sends_at_once)

    @property
    def transport(self):
        return self

    async def drain(self):
        self.closing = True


@test("of a request that is begun, none has left only while the open transport holds every byte of it")
@on_loop
async def _():
    for transport, refused, left in (
        (Transport(closing=True), True, False),
        (Transport(closes=True, sends_at_once=9999), True, False),
        (Transport(sends_at_once=0), False, False),
        (Transport(sends_at_once=1), False, True),
        (Transport(sends_at_once=9999), False, True),
    ):
        request = RequestWrite(transport)
        try:
            request.start([b"POST / HTTP/1.1\r\n"], b"order")
            assert not refused
        except ConnectionResetError:
            assert refused
        assert request.may_have_been_sent() is left
    request = RequestWrite(Transport())
    request.start([b"POST / HTTP/1.1\r\n"], b"order")
    attempt = Attempt(BackendPool(("127.0.0.1", 1)), asyncio.timeout(None))
    attempt.request = request
    attempt.cancellation_outcome = AttemptOutcome.CANCELLED  # with every byte still here
    assert attempt.failure_outcome(TimeoutError(), time_limit_expired=True) is AttemptOutcome.NOT_SENT
    attempt.cancellation_outcome = None
    try:
        await request.finish()  # it ends without an error, as a transport does that was closed from this side
        raise AssertionError("a request that was not written whole passes for one that was")
    except ConnectionResetError as bad:
        assert request.may_have_been_sent(), "a transport that has closed meanwhile proves nothing"
        assert attempt.failure_outcome(bad, time_limit_expired=False) is AttemptOutcome.BROKEN


# ---- once a byte can have left ----


def cancel(sender, _):
    sender.pending.cancel_attempt(0, False)


def kernel_gives_up(sender, _):
    """ETIMEDOUT is a TimeoutError, as that of a connection's set-up is."""
    sender.connections[0].protocol.connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))


async def end_attempt(task, end, sender, connection):
    """Ends an attempt in one way, or by its deadline where `end` is None; gives its outcome and answer."""
    if end:
        end(sender, connection)
    else:
        await after_all_timers(task)
    return await task


@test("partly written: neither a reset, a close, the deadline nor a cancellation proves that it has not run")
@on_loop
async def _(
    case=each(
        (lambda _, connection: reset(connection), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.close(), AttemptOutcome.BROKEN),
        (None, AttemptOutcome.TIMED_OUT),
        (cancel, AttemptOutcome.CANCELLED),
        (lambda sender, _: sender.connections[0].writer.transport.abort(), AttemptOutcome.BROKEN),
    ),
):
    end, expected = case
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await part_of_a_request(peer, sender)
        outcome, answer = await end_attempt(task, end, sender, connection)
        assert (outcome, answer) == (expected, None)
        assert outcome not in PROVEN_NOT_RUN
        assert sender.all_closed()


@test("partly written: a cancelled task closes its connection and sends no more")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await part_of_a_request(peer, sender)
        task.cancel()
        await asyncio.wait([task])
        assert sender.all_closed()
        assert len(arrived(connection)) < len(LARGE)


@test("wholly written: after a reset, a close, silence, a cancellation or the kernel's time-out it may have run")
@on_loop
async def _(
    case=each(
        (lambda _, connection: reset(connection), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.close(), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.sendall(OK[:-1]) or connection.close(), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.sendall(b"no HTTP\r\n\r\n"), AttemptOutcome.BROKEN),
        (None, AttemptOutcome.TIMED_OUT),
        (cancel, AttemptOutcome.CANCELLED),
        (kernel_gives_up, AttemptOutcome.BROKEN),
    ),
):
    end, expected = case
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await whole_request(peer, sender)
        assert await end_attempt(task, end, sender, connection) == (expected, None)
        assert sender.all_closed()


@test("wholly written: a cancelled task closes its connection")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, _ = await whole_request(peer, sender)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert sender.all_closed()


@test("no attempt is cancelled once the process is to end")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        out, connection = await whole_request(peer, sender)
        sender.backends.may_cancel_attempts = False
        sender.pending.cancel_attempt(0, False)
        connection.sendall(OK)
        assert (await out)[0] is AttemptOutcome.OK


# ---- connections that may be used again ----


async def served(peer, sender, connection=None, answer=OK, made=1):
    """One attempt, answered whole. Without a connection to answer on it must make a new one."""
    out = sender.begin(matches_response=is_own_answer)
    if connection is None:
        await until(peer.waiting)
        connection = peer.accept()
    await until(lambda: arrived(connection))
    connection.sendall(answer)
    outcome, message = await out
    assert outcome is AttemptOutcome.OK and message.body == b"yes" and len(sender.connections) == made
    return connection


@test("a connection with a whole answer is reused, but not if a reset, a close or a byte has come unseen by the loop")
@on_loop
async def _(spoil=each(reset, lambda connection: connection.close(), lambda connection: connection.sendall(OK))):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        connection = await served(peer, sender)
        assert await served(peer, sender, connection) is connection
        spoil(connection)
        wait_for_kernel_input(sender.connections[0].writer)  # and the loop has not turned since
        await served(peer, sender, made=2)
        assert sender.backends.descriptor_budget.used == 1


@test("a connection with extra bytes, or an answer to something else, is not reused")
@on_loop
async def _(answer=each(OTHER + OK, OK + OK, OK + b"x", OTHER + OTHER + OK)):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        await served(peer, sender, answer=answer)
        assert sender.all_closed()
        await served(peer, sender, made=2)


@test("bytes that came with an answer and were not parsed yet are extra bytes")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def spoken_on(answer):
            sender.connections[0].protocol.data_received(OK)  # behind the answer that is being looked at
            return is_own_answer(answer)

        out, connection = await whole_request(peer, sender, matches_response=spoken_on)
        connection.sendall(OK)
        assert (await out)[0] is AttemptOutcome.OK and sender.all_closed()


@test("a connection with an answer to something else and then silence is closed")
@on_loop
async def _(outcome=each(AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await whole_request(peer, sender, matches_response=is_own_answer)
        connection.sendall(OTHER)
        await until(lambda: sender.connections[0].out_of_sync)
        if outcome is AttemptOutcome.CANCELLED:
            sender.pending.cancel_attempt(0, False)
        else:
            await after_all_timers(task)
        assert await task == (outcome, None)
        assert sender.all_closed()


@test("no mutation of one answer passes for another request's, or leaves anything for the next")
@on_loop
async def _():
    with RawBackend() as peer:
        mutations = [OK[:at] for at in range(len(OK))]  # cut
        mutations += [OK[:at] + bytes([OK[at] ^ 0x11]) + OK[at + 1 :] for at in range(len(OK))]  # garbled
        mutations += [OK[:at] + b"7" + OK[at:] for at in range(len(OK))]  # longer
        mutations += [OK + OK[:at] for at in range(1, len(OK) + 1)]  # with a part of a second one, or all
        mutations += [OTHER + OK[:at] for at in range(len(OK))]  # behind one to something else
        wrong = 0
        for answer in mutations:
            sender = Sender(peer.address)
            out, connection = await whole_request(peer, sender, matches_response=is_own_answer)
            connection.sendall(answer)
            connection.shutdown(socket.SHUT_WR)
            outcome, message = await out
            assert outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.BROKEN), (answer, outcome)
            if outcome is AttemptOutcome.OK:
                head, _, body = answer.partition(b"\r\n\r\n")
                assert b"Attempt-Id: a-1\r\n" in head and len(message.body) == 3 and body.startswith(message.body)
            wrong += outcome is AttemptOutcome.BROKEN
            connection.close()
            await served(peer, sender, made=2)
        assert wrong > 150
