"""A pending request, shared by the server that serves its client and the decision logic."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stoneyoke.control.actions import FailRpc, Reject, StartAttempt
from stoneyoke.runtime.clock import Clock

Decision = StartAttempt | Reject | FailRpc


@dataclass(slots=True, kw_only=True, eq=False)
class RequestDescription:
    """The properties of a request that the decision logic receives on its arrival.

    Attributes:
        method: The method's number in the parameters.
        plan: The number of the customer's plan in the parameters.
        customer_id: The customer's number, which is the same at every gateway; 0 if another component enforces quotas.
        units: The cost that is charged to the customer's quota.
        customer_gateways: The number of gateways that receive this customer's requests.
        is_retry: Whether the client sends the request again; None if clients don't mark retries.
    """

    method: int
    plan: int
    customer_id: int = 0
    units: float = 1.0
    customer_gateways: float = 1.0
    is_retry: bool | None = None


class RequestOwner(Protocol):
    """Opens pending requests, and is notified when their clients disconnect; implemented by the runtime."""

    def client_gone(self, request: "PendingRequest") -> None:
        """Notes that the client has closed its connection and no longer waits for the response."""


class PendingRequest:
    """One request, from its arrival until its server closes it.

    The decision logic adds decisions; the server takes them one by one and carries them out.

    Attributes:
        index: The request's number within its runtime.
        owner: The runtime that opened the request.
        attempts_started: The number of attempts so far, which is the next attempt's number.
        ends_with_client: Whether its attempt is cancelled when its client disconnects, even if it was already sent.
        client_gone: The client has closed its connection. There are no further decisions.
        decisions: The decisions that the server has not taken yet.
        cancel_attempt: Cancels the attempt with the given number if it is still in flight; if the second argument is
            true, only if nothing of it was sent. None while no attempt is in flight.
        waiter: The future that next_decision() waits for; None before the first wait.
    """

    __slots__ = (
        "attempts_started",
        "cancel_attempt",
        "client_gone",
        "clock",
        "decisions",
        "ends_with_client",
        "index",
        "owner",
        "waiter",
    )

    def __init__(self, index: int, clock: Clock, owner: RequestOwner, *, ends_with_client: bool = False) -> None:
        """Starts with no decision and no attempt."""
        self.index, self.clock, self.owner = index, clock, owner
        self.ends_with_client = ends_with_client
        self.attempts_started = 0
        self.client_gone = False
        self.decisions: deque[Decision] = deque()
        self.waiter: asyncio.Future[None] | None = None
        self.cancel_attempt: Callable[[int, bool], None] | None = None

    async def next_decision(self, deadline_us: int) -> Decision | None:
        """Waits for the next decision.

        Args:
            deadline_us: The time until which to wait.

        Returns:
            The decision; None if the client has disconnected, or if there is no decision by the deadline.
        """
        if not self.decisions and not self.client_gone:
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout_at(self.clock.loop_time(deadline_us)):
                    await self.waiter
            except TimeoutError:
                return None
        return self.decisions.popleft() if self.decisions and not self.client_gone else None

    def has_attempt(self) -> bool:
        """Whether an attempt is in flight."""
        return self.cancel_attempt is not None

    def decide(self, decision: Decision) -> None:
        """Adds a decision and wakes next_decision()."""
        self.decisions.append(decision)
        self.wake()

    def wake(self) -> None:
        """Ends the wait of next_decision()."""
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)
