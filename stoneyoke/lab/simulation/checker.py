"""Knows what was promised, and says what was not kept. A broken check is a line with its time."""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

from stoneyoke.api.configuration import Version
from stoneyoke.lab.simulation.bounds import ACK_S, BOUNDS, START_S
from stoneyoke.lab.simulation.register_history import RegisterHistory

MOST_BROKEN = 20  # lines that are kept


@dataclass
class Outcome:
    """What came of a scenario. trace: a digest of all that happened, in order."""

    seed: int
    broken: list[str]
    trace: str
    events: Counter[str]
    sent: int = 0
    refused: int = 0
    rejected_below_quota: int = 0  # of tenants at half their quota, long after the last trouble
    requests_below_quota: int = 0
    disk_bytes: int = 0  # that the fullest controller's disk holds at the end


class AcknowledgedDrain(NamedTuple):
    """A drain was acknowledged."""

    at: float
    instance: str


class InvariantChecker:
    """controllers_at: when a controller was disturbed last, or will be; gateway_at: the same of each gateway.
    lost_until: until when a controller counts as lost. links_until: until when all links are in trouble.
    calm_at: when more was last lost than is to be borne. waiting: when each order without an answer was sent."""

    def __init__(self, losses: int) -> None:
        self.losses = losses
        self.broken: list[str] = []
        self.register = RegisterHistory(self.check)
        self.drained: list[AcknowledgedDrain] = []
        self.controllers_disturbed_until = self.links_disturbed_until = self.intolerable_until = 0.0
        self.gateways_disturbed_until: dict[str, float] = {}
        self.lost_until: dict[str, float] = {}
        self.waiting: dict[int, tuple[float, Version]] = {}
        self.admitted_at: dict[str, deque[float]] = {}
        self.trace_digest = blake2b(digest_size=12)
        self.on_event: Callable[[float, str], None] | None = None

    def record(self, now: float, what: str) -> None:
        if self.on_event:
            self.on_event(now, what)
        self.trace_digest.update(f"{now:.4f} {what}\n".encode())

    def check(self, holds: Any, now: float, what: str) -> None:
        if not holds and len(self.broken) < MOST_BROKEN:
            self.broken.append(f"{now - START_S:.2f} s: {what}")

    # ---- what is disturbed ----

    def disturb_controller(self, name: str, now: float, until: float) -> None:
        """It is lost until then and for catch_up_s more; so is whoever has not caught up yet."""
        self.controllers_disturbed_until = max(self.controllers_disturbed_until, until)
        late = until + BOUNDS.catch_up_s
        self.lost_until[name] = max(self.lost_until.get(name, 0.0), late)
        self.extend_recovery(now, late)

    def disturb_links(self, now: float, until: float) -> None:
        self.controllers_disturbed_until = max(self.controllers_disturbed_until, until)
        self.links_disturbed_until = max(self.links_disturbed_until, until)
        self.extend_recovery(now, until + BOUNDS.catch_up_s)

    def extend_recovery(self, now: float, late: float) -> None:
        for other, lost_until in self.lost_until.items():
            if lost_until > now:
                self.lost_until[other] = max(lost_until, late)

    def disturb_gateway(self, name: str, until: float) -> None:
        self.gateways_disturbed_until[name] = max(self.gateways_disturbed_until.get(name, 0.0), until)

    def lost(self, now: float) -> list[str]:
        return [name for name, until in self.lost_until.items() if until > now]

    def tolerates_loss_of(self, names: Iterable[str], now: float) -> bool:
        """Whether the disks of these may be lost for good now, within the tolerance."""
        settled = now > self.links_disturbed_until + BOUNDS.catch_up_s
        return settled and len({*names, *self.lost(now)}) <= self.losses

    def has_contact(self, name: str, now: float) -> bool:
        return (
            now - max(self.controllers_disturbed_until, self.gateways_disturbed_until.get(name, 0.0)) > BOUNDS.contact_s
        )

    # ---- orders, requests ----

    def check_orders(self, now: float) -> None:
        """A valid order has an answer within ack_s of calm."""
        if len(self.lost(now)) > self.losses or now <= self.links_disturbed_until:
            self.intolerable_until = now
        for key, (sent_at, version) in list(self.waiting.items()):
            if now - max(sent_at, self.intolerable_until) > ACK_S:
                self.check(False, now, f"ACK: {version} has no answer after {ACK_S} s of calm")
                del self.waiting[key]

    def send(self, label: str, rate: float, burst: float, now: float) -> None:
        window = self.admitted_at.setdefault(label, deque())
        window.append(now)
        while now - window[0] > BOUNDS.quota_window_s:
            window.popleft()
        allowed = (rate * BOUNDS.quota_window_s + burst) * (1 + BOUNDS.quota_excess_ratio) + BOUNDS.quota_slack_units
        self.check(len(window) <= allowed, now, f"QUOTA: {label} sent {len(window)} of {allowed:.0f}")
