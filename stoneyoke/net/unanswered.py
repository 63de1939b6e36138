"""The requests that a server has read and not answered, for its report when it exits."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from stoneyoke.net.client_connection import ClientConnection, Phase

UNANSWERED_AT_EXIT = "requests: unanswered at the exit"
TARGET_MAX_BYTES = 80  # the part of a request's target that a log line shows


class UnansweredState(Enum):
    """What an unanswered request waits for."""

    AT_BACKEND = "a backend was at work on it"
    NOT_AT_BACKEND = "no attempt was in flight"
    BEHIND_ANOTHER = "it was behind another request of its connection"
    RESPONSE_UNREAD = "its client had not read the response"


class UnansweredRequest(NamedTuple):
    """A complete request without a complete response.

    Attributes:
        target: The request's target, shortened.
        completed_at: When its last byte was read, in microseconds; for a request behind another one, of that one.
        state: What it waits for.
    """

    target: bytes
    completed_at: int
    state: UnansweredState


def unanswered_requests(clients: Iterable[ClientConnection]) -> list[UnansweredRequest]:
    """Returns the unanswered requests of all clients that are still connected."""
    return [request for client in clients if not client.disconnected for request in unanswered_of(client)]


def unanswered_of(client: ClientConnection) -> list[UnansweredRequest]:
    """Returns the unanswered requests of one connection, in their order."""
    if client.phase is not Phase.RESPONDING:
        return []
    first = UnansweredRequest(client.target[:TARGET_MAX_BYTES], client.completed_at, state_of(client))
    behind = [
        UnansweredRequest(message.target[:TARGET_MAX_BYTES], client.completed_at, UnansweredState.BEHIND_ANOTHER)
        for message in client.messages.complete
    ]
    return [first, *behind]


def state_of(client: ClientConnection) -> UnansweredState:
    """Returns what the request that a connection answers waits for."""
    if client.response_started:
        return UnansweredState.RESPONSE_UNREAD
    if client.pending and client.pending.has_attempt():
        return UnansweredState.AT_BACKEND
    return UnansweredState.NOT_AT_BACKEND
