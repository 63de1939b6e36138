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
        head: The request line and the headers, in pieces, each line with its line end.
        body: The whole body.
        deadline_us: The time until which to wait for the response.
        matches_response: Returns whether a response belongs to this request. One that does not is late or a duplicate,
            and the next response on the connection may belong to it. None: every response belongs to it.
    """

    head: list[bytes]
    body: bytes
    deadline_us: int
    matches_response: Callable[[Message], bool] | None = None


class AttemptResult(NamedTuple):
    """The outcome of an attempt, and its response; None if there is none."""

    outcome: AttemptOutcome
    response: Message | None


class Attempt:
    """One attempt to send a request to a backend: its connection, and whether a byte of it may have been sent.

    The request is written only once. An attempt ends with a response, with an error on its connection, at its deadline,
    or when the decision logic cancels it. The result of may_have_run() decides whether another attempt is safe for a
    request that must not run twice.

    Attributes:
        time_limit: Interrupts the attempt at its deadline or when it is cancelled.
        connection: The connection; None until there is one.
        request: The write of the request; None until it begins.
        cancellation_outcome: The outcome, by the reason of the cancellation, of a cancelled attempt; else None.
    """

    def __init__(self, pool: BackendPool, time_limit: asyncio.Timeout) -> None:
        """Starts without a connection."""
        self.pool, self.time_limit = pool, time_limit
        self.connection: BackendConnection | None = None
        self.request: RequestWrite | None = None
        self.cancellation_outcome: AttemptOutcome | None = None

    def cancel(self, outcome: AttemptOutcome, *, only_unsent: bool) -> None:
        """Cancels the attempt in the next iteration of the event loop, unless it has ended or must go on.

        A cancellation in the same iteration as the deadline has no effect: the outcome is the time-out.

        Args:
            outcome: The outcome, by the reason of the cancellation, if the request may have run.
            only_unsent: An attempt whose request was already written to a socket is not cancelled.
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
        """Writes the request; returns once the kernel has accepted its last byte.

        Raises:
            OSError: The connection can't be used, or breaks during the write.
        """
        # Bytes that a backend sent before the request are not a response to it, so such a connection is not used.
        if self.connection is None or not self.connection.is_reusable():
            raise ConnectionResetError("connection is closed, or has unexpected input")
        self.request = RequestWrite(self.connection.writer)
        self.request.start(request.head, request.body)
        await self.request.finish()

    async def receive(self, request: OutgoingRequest, metrics: Metrics) -> Message | None:
        """Returns the response to the request; None if the stream ends without one.

        Raises:
            MalformedMessage: The response is malformed.
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
        """Whether the backend may run the request. If false, it certainly does not, because no byte has been sent.

        This holds only if the connection is aborted before the next iteration of the event loop (see RequestWrite).
        """
        return self.request is not None and self.request.may_have_been_sent()

    def failure_outcome(self, error: OSError, *, time_limit_expired: bool) -> AttemptOutcome:
        """Returns the outcome of an attempt that failed with an error.

        Args:
            error: The error.
            time_limit_expired: The attempt's own time limit has interrupted it, at its deadline or when cancelled.
        """
        stopped_by_time_limit = time_limit_expired and isinstance(error, TimeoutError)
        if self.may_have_run():
            return self.outcome_if_may_have_run(stopped_by_time_limit=stopped_by_time_limit)
        return self.outcome_if_not_run(error, stopped_by_time_limit=stopped_by_time_limit)

    def outcome_if_may_have_run(self, *, stopped_by_time_limit: bool) -> AttemptOutcome:
        """Returns the outcome of a failed attempt after which the backend may have run the request."""
        if not stopped_by_time_limit:
            return AttemptOutcome.BROKEN
        return self.cancellation_outcome or AttemptOutcome.TIMED_OUT

    def outcome_if_not_run(self, error: OSError, *, stopped_by_time_limit: bool) -> AttemptOutcome:
        """Returns the outcome of a failed attempt that sent no byte, so another attempt can't make it run twice."""
        if stopped_by_time_limit:
            return AttemptOutcome.NOT_SENT
        if self.connection is None and isinstance(error, TimeoutError):
            return AttemptOutcome.NO_CONNECTION
        # When a backend's process exits, all its connections close. While another connection is open, the process
        # still runs, and only this connection was refused or broken.
        process_is_up = self.connection is not None or self.pool.any_open()
        return AttemptOutcome.CUT if process_is_up else AttemptOutcome.NO_CONNECTION
