"""Decides whether a controller knows each acknowledged drain, though its memory is empty when it starts. No I/O.

A drain is acknowledged once a majority of the voters has it in memory. A gateway that asks `read_quorum(n)` synced
voters relies on this invariant: at most n - majority(n) of the synced voters lack an acknowledged drain. It is true
when the drain is acknowledged. A voter that restarts lacks the drain, but is not synced. It becomes synced again once
it has pulled from `read_quorum(n)` other synced voters, one of which has the drain (consensus/quorum.py: lost memory
counts like a lost disk). So restarts, in any order, preserve the invariant.

A pull counts only if it began ACK_WINDOW_S or more after this process started. Before that, another controller may
still count a response that this machine's previous process sent. After that the count has ended
(DiscoveryService.replicate), and every other voter counted has the drain and sends it in its response to the pull. So
responses don't need to contain the incarnation of the process that sent them.

When too many controllers restart at once, no synced voters are left to pull from. A controller then waits until each
backend had time to send a heartbeat to any controller; a draining backend reports its drain in each heartbeat. A
controller that becomes a voter while it runs becomes not synced, because it wasn't counted for earlier drains.
"""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import read_quorum

ACK_WINDOW_S = 0.7  # responses to an update are counted for this many seconds, by the counting controller's clock
CLOCK_MARGIN_S = 0.1  # clocks of two machines may drift apart by this many seconds within the window


@dataclass(slots=True)
class StartupSync:
    """Decides when a controller that has started is synced, which means that it knows each acknowledged drain.

    The controller becomes synced by enough pulls, by time, or by `mark_first_start`. It becomes not synced only when it
    becomes a voter. Times are seconds of the controller's clock.

    Attributes:
        own_address: this controller's address.
        started_at: when this process started, or became a voter.
        heartbeat_round_s: within this many seconds each backend sends a heartbeat, which reaches all reachable
            controllers.
        synced: the current decision.
        is_voter: whether this controller votes; None while the voters are not known.
        last_gap_at: when this controller last had no quorum, or was resumed after a suspension; it may have missed
            heartbeats until then.
        synced_sources: the controllers that were synced when this one last pulled from them, by pulls that count.
    """

    own_address: str
    started_at: float
    heartbeat_round_s: float
    synced: bool = False
    is_voter: bool | None = None
    last_gap_at: float = field(init=False)
    synced_sources: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Counts the time before the start as a gap, in which heartbeats were missed."""
        self.last_gap_at = self.started_at

    def mark_first_start(self) -> None:
        """Marks this controller as synced: at the system's first start no drain was acknowledged before."""
        self.synced = True

    def update_voters(self, voters: tuple[str, ...], now: float) -> None:
        """Updates whether this controller votes; must be called whenever the voters may have changed."""
        if not voters:
            return
        is_voter = self.own_address in voters
        became_voter = is_voter and self.is_voter is False
        if became_voter:
            self.synced, self.started_at, self.last_gap_at = False, now, now
            self.synced_sources.clear()
        self.is_voter = is_voter

    def record_pull(self, address: str, synced: bool, request_sent_at: float) -> None:
        """Records a pull after which this controller has all rows of another one, received in one or several pulls.

        Args:
            address: the controller that was pulled from.
            synced: whether that controller's response says that it is synced.
            request_sent_at: when the request was sent.
        """
        if request_sent_at < self.started_at + ACK_WINDOW_S + CLOCK_MARGIN_S:
            return
        if synced:
            self.synced_sources.add(address)
        else:
            self.synced_sources.discard(address)

    def record_gap(self, now: float) -> None:
        """Records that this controller may have missed heartbeats until now."""
        self.last_gap_at = now

    def evaluate(self, voters: tuple[str, ...], now: float) -> bool:
        """Updates the decision and returns whether this controller is synced."""
        self.update_voters(voters, now)
        if not self.synced and voters:
            sources = self.synced_sources.intersection(voters) - {self.own_address}
            received_every_heartbeat = now - self.last_gap_at >= self.heartbeat_round_s
            self.synced = len(sources) >= read_quorum(len(voters)) or received_every_heartbeat
        return self.synced
