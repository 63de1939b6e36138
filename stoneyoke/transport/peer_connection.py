"""The calling end of one connection: matches responses to pending calls.

A call carries a number that rises from call to call; responses come back in any order. A response is accepted only for
a call that is pending on the connection that it came on, only if it is of the kind that answers this request, and only
within the call's time. A process that was suspended in the middle of a call thus accepts nothing from before.

Any doubt closes the connection: a response to a number that is not pending, one of another kind, bytes that make no
message, or a call without a response in time (a peer that is cut off sends nothing). All calls pending on it fail, and
the next call opens a new connection.
"""

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

from stoneyoke.transport.errors import MalformedMessage, PeerUnreachable
from stoneyoke.transport.framing import read_frame
from stoneyoke.transport.messages import RESPONSES, Message, pack, unpack

ABANDONED_CALLS_MAX = 1000


class PendingCall(NamedTuple):
    """A call that waits for its response, and the kind of message that answers it."""

    response_kind: type
    response: asyncio.Future[Message]


class PeerConnection:
    """One connection to a peer, from when it is established until its first fault.

    A connection is open until `close` is called: by its reader when the stream ends or turns out malformed, by the
    client when a call times out. A closed connection is never used again.
    """

    def __init__(
        self, host: str, call_numbers: Iterator[int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts reading responses.

        Args:
            host: The peer's address, for the errors' text.
            call_numbers: Numbers for calls. They keep rising across the connections to one peer, so that a late
                response to a call of an earlier connection never fits a call of this one.
            reader: The stream of responses.
            writer: The stream of calls.
        """
        self.host = host
        self.call_numbers = call_numbers
        self.writer = writer
        self.pending: dict[int, PendingCall] = {}  # until the response, the caller's cancellation or the close
        self.abandoned: set[int] = set()  # numbers of cancelled calls whose response has not come yet
        self.closed = False
        self.reader_task = asyncio.get_running_loop().create_task(self.read_responses(reader))

    async def call(self, request: Message) -> Message:
        """Sends a request and waits for its response, without a limit of time.

        Raises:
            PeerUnreachable: The connection was closed before the response came.
        """
        if self.writer.is_closing():
            self.close("closed")
        if self.closed:
            raise PeerUnreachable(f"{self.host}: closed")
        number = next(self.call_numbers)
        response: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.pending[number] = PendingCall(RESPONSES[type(request)], response)
        try:
            self.writer.write(pack(number, request))
            return await response
        finally:
            # Still pending: the caller was cancelled. Its response may yet come and is then dropped, once.
            if self.pending.pop(number, None):
                self.abandon(number)

    def abandon(self, number: int) -> None:
        """Notes a call whose caller no longer waits. A peer that answers none of them is not worth keeping."""
        self.abandoned.add(number)
        if len(self.abandoned) > ABANDONED_CALLS_MAX:
            self.close("too many calls without a response")

    async def read_responses(self, reader: asyncio.StreamReader) -> None:
        """Runs until the connection is closed, by either end or by a fault."""
        reason = "closed"
        try:
            while not self.closed and (body := await read_frame(reader)) is not None:
                self.accept_response(*unpack(body))
        except (OSError, MalformedMessage) as error:
            reason = str(error)
        finally:
            self.close(reason)

    def accept_response(self, number: int, response: Message) -> None:
        """Gives a response to the caller that waits for it.

        Raises:
            MalformedMessage: No call of this connection waits for this response.
        """
        if number in self.abandoned:
            self.abandoned.discard(number)
            return
        call = self.pending.get(number)
        if call is None:
            raise MalformedMessage(f"a response to call {number}, which is not pending")
        if type(response) is not call.response_kind:
            raise MalformedMessage(f"a {type(response).__name__} where a {call.response_kind.__name__} is due")
        del self.pending[number]
        # The caller may have been cancelled in this turn of the event loop, before `call` could abandon the number.
        if not call.response.cancelled():
            call.response.set_result(response)

    def close(self, reason: str) -> None:
        """Closes the connection and fails all pending calls. What is still in its buffers is read by nobody."""
        if self.closed:
            return
        self.closed = True
        self.writer.transport.abort()
        waiting, self.pending = self.pending, {}
        for call in waiting.values():
            if not call.response.done():
                call.response.set_exception(PeerUnreachable(f"{self.host}: {reason}"))
                call.response.exception()  # marks it as retrieved: the caller may have been cancelled
