"""Whether a controller knows each acknowledged drain, though its memory began empty with its process. No I/O.

A drain is acknowledged once a majority of the voters has it in memory. The invariant for a gateway that asks
`read_quorum(n)` synced voters: at most n - majority(n) of the synced voters lack an acknowledged drain. It holds when
the drain is acknowledged. A voter that restarts lacks the drain, but is not synced. It is synced again once it has
pulled from `read_quorum(n)` other synced voters, one of which has the drain (consensus/quorum.py: lost memory counts as
a lost disk does). So restarts, in any order, keep the invariant.

A pull counts only if it began ACK_WINDOW_S or more after this process started. Another controller may still be
counting an answer that this machine's previous process gave. By then that count has ended
(DiscoveryService.replicate), and every other voter counted has the drain and sends it. So an answer needs no
incarnation of the process that gave it.

When too many controllers restart at once, no synced voter is left to pull from. A controller then waits until each
backend had time to send a heartbeat to any controller; a draining backend says so in each heartbeat. A controller that
becomes a voter while it runs starts over, because it was not counted for drains acknowledged before.
"""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import read_quorum

ACK_WINDOW_S = 0.7  # answers to an update are counted for this long, by the clock of the controller that counts
CLOCK_MARGIN_S = 0.1  # clocks of two machines may drift apart by this much within the window


@dataclass(slots=True)
class StartupSync:
    """Decides when a controller that started is synced: it knows each acknowledged drain.

    Not synced leads to synced by enough pulls, by time, or by `mark_first_start`. Synced leads to not synced only when
    the controller becomes a voter. Times are seconds of the controller's clock.

    Attributes:
        own_address: this controller's address.
        started_at: when this process started, or became a voter.
        heartbeat_round_s: within this time each backend has sent a heartbeat that all reachable controllers know of.
        synced: the current decision.
        is_voter: whether this controller votes; None while the voters are not known.
        last_gap_at: when this controller was last seen without a quorum, or had been suspended.
        synced_sources: the synced controllers that were pulled from since pulls count.
    """

    own_address: str
    started_at: float
    heartbeat_round_s: float
    synced: bool = False
    is_voter: bool | None = None
    last_gap_at: float = field(init=False)
    synced_sources: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """The time before the start counts as a gap."""
        self.last_gap_at = self.started_at

    def mark_first_start(self) -> None:
        """The whole system starts for the first time, on empty disks: no drain was acknowledged before."""
        self.synced = True

    def update_voters(self, voters: tuple[str, ...], now: float) -> None:
        """Takes the current voters' addresses; to be called whenever they may have changed."""
        if not voters:
            return
        is_voter = self.own_address in voters
        became_voter = is_voter and self.is_voter is False
        if became_voter:
            self.synced, self.started_at, self.last_gap_at = False, now, now
            self.synced_sources.clear()
        self.is_voter = is_voter

    def record_pull(self, address: str, synced: bool, request_sent_at: float) -> None:
        """Notes a pull that brought everything a controller knows, at once or in parts since this process started.

        Args:
            address: the controller that was pulled from.
            synced: whether that controller said that it is synced.
            request_sent_at: when the request was sent.
        """
        if request_sent_at < self.started_at + ACK_WINDOW_S + CLOCK_MARGIN_S:
            return
        if synced:
            self.synced_sources.add(address)
        else:
            self.synced_sources.discard(address)

    def record_gap(self, now: float) -> None:
        """This controller may have missed heartbeats until now."""
        self.last_gap_at = now

    def evaluate(self, voters: tuple[str, ...], now: float) -> bool:
        """Updates the decision and returns whether this controller is synced."""
        self.update_voters(voters, now)
        if not self.synced and voters:
            sources = self.synced_sources.intersection(voters) - {self.own_address}
            received_every_heartbeat = now - self.last_gap_at >= self.heartbeat_round_s
            self.synced = len(sources) >= read_quorum(len(voters)) or received_every_heartbeat
        return self.synced
