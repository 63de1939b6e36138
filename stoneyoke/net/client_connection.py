"""The server's state of one client connection."""

import asyncio
from enum import Enum, auto

from stoneyoke.net.message_reader import Message, MessageReader
from stoneyoke.net.stream import StreamProtocol, has_unread_bytes
from stoneyoke.runtime.pending_request import PendingRequest


class Phase(Enum):
    """The phase of a client's connection."""

    IDLE = auto()
    """No byte of a message has arrived, and no response is pending. Changes to READING with the next byte."""

    READING = auto()
    """A part of a message has arrived. Changes to RESPONDING when the message is complete, and to REJECTED when it is
    malformed or takes too long."""

    RESPONDING = auto()
    """A message is complete, and the last byte of its response is not written yet. Then changes to READING if more
    input has arrived in the meantime, else to IDLE, unless the connection is closed."""

    REJECTED = auto()
    """A malformed message has been answered with an error. Further input is discarded until the connection is closed.
    """


class ClientConnection:
    """The state of one client connection.

    Attributes:
        messages: Reads the requests that arrive on it.
        accepted_at: When it was accepted, in microseconds.
        completed_at: When the message that is being answered was complete, in microseconds; 0 before the first.
        phase_started_us: When its phase began, in microseconds. READING and RESPONDING count from the first byte of the
            message; a response that waits for the client to read it counts from the write.
        next_message_at: In the phase RESPONDING, when the first byte after the current request arrived, in
            microseconds; else 0.
        phase: See Phase.
        silent: No complete message has arrived yet.
        target: The target of the message that is being answered, or was answered last.
        response_started: The response to that message has been passed to the transport, at least in part.
        pending: The request that is being forwarded; None if there is none.
        disconnected: The client has closed its side, or the connection is lost.
    """

    def __init__(self, protocol: StreamProtocol, writer: asyncio.StreamWriter, now: int) -> None:
        """Wraps a connection that was accepted at the time `now`, in microseconds."""
        self.protocol, self.writer = protocol, writer
        self.messages = MessageReader(protocol.reader, responses=False)
        self.accepted_at = self.phase_started_us = now
        self.completed_at = self.next_message_at = 0
        self.phase = Phase.IDLE
        self.silent = True
        self.target = b""
        self.response_started = False
        self.pending: PendingRequest | None = None
        self.disconnected = False

    # ---- events of the connection ----

    def message_begun(self, arrival_time: int) -> None:
        """Notes the first byte of a message on the idle connection."""
        self.phase, self.phase_started_us = Phase.READING, arrival_time

    def peer_closed(self) -> None:
        """Notes that the client has disconnected, and reports it to the owner of the pending request."""
        self.disconnected = True
        if self.pending:
            self.pending.owner.client_gone(self.pending)

    def message_complete(self, message: Message, now: int) -> None:
        """Notes that a message is complete, and its response is pending."""
        self.phase, self.silent, self.response_started = Phase.RESPONDING, False, False
        self.target, self.completed_at = message.target, now

    def response_written(self, now: int) -> None:
        """Notes that a response is written. Input that has arrived in the meantime belongs to the next message."""
        more_came = self.next_message_at or self.messages.has_input()
        self.phase = Phase.READING if more_came else Phase.IDLE
        self.phase_started_us, self.next_message_at = self.next_message_at or now, 0

    def rejected(self, now: int) -> None:
        """Notes that a malformed message has been answered with an error; no further message is read."""
        self.phase, self.phase_started_us = Phase.REJECTED, now

    # ---- state of the connection ----

    def has_pending_response(self) -> bool:
        """Whether the client waits for a response."""
        return self.phase is Phase.RESPONDING and not self.disconnected

    def has_unanswered_input(self) -> bool:
        """Whether input beyond the message that is being answered has been read from the socket."""
        return self.messages.has_input() or self.protocol.bytes_received != self.messages.bytes_parsed

    def has_incomplete_message(self) -> bool:
        """Whether a part of a message has arrived, or waits on the socket."""
        if self.disconnected or self.phase is Phase.REJECTED or self.writer.is_closing():
            return False
        return not self.can_close_safely()

    def can_close_safely(self) -> bool:
        """Whether closing the connection loses no request: none is complete, and no byte waits to be read.

        This checks the socket itself, because a request may wait on it that the event loop has not read yet.
        """
        if self.phase is Phase.REJECTED:
            return True
        if self.phase is Phase.RESPONDING or not self.messages.awaiting_input or self.writer.is_closing():
            return False
        return not has_unread_bytes(self.writer)

    def receives_body(self) -> bool:
        """Whether the head of a message is complete and its body is not."""
        return self.messages.partial is not None and not self.messages.in_head
