"""The outcome of an attempt that fails at each of its await points, and which connections may be reused.

A non-idempotent request is retried after an outcome in PROVEN_NOT_RUN, so an attempt must not end with one once a byte
of its request may have been sent.
"""

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
    read_available,
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


async def completely_written_request(peer, sender, **more):
    """Returns an attempt whose request the peer has received completely, and the peer's end of its connection."""
    out = sender.begin(**more)
    await until(peer.has_waiting_connection)
    connection, got = peer.accept(), b""

    def read():
        nonlocal got
        got += read_available(connection)
        return got.endswith(b"order")

    await until(read)
    return out, connection


async def partly_written_request(peer, sender, **more):
    out = sender.begin(body=LARGE, **more)
    await until(peer.has_waiting_connection)
    connection = peer.accept()
    await until(lambda: sender.connections and sender.connections[0].writer.transport.get_write_buffer_size())
    return out, connection


# ---- before a byte may have been sent ----


@test("before connecting: an unknown backend or a deadline that has passed ends an attempt as NOT_SENT")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        assert (await sender.send(within=0))[0] is AttemptOutcome.NOT_SENT and not peer.has_waiting_connection()
        sender.backends.remove(0)
        assert (await sender.send())[0] is AttemptOutcome.NOT_SENT


@test("while connecting: a refused connection, a time-out, the deadline and a cancellation prove that nothing was sent")
@on_loop
async def _():
    with RawBackend() as peer:
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        # A connection fills the backlog: later connections get no response.
        with full, socket.create_connection(full.getsockname()):
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


@test("connected, nothing written: no byte is sent to a backend that was removed or moved meanwhile")
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
        assert read_available(peer.accept()) == b""


@test("connected, nothing written: a reset before the first write proves that nothing was sent")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def accepts_new_work(_):  # called once connected; the write follows in the same turn of the event loop
            reset(peer.accept())
            wait_for_kernel_input(sender.connections[0].writer)
            return True

        sender.backends.accepts_new_work = accepts_new_work
        assert (await sender.send())[0] is AttemptOutcome.CUT and sender.all_closed()


@test("connected, nothing written: no request is sent to a backend that sends data before it")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def accepts_new_work(_):
            sender.connections[0].protocol.data_received(OK)
            return True

        sender.backends.accepts_new_work = accepts_new_work
        assert (await sender.send())[0] is AttemptOutcome.CUT and sender.all_closed()
        assert read_available(peer.accept()) == b""


class Transport:
    """A fake transport for RequestWrite: the bytes that a write leaves in the buffer, and whether it is closing."""

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


@test("a request provably has not been sent only while the open transport buffers every byte of it")
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
    attempt.cancellation_outcome = AttemptOutcome.CANCELLED  # while every byte is still in the buffer
    assert attempt.failure_outcome(TimeoutError(), time_limit_expired=True) is AttemptOutcome.NOT_SENT
    attempt.cancellation_outcome = None
    try:
        await request.finish()  # drain() returns without an error, as for a transport that was closed locally
        raise AssertionError("a request that was not written completely is reported as written")
    except ConnectionResetError as bad:
        assert request.may_have_been_sent(), "a transport that was closed meanwhile does not prove that nothing is sent"
        assert attempt.failure_outcome(bad, time_limit_expired=False) is AttemptOutcome.BROKEN


# ---- once a byte may have been sent ----


def cancel(sender, _):
    sender.pending.cancel_attempt(0, False)


def time_out_in_kernel(sender, _):
    """Reports ETIMEDOUT, which is a TimeoutError like a time-out while connecting."""
    sender.connections[0].protocol.connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))


async def end_attempt(task, end, sender, connection):
    """Ends an attempt by `end`, or by its deadline if `end` is None, and returns its outcome and response."""
    if end:
        end(sender, connection)
    else:
        await after_all_timers(task)
    return await task


@test("partly written: no reset, close, deadline or cancellation proves that the request has not run")
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
        task, connection = await partly_written_request(peer, sender)
        outcome, answer = await end_attempt(task, end, sender, connection)
        assert (outcome, answer) == (expected, None)
        assert outcome not in PROVEN_NOT_RUN
        assert sender.all_closed()


@test("partly written: the cancellation of the task closes its connection, and no more is sent")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await partly_written_request(peer, sender)
        task.cancel()
        await asyncio.wait([task])
        assert sender.all_closed()
        assert len(read_available(connection)) < len(LARGE)


@test("completely written: after a reset, close, time-out, cancellation or ETIMEDOUT the request may have run")
@on_loop
async def _(
    case=each(
        (lambda _, connection: reset(connection), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.close(), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.sendall(OK[:-1]) or connection.close(), AttemptOutcome.BROKEN),
        (lambda _, connection: connection.sendall(b"no HTTP\r\n\r\n"), AttemptOutcome.BROKEN),
        (None, AttemptOutcome.TIMED_OUT),
        (cancel, AttemptOutcome.CANCELLED),
        (time_out_in_kernel, AttemptOutcome.BROKEN),
    ),
):
    end, expected = case
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await completely_written_request(peer, sender)
        assert await end_attempt(task, end, sender, connection) == (expected, None)
        assert sender.all_closed()


@test("completely written: the cancellation of the task closes its connection")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, _ = await completely_written_request(peer, sender)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()
        assert sender.all_closed()


@test("no attempt is cancelled once the process shuts down")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)
        out, connection = await completely_written_request(peer, sender)
        sender.backends.may_cancel_attempts = False
        sender.pending.cancel_attempt(0, False)
        connection.sendall(OK)
        assert (await out)[0] is AttemptOutcome.OK


# ---- reuse of connections ----


async def complete_attempt(peer, sender, connection=None, answer=OK, made=1):
    """Makes an attempt that gets a complete response. If `connection` is None, the attempt must open a new one."""
    out = sender.begin(matches_response=is_own_answer)
    if connection is None:
        await until(peer.has_waiting_connection)
        connection = peer.accept()
    await until(lambda: read_available(connection))
    connection.sendall(answer)
    outcome, message = await out
    assert outcome is AttemptOutcome.OK and message.body == b"yes" and len(sender.connections) == made
    return connection


@test("a connection is reused after a complete response, but not if unprocessed input, a FIN or an RST has arrived")
@on_loop
async def _(invalidate=each(reset, lambda connection: connection.close(), lambda connection: connection.sendall(OK))):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        connection = await complete_attempt(peer, sender)
        assert await complete_attempt(peer, sender, connection) is connection
        invalidate(connection)
        wait_for_kernel_input(sender.connections[0].writer)  # the event loop does not run meanwhile
        await complete_attempt(peer, sender, made=2)
        assert sender.backends.descriptor_budget.used == 1


@test("a connection with extra bytes or a response to another request is not reused")
@on_loop
async def _(answer=each(OTHER + OK, OK + OK, OK + b"x", OTHER + OTHER + OK)):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        await complete_attempt(peer, sender, answer=answer)
        assert sender.all_closed()
        await complete_attempt(peer, sender, made=2)


@test("a connection is not reused if bytes after the response have been received but not parsed yet")
@on_loop
async def _():
    with RawBackend() as peer:
        sender = Sender(peer.address)

        def receive_more(answer):
            sender.connections[0].protocol.data_received(OK)  # after the response that is being checked
            return is_own_answer(answer)

        out, connection = await completely_written_request(peer, sender, matches_response=receive_more)
        connection.sendall(OK)
        assert (await out)[0] is AttemptOutcome.OK and sender.all_closed()


@test("a connection with a response to another request and no further response is closed")
@on_loop
async def _(outcome=each(AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED)):
    with RawBackend() as peer:
        sender = Sender(peer.address)
        task, connection = await completely_written_request(peer, sender, matches_response=is_own_answer)
        connection.sendall(OTHER)
        await until(lambda: sender.connections[0].out_of_sync)
        if outcome is AttemptOutcome.CANCELLED:
            sender.pending.cancel_attempt(0, False)
        else:
            await after_all_timers(task)
        assert await task == (outcome, None)
        assert sender.all_closed()


@test("a mutated response is never accepted for another request, and leaves no data for the next request")
@on_loop
async def _():
    with RawBackend() as peer:
        mutations = [OK[:at] for at in range(len(OK))]  # truncated
        mutations += [OK[:at] + bytes([OK[at] ^ 0x11]) + OK[at + 1 :] for at in range(len(OK))]  # with flipped bits
        mutations += [OK[:at] + b"7" + OK[at:] for at in range(len(OK))]  # with an inserted byte
        mutations += [OK + OK[:at] for at in range(1, len(OK) + 1)]  # followed by a second one, truncated or complete
        mutations += [OTHER + OK[:at] for at in range(len(OK))]  # truncated, after a response to another request
        wrong = 0
        for answer in mutations:
            sender = Sender(peer.address)
            out, connection = await completely_written_request(peer, sender, matches_response=is_own_answer)
            connection.sendall(answer)
            connection.shutdown(socket.SHUT_WR)
            outcome, message = await out
            assert outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.BROKEN), (answer, outcome)
            if outcome is AttemptOutcome.OK:
                head, _, body = answer.partition(b"\r\n\r\n")
                assert b"Attempt-Id: a-1\r\n" in head and len(message.body) == 3 and body.startswith(message.body)
            wrong += outcome is AttemptOutcome.BROKEN
            connection.close()
            await complete_attempt(peer, sender, made=2)
        assert wrong > 150
