"""One attempt at a backend, and whether the backend may have run the request if the attempt fails."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.backend_connection import BackendConnection, BackendPool
from stoneyoke.net.message_reader import Message
from stoneyoke.net.message_writer import RequestWrite
from stoneyoke.runtime.metrics import Metrics


@dataclass(slots=True, kw_only=True, eq=False)
class OutgoingRequest:
    """A request as one attempt sends it.

    Attributes:
        head: The request line and the headers, in pieces, each line with its end.
        body: The whole body.
        deadline_us: Until when to wait for the response.
        matches_response: Whether a response belongs to this request. One that does not came late or was sent twice, and
            the next one on the connection may belong. None: every response does.
    """

    head: list[bytes]
    body: bytes
    deadline_us: int
    matches_response: Callable[[Message], bool] | None = None


class AttemptResult(NamedTuple):
    """How an attempt ended, and the response if one came."""

    outcome: AttemptOutcome
    response: Message | None


class Attempt:
    """One request on its way to a backend: its connection, and what may have left of it.

    The request is written once, never again. An attempt ends with a response, with an error on its connection, at its
    deadline, or by the decision logic's cancellation. Whether another attempt is safe for a request that must not run
    twice rests on may_have_run().

    Attributes:
        time_limit: Ends whatever it waits for, at its deadline or by a cancellation.
        connection: The connection, once there is one.
        request: What has been written, once the write has begun.
        cancelled_as: The outcome if the decision logic has cancelled the attempt, by its reason; else None.
    """

    def __init__(self, pool: BackendPool, time_limit: asyncio.Timeout) -> None:
        """Starts without a connection."""
        self.pool, self.time_limit = pool, time_limit
        self.connection: BackendConnection | None = None
        self.request: RequestWrite | None = None
        self.cancellation_outcome: AttemptOutcome | None = None

    def cancel(self, outcome: AttemptOutcome, *, only_unsent: bool) -> None:
        """Ends the attempt in the event loop's next turn, unless it has ended, or must go on.

        One that meets the deadline in the same turn of the loop comes too late: the time-out stands.

        Args:
            outcome: Its outcome, by the reason of the cancellation, if the request may have run.
            only_unsent: A request that was offered to a socket goes on.
        """
        if (
            self.cancellation_outcome is not None
            or self.time_limit.expired()
            or (only_unsent and self.request is not None)
        ):
            return
        self.cancellation_outcome = outcome
        self.time_limit.reschedule(0.0)

    async def send(self, request: OutgoingRequest) -> None:
        """Writes the request; returns once the kernel has taken its last byte.

        Raises:
            OSError: The connection can't be used, or breaks meanwhile.
        """
        # A backend that has sent something before it was asked has not answered anything.
        if self.connection is None or not self.connection.is_reusable():
            raise ConnectionResetError("a connection that can't be used")
        self.request = RequestWrite(self.connection.writer)
        self.request.start(request.head, request.body)
        await self.request.finish()

    async def receive(self, request: OutgoingRequest, metrics: Metrics) -> Message | None:
        """The response to the request, or None where the stream ends in its place.

        Raises:
            MalformedMessage: The response can't be used.
            OSError: The connection breaks.
        """
        if self.connection is None:
            return None
        matches = request.matches_response
        while (response := await self.connection.responses.next()) and matches and not matches(response):
            self.connection.out_of_sync = True
            metrics.add("backend responses: to another request")
        return response

    def may_have_run(self) -> bool:
        """Whether the backend may run the request. False is a proof that it does not: no byte has left.

        The proof holds if the connection is aborted before the event loop turns again (see RequestWrite).
        """
        return self.request is not None and self.request.may_have_been_sent()

    def failure_outcome(self, error: OSError, *, time_limit_expired: bool) -> AttemptOutcome:
        """The outcome of an attempt that an error has ended.

        Args:
            error: What ended the attempt.
            deadline_passed: The attempt's own time limit has ended it, at its deadline or by a cancellation.
        """
        stopped_by_time_limit = time_limit_expired and isinstance(error, TimeoutError)
        if self.may_have_run():
            return self.outcome_if_may_have_run(stopped_by_time_limit=stopped_by_time_limit)
        return self.outcome_if_not_run(error, stopped_by_time_limit=stopped_by_time_limit)

    def outcome_if_may_have_run(self, *, stopped_by_time_limit: bool) -> AttemptOutcome:
        """The outcome of a failed attempt after which the backend may have run the request."""
        if not stopped_by_time_limit:
            return AttemptOutcome.BROKEN
        return self.cancellation_outcome or AttemptOutcome.TIMED_OUT

    def outcome_if_not_run(self, error: OSError, *, stopped_by_time_limit: bool) -> AttemptOutcome:
        """The outcome of a failed attempt of which no byte has left: another attempt can't make it run twice."""
        if stopped_by_time_limit:
            return AttemptOutcome.NOT_SENT
        if self.connection is None and isinstance(error, TimeoutError):
            return AttemptOutcome.NO_CONNECTION
        # A process that ends takes all its connections along. While one is up, only this one was refused or cut.
        process_is_up = self.connection is not None or self.pool.any_open()
        return AttemptOutcome.CUT if process_is_up else AttemptOutcome.NO_CONNECTION
