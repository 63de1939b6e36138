"""The invariant checker: records the guarantees given to operators and tenants, and each violation of them."""

from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.lab.simulation.bounds import ACKNOWLEDGE_S, BOUNDS
from stoneyoke.lab.simulation.clock import START_S
from stoneyoke.lab.simulation.disturbances import Disturbances
from stoneyoke.lab.simulation.register_history import RegisterHistory

MAX_VIOLATIONS = 20  # of one scenario; later violations are dropped


class AcknowledgedDrain(NamedTuple):
    """A drain that was acknowledged to a backend, and when."""

    at: float
    instance: str


class PendingOrder(NamedTuple):
    """A configuration that an operator has sent and whose outcome is not certain yet."""

    sent_at: float
    version: Version


class InvariantChecker:
    """Collects the guarantees given during a scenario and their violations. Times are in seconds of the event loop.

    Attributes:
        disturbances: The machines and links that faults have disturbed.
        violations: One line for each violation, with its time.
        register: The history of the configuration register, as operators and gateways saw it.
        drains: The drains that were acknowledged.
        beyond_tolerance_until: The last time at which more was disturbed than the tolerance allows.
        pending_orders: Configuration changes whose outcome is not certain, by a key of their own.
        admitted_at: The times at which requests of each tenant were admitted, within the quota's window.
        trace_digest: Digest of all events, in order. The same seed gives the same digest.
        on_event: Called with the time and the text of each event, if set.
    """

    def __init__(self, losses: int) -> None:
        """Starts without guarantees. `losses`: number of controllers that may be lost at the same time."""
        self.disturbances = Disturbances(losses)
        self.violations: list[str] = []
        self.register = RegisterHistory(self.check)
        self.drains: list[AcknowledgedDrain] = []
        self.beyond_tolerance_until = 0.0
        self.pending_orders: dict[int, PendingOrder] = {}
        self.admitted_at: dict[str, deque[float]] = {}
        self.trace_digest = blake2b(digest_size=12)
        self.on_event: Callable[[float, str], None] | None = None

    def record(self, now: float, event: str) -> None:
        """Adds an event to the trace."""
        if self.on_event:
            self.on_event(now, event)
        self.trace_digest.update(f"{now:.4f} {event}\n".encode())

    def check(self, holds: object, now: float, violation: str) -> None:
        """Adds the violation if the condition does not hold."""
        if not holds and len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{now - START_S:.2f} s: {violation}")

    def check_orders(self, now: float) -> None:
        """Checks that each valid configuration change has a certain outcome after ACKNOWLEDGE_S without disturbance."""
        if self.disturbances.is_beyond_tolerance(now):
            self.beyond_tolerance_until = now
        for key, order in list(self.pending_orders.items()):
            if now - max(order.sent_at, self.beyond_tolerance_until) > ACKNOWLEDGE_S:
                self.check(
                    False,
                    now,
                    f"ACK: {order.version} has no certain outcome after {ACKNOWLEDGE_S} s without disturbance",
                )
                del self.pending_orders[key]

    def record_admitted(self, label: str, rate: float, burst: float, now: float) -> None:
        """Counts an admitted request of a tenant and checks its quota over the window.

        Args:
            label: The tenant's name.
            rate: The tenant's quota in requests per second.
            burst: The burst size of the quota, in requests.
            now: The time of the event loop.
        """
        window = self.admitted_at.setdefault(label, deque())
        window.append(now)
        while now - window[0] > BOUNDS.quota_window_s:
            window.popleft()
        quota = rate * BOUNDS.quota_window_s + burst
        allowed = quota * (1 + BOUNDS.quota_excess_ratio) + BOUNDS.quota_slack_units
        self.check(
            len(window) <= allowed,
            now,
            f"QUOTA: {label} had {len(window)} requests admitted, {allowed:.0f} were allowed",
        )
