"""The connection pools of all backends, and attempts over them. This module never sends a request twice."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from stoneyoke.control.parameters import AttemptOutcome
from stoneyoke.net.attempt import Attempt, AttemptResult, OutgoingRequest
from stoneyoke.net.backend_connection import BackendConnection, BackendPool
from stoneyoke.net.descriptor_budget import DescriptorBudget, EvictionCandidate
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, Message
from stoneyoke.net.stream import connect, is_readable
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest

# A backend closes a connection after its idle time-out. A connection that has been idle for this fraction of it is not
# used any more, because a request could cross with that close.
IDLE_FRACTION = 0.75
HTTP_OK = 200
REJECTION_STATUSES = (503, 504)


class BackendLimits(NamedTuple):
    """Limits of connections to backends.

    Attributes:
        connect_timeout_us: How long to wait for a connection.
        idle_timeout_us: The time without an attempt after which a backend closes a connection.
        response_max_bytes: The longest body of a response.
    """

    connect_timeout_us: int
    idle_timeout_us: int
    response_max_bytes: int = BODY_MAX_BYTES


def outcome_of_response(response: Message | None) -> AttemptOutcome:
    """Returns the outcome by the single gateway's protocol page; None means a stream that ended without a response."""
    if response is None:
        return AttemptOutcome.BROKEN
    if response.status == HTTP_OK:
        return AttemptOutcome.OK
    if response.status in REJECTION_STATUSES and response.headers.get(b"srv-declined") == b"1":
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


class Backends:
    """The backends' addresses and connections, by the decision logic's indices.

    Attributes:
        pools: The connections of each backend that has an address.
        may_cancel_attempts: Whether attempts may be cancelled for another reason than the client's disconnect; false
            once this process shuts down, so that backends finish the requests that they run.
        classify: Returns the outcome of a response, or of a stream that ended without one (None). Each protocol sets
            its own function.
        accepts_new_work: Returns whether a backend takes new requests, by the latest endpoint list; set by the owner of
            the list.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, descriptor_budget: DescriptorBudget, limits: BackendLimits
    ) -> None:
        """Starts without backends."""
        self.clock, self.metrics, self.descriptor_budget = clock, metrics, descriptor_budget
        self.connect_timeout_s = limits.connect_timeout_us / 1_000_000
        self.idle_max_us = int(limits.idle_timeout_us * IDLE_FRACTION)
        self.response_max_bytes = limits.response_max_bytes
        self.pools: dict[int, BackendPool] = {}
        self.may_cancel_attempts = True
        self.classify: Callable[[Message | None], AttemptOutcome] = outcome_of_response
        self.accepts_new_work: Callable[[int], bool] = lambda _: True
        descriptor_budget.eviction_sources.append(self.eviction_candidate)

    # ---- addresses ----

    def set_address(self, backend: int, address: tuple[str, int]) -> None:
        """Sets the address of a backend. Connections to its former address are not used again."""
        pool = self.pools.get(backend)
        if pool is None or pool.address != address:
            self.remove(backend)
            self.pools[backend] = BackendPool(address)

    def remove(self, backend: int) -> None:
        """Removes a backend and closes its idle connections. Attempts in flight are not interrupted."""
        if pool := self.pools.pop(backend, None):
            while pool.idle:
                self.close_connection(pool.idle.pop())

    # ---- attempts ----

    async def send_attempt(
        self, pending: PendingRequest, number: int, backend: int, request: OutgoingRequest
    ) -> AttemptResult:
        """Makes one attempt, which ends with a response, an error, a cancellation, or at the request's deadline.

        Args:
            pending: The request that the attempt is for; its cancel_attempt is set during the attempt.
            number: The attempt's number within the request.
            backend: The backend's index.
            request: The request to send.
        """
        pool = self.pools.get(backend)
        client_waits = self.metrics.check_invariant(
            not pending.client_gone, "attempt started for a client that has gone"
        )
        if pool is None or self.clock.now() >= request.deadline_us or not client_waits:
            return AttemptResult(AttemptOutcome.NOT_SENT, None)
        attempt, response = Attempt(pool, asyncio.timeout_at(self.clock.loop_time(request.deadline_us))), None

        def cancel(attempt_number: int, only_unsent: bool) -> None:
            if attempt_number == number and (self.may_cancel_attempts or pending.client_gone):
                reason = AttemptOutcome.CLIENT_GONE if pending.client_gone else AttemptOutcome.CANCELLED
                attempt.cancel(reason, only_unsent=only_unsent)

        pending.cancel_attempt = cancel
        try:
            async with attempt.time_limit:
                acquired = await self.acquire_connection(attempt, backend)
                # The connection may have been established in the loop iteration in which the attempt was cancelled. If
                # the request were written then, the cancellation would interrupt it immediately after, even if it is
                # one that must not be interrupted once it is sent.
                if not acquired or attempt.cancellation_outcome is not None:
                    return AttemptResult(AttemptOutcome.NOT_SENT, None)
                await attempt.send(request)
                response = await attempt.receive(request, self.metrics)
        except OSError as error:  # includes TimeoutError, raised by the time limit, connect() or the kernel
            return AttemptResult(attempt.failure_outcome(error, time_limit_expired=attempt.time_limit.expired()), None)
        except MalformedMessage as error:
            self.metrics.report("backend responses: malformed", f"{pool.address}: {error}")
            return AttemptResult(AttemptOutcome.BROKEN, None)
        finally:
            pending.cancel_attempt = None
            self.release_connection(attempt, backend, response)
        return AttemptResult(self.classify(response), response)

    async def acquire_connection(self, attempt: Attempt, backend: int) -> bool:
        """Acquires an idle or a new connection for an attempt.

        Returns:
            False if no descriptor is left for a new connection, or the backend no longer takes new requests.
        """
        pool = attempt.pool
        connection = self.take_idle_connection(pool)
        if connection is None:
            if not self.descriptor_budget.acquire():
                self.metrics.add("attempts: no descriptor left")
                return False
            connection = await self.connect(pool)
        attempt.connection = connection
        pool.busy += 1
        # The endpoint list may have changed while the connection was being established.
        if not self.accepts_new_work(backend) or self.pools.get(backend) is not pool:
            self.metrics.add("attempts: backend left meanwhile")
            return False
        return True

    def release_connection(self, attempt: Attempt, backend: int, response: Message | None) -> None:
        """Returns an attempt's connection to the pool if it can be reused, else closes it.

        It can be reused after the attempt has received its own response, if nothing else has arrived on it.
        """
        connection = attempt.connection
        if connection is None:
            return
        attempt.pool.busy -= 1
        address_is_current = self.pools.get(backend) is attempt.pool
        if address_is_current and response and response.keep_alive and connection.is_reusable():
            self.return_to_pool(attempt.pool, connection)
        else:
            self.close_connection(connection)

    # ---- connections ----

    async def connect(self, pool: BackendPool) -> BackendConnection:
        """Opens a connection, for which a descriptor has already been acquired.

        Raises:
            OSError: The connection is refused, fails, or takes too long.
        """
        try:
            protocol, writer = await connect(pool.address, self.connect_timeout_s)
        except BaseException:  # a cancellation must release the descriptor too
            self.descriptor_budget.release()
            raise
        self.metrics.add("backend connections")
        return BackendConnection(protocol, writer, self.response_max_bytes)

    def take_idle_connection(self, pool: BackendPool) -> BackendConnection | None:
        """Returns the most recently used connection that can be reused, or None; closes those that can't."""
        while pool.idle:
            connection = pool.idle.pop()
            connection.ignore_events()
            fresh = self.clock.now() - connection.idle_since < self.idle_max_us
            # After a stall, bytes or a close may wait on the socket that the event loop has not processed yet.
            if fresh and connection.is_reusable() and not is_readable(connection.writer):
                return connection
            self.close_connection(connection)
        return None

    def return_to_pool(self, pool: BackendPool, connection: BackendConnection) -> None:
        """Adds a connection to the idle ones of its pool, for the next attempt.

        The connection is closed if a byte arrives while it is idle, so that a late response is not taken for the
        response to the next request.
        """

        def close_unusable() -> None:
            if connection in pool.idle:
                pool.idle.remove(connection)
                self.close_connection(connection)

        connection.idle_since = self.clock.now()
        connection.protocol.on_data = connection.protocol.on_close = close_unusable
        pool.idle.append(connection)

    def close_connection(self, connection: BackendConnection) -> None:
        """Closes a connection and releases its descriptor."""
        self.descriptor_budget.release()
        connection.close()

    def close_expired(self) -> None:
        """Closes the connections that have been idle for too long. Called several times a second."""
        for pool in self.pools.values():
            while pool.idle and self.clock.now() - pool.idle[0].idle_since >= self.idle_max_us:
                self.close_connection(pool.idle.popleft())

    def eviction_candidate(self) -> EvictionCandidate | None:
        """Returns the connection that has been idle longest, for the descriptor budget; None if none is idle."""
        pools = [pool for pool in self.pools.values() if pool.idle]
        if not pools:
            return None
        pool = min(pools, key=lambda pool: pool.idle[0].idle_since)
        return EvictionCandidate(
            mid_message=False,
            since_us=pool.idle[0].idle_since,
            close=lambda: self.close_connection(pool.idle.popleft()),
        )
