"""The machines and links that faults disturb, and until when. They need not be up to date."""

from collections.abc import Iterable

from stoneyoke.lab.simulation.bounds import BOUNDS


class Disturbances:
    """The disturbed machines and links. Times are in seconds of the event loop.

    A disturbed controller counts as lost for another catch_up_s, because it must first catch up. The operators
    guarantee that no more than `losses` controllers, the tolerance, are lost at the same time: the faults of a plan
    observe that.

    Attributes:
        losses: The tolerance: number of controllers that may be lost at the same time.
        controllers_until: When the last disturbance of any controller ends.
        links_until: When the last fault that disturbs all links ends.
        gateways_until: When the last disturbance of each gateway ends.
        lost_until: The time until which each controller counts as lost.
    """

    def __init__(self, losses: int) -> None:
        """Starts with nothing disturbed; see the class for `losses`."""
        self.losses = losses
        self.controllers_until = self.links_until = 0.0
        self.gateways_until: dict[str, float] = {}
        self.lost_until: dict[str, float] = {}

    def disturb_controller(self, name: str, now: float, until: float) -> None:
        """Counts a controller as lost. Other controllers that have not caught up yet count as lost for longer, too."""
        self.controllers_until = max(self.controllers_until, until)
        caught_up_at = until + BOUNDS.catch_up_s
        self.lost_until[name] = max(self.lost_until.get(name, 0.0), caught_up_at)
        self.extend_recovery(now, caught_up_at)

    def disturb_links(self, now: float, until: float) -> None:
        """Counts all links between machines as disturbed."""
        self.controllers_until = max(self.controllers_until, until)
        self.links_until = max(self.links_until, until)
        self.extend_recovery(now, until + BOUNDS.catch_up_s)

    def extend_recovery(self, now: float, caught_up_at: float) -> None:
        """Extends the time of controllers that are catching up, since their peers are disturbed meanwhile."""
        for name, until in self.lost_until.items():
            if until > now:
                self.lost_until[name] = max(until, caught_up_at)

    def disturb_gateway(self, name: str, until: float) -> None:
        """Counts a gateway as disturbed."""
        self.gateways_until[name] = max(self.gateways_until.get(name, 0.0), until)

    def lost(self, now: float) -> list[str]:
        """Returns the controllers that count as lost."""
        return [name for name, until in self.lost_until.items() if until > now]

    def tolerates_loss_of(self, names: Iterable[str], now: float) -> bool:
        """Returns whether these controllers may lose their disks now, within the tolerance."""
        settled = now > self.links_until + BOUNDS.catch_up_s
        return settled and len({*names, *self.lost(now)}) <= self.losses

    def is_beyond_tolerance(self, now: float) -> bool:
        """Returns whether so much is disturbed that a configuration change need not be acknowledged."""
        return len(self.lost(now)) > self.losses or now <= self.links_until

    def has_contact(self, gateway: str, now: float) -> bool:
        """Returns whether a gateway has been undisturbed long enough to be in contact with the controllers."""
        disturbed_until = max(self.controllers_until, self.gateways_until.get(gateway, 0.0))
        return now - disturbed_until > BOUNDS.contact_s

    def last_end(self) -> float:
        """Returns when the last disturbance of any machine or link ends."""
        return max([self.controllers_until, self.links_until, *self.gateways_until.values()])
