"""One client's connection, as its server sees it."""

import asyncio
from enum import Enum, auto

from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.stream import StreamProtocol, has_unread_bytes
from stoneyoke.runtime.pending_request import PendingRequest


class Phase(Enum):
    """The phase of a client's connection."""

    IDLE = auto()
    """Nothing of a message has come, and no response is owed. Left with the next byte, for READING."""

    READING = auto()
    """A part of a message has come. Left when it is complete, for RESPONDING; malformed or too slow, for REJECTED."""

    RESPONDING = auto()
    """A message is complete and its response is not written to the last byte. Left for READING if more has come
    meanwhile, else for IDLE; or the connection closes."""

    REJECTED = auto()
    """The last response is written, to a message that can't be used. What still comes is discarded until the close."""


class ClientConnection:
    """One client's connection.

    Attributes:
        messages: The requests that come over it.
        accepted_at: When it was accepted, in microseconds.
        since_us: When its phase began. A message's time counts from its first byte.
        next_message_at: While a response is owed, when the first byte beyond its request came; else 0.
        phase: See Phase.
        silent: No message has come whole yet.
        pending: The request that is being forwarded.
        disconnected: The client has closed its side, or the connection is lost.
    """

    def __init__(self, protocol: StreamProtocol, writer: asyncio.StreamWriter, now: int) -> None:
        """Takes a connection that has just been accepted."""
        self.protocol, self.writer = protocol, writer
        self.messages = MessageReader(protocol.reader, responses=False)
        self.accepted_at = self.since_us = now
        self.next_message_at = 0
        self.phase = Phase.IDLE
        self.silent = True
        self.pending: PendingRequest | None = None
        self.disconnected = False

    # ---- what happens on it ----

    def message_begun(self, arrival_time: int) -> None:
        """The first byte of a message has come on the idle connection."""
        self.phase, self.since_us = Phase.READING, arrival_time

    def peer_closed(self) -> None:
        """The client has gone; nobody waits for the response to its request."""
        self.disconnected = True
        if self.pending:
            self.pending.owner.client_gone(self.pending)

    def message_complete(self) -> None:
        """A message has come whole, and its response is owed."""
        self.phase, self.silent = Phase.RESPONDING, False

    def response_written(self, now: int) -> None:
        """The last byte of a response has left. What has come meanwhile is the next message."""
        more_came = self.next_message_at or self.messages.has_input()
        self.phase = Phase.READING if more_came else Phase.IDLE
        self.since_us, self.next_message_at = self.next_message_at or now, 0

    def rejected(self, now: int) -> None:
        """A malformed message has been answered; nothing more is read."""
        self.phase, self.since_us = Phase.REJECTED, now

    # ---- what may be done with it ----

    def has_pending_response(self) -> bool:
        """Whether a client still waits for a response."""
        return self.phase is Phase.RESPONDING and not self.disconnected

    def has_unanswered_input(self) -> bool:
        """Whether something beyond the message that is being answered has been read from the socket."""
        return self.messages.has_input() or self.protocol.bytes_received != self.messages.bytes_parsed

    def has_incomplete_message(self) -> bool:
        """Whether a part of a message has come, or waits on the socket."""
        if self.disconnected or self.phase is Phase.REJECTED or self.writer.is_closing():
            return False
        return not self.can_close_safely()

    def can_close_safely(self) -> bool:
        """Whether closing it loses no request: no message is complete, and no byte waits to be read.

        The socket itself is asked, since a request may wait on it that the event loop has not seen yet.
        """
        if self.phase is Phase.REJECTED:
            return True
        if self.phase is Phase.RESPONDING or not self.messages.awaiting_input or self.writer.is_closing():
            return False
        return not has_unread_bytes(self.writer)

    def receives_body(self) -> bool:
        """Whether the head of a message has come, and its body is still coming."""
        return self.messages.partial is not None and not self.messages.in_head
