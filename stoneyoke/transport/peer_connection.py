"""The client side of one connection: matches responses to pending calls.

Each call has a number that increases from call to call; responses arrive in any order. A response is accepted only for
a call that is pending on the same connection, only if its kind is the one for the request, and only before the call
times out. So a process that was suspended during a call accepts no response from before the suspension.

Any protocol violation or time-out closes the connection: a response to a number that is not pending, a response of the
wrong kind, bytes that are not a message, or a call without a response in time (an unreachable peer sends nothing). All
calls pending on the connection fail, and the next call opens a new connection.
"""

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

from stoneyoke.transport.errors import MalformedMessage, PeerUnreachable
from stoneyoke.transport.framing import read_frame
from stoneyoke.transport.messages import RESPONSES, Message, pack, unpack

ABANDONED_CALLS_MAX = 1000


class PendingCall(NamedTuple):
    """A call that waits for its response, and the expected type of the response."""

    response_kind: type
    response: asyncio.Future[Message]


class PeerConnection:
    """One connection to a peer, from when it is established until its first error.

    A connection is open until `close` is called: by its reader when the stream ends or contains a malformed message, or
    by the client when a call times out. A closed connection is never used again.
    """

    def __init__(
        self, host: str, call_numbers: Iterator[int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts reading responses.

        Args:
            host: The peer's address, for the errors' text.
            call_numbers: Numbers for calls. They increase across all connections to a peer, so that a late response to
                a call on an earlier connection never matches a call on this one.
            reader: The stream of responses.
            writer: The stream of calls.
        """
        self.host = host
        self.call_numbers = call_numbers
        self.writer = writer
        self.pending: dict[int, PendingCall] = {}  # by number, until the response, a cancellation or `close`
        self.abandoned: set[int] = set()  # numbers of cancelled calls whose response has not been received yet
        self.closed = False
        self.reader_task = asyncio.get_running_loop().create_task(self.read_responses(reader))

    async def call(self, request: Message) -> Message:
        """Sends a request and waits for its response, without a time-out.

        Raises:
            PeerUnreachable: The connection was closed before the response was received.
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
            # Still pending: the caller was cancelled. If its response is received later, it is dropped, but only once.
            if self.pending.pop(number, None):
                self.abandon(number)

    def abandon(self, number: int) -> None:
        """Records a call whose caller was cancelled. Closes the connection if too many of these have no response."""
        self.abandoned.add(number)
        if len(self.abandoned) > ABANDONED_CALLS_MAX:
            self.close("too many calls without a response")

    async def read_responses(self, reader: asyncio.StreamReader) -> None:
        """Reads responses until the connection is closed by either end or fails."""
        reason = "closed"
        try:
            while not self.closed and (body := await read_frame(reader)) is not None:
                self.accept_response(*unpack(body))
        except (OSError, MalformedMessage) as error:
            reason = str(error)
        finally:
            self.close(reason)

    def accept_response(self, number: int, response: Message) -> None:
        """Delivers a response to the caller that waits for it; drops the response to a cancelled call.

        Raises:
            MalformedMessage: No call on this connection waits for a response of this number and kind.
        """
        if number in self.abandoned:
            self.abandoned.discard(number)
            return
        call = self.pending.get(number)
        if call is None:
            raise MalformedMessage(f"response to call {number}, which is not pending")
        if type(response) is not call.response_kind:
            raise MalformedMessage(
                f"response to call {number} is a {type(response).__name__}, expected a {call.response_kind.__name__}"
            )
        del self.pending[number]
        # The caller may have been cancelled in this turn of the event loop, before `call` could record that.
        if not call.response.cancelled():
            call.response.set_result(response)

    def close(self, reason: str) -> None:
        """Closes the connection and fails all pending calls. Data left in its buffers is discarded."""
        if self.closed:
            return
        self.closed = True
        self.writer.transport.abort()
        waiting, self.pending = self.pending, {}
        for call in waiting.values():
            if not call.response.done():
                call.response.set_exception(PeerUnreachable(f"{self.host}: {reason}"))
                # Marks the exception as retrieved: a cancelled caller doesn't, and asyncio would log an error.
                call.response.exception()
