"""Whether a controller knows each drain that was acknowledged, though its memory began with its process. No I/O.

A drain is acknowledged once a majority of the voters has it in memory. What has to hold for a gateway that asks
`copies(n)` settled voters: of the settled voters no more than n - majority(n) lack an acknowledged drain. It holds
when the drain is acknowledged. A voter that restarts lacks it, but is not settled; it is again once it has pulled from
`copies(n)` other settled voters, one of which has the drain (quorum.py: what holds for a lost disk holds for lost
memory). So restarts, in any order, leave it true.

Pulls count only if they began COUNTING_S or more after this process's start. Another controller may still have been
counting what this process's last life answered: by then it has stopped (DiscoveryService.tell), and whoever else it
counted has the drain and tells of it. So an answer needs no name of the life that gave it.

Where too many restarted at once nobody settled is left to pull from. Then a controller waits until each backend had
time to send a heartbeat to somebody again; a backend that drains says so in each. A controller that becomes a voter
while it runs starts over: it counted for no drain that was acknowledged before."""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import copies

COUNTING_S = 0.7  # answers to a telling are counted for so long, by the clock of whoever counts
MARGIN_S = 0.1  # for clocks that do not run quite alike


@dataclass(slots=True)
class Settlement:
    """began_at: of this process. everyone_beats_s: in which each backend has sent a heartbeat that all in touch know
    of."""

    own_address: str
    began_at: float
    everyone_beats_s: float
    settled: bool = False
    voter: bool | None = None  # None: who votes has not been known yet
    apart_at: float = field(init=False)  # when it was last seen out of touch with a majority, or had stood still
    pulled: set[str] = field(default_factory=set)  # from whom, settled, since it may count

    def __post_init__(self) -> None:
        self.apart_at = self.began_at

    def first_start(self) -> None:
        """Of the whole system, on empty disks: nothing was acknowledged before."""
        self.settled = True

    def voters_are(self, voters: tuple[str, ...], now: float) -> None:
        """Who votes, as often as it may have changed."""
        if not voters:
            return
        voter = self.own_address in voters
        if voter and self.voter is False:
            self.settled, self.began_at, self.apart_at = False, now, now
            self.pulled.clear()
        self.voter = voter

    def pulled_from(self, address: str, settled: bool, begun_at: float) -> None:
        """A pull that began then gave all that a controller knows, at once or in parts since this process's start."""
        if begun_at >= self.began_at + COUNTING_S + MARGIN_S:
            (self.pulled.add if settled else self.pulled.discard)(address)

    def apart(self, now: float) -> None:
        """Heartbeats may have been missed up to now."""
        self.apart_at = now

    def decide(self, voters: tuple[str, ...], now: float) -> bool:
        self.voters_are(voters, now)
        if not self.settled and voters:
            others = self.pulled.intersection(voters) - {self.own_address}
            beats_known = now - self.apart_at >= self.everyone_beats_s
            self.settled = len(others) >= copies(len(voters)) or beats_known
        return self.settled
