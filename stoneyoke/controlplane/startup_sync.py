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
becomes a voter while it runs starts over, because it was not counted for drains acknowledged before."""

from dataclasses import dataclass, field

from stoneyoke.consensus.quorum import read_quorum

ACK_WINDOW_S = 0.7  # answers to a telling are counted for so long, by the clock of whoever counts
CLOCK_MARGIN_S = 0.1  # for clocks that do not run quite alike


@dataclass(slots=True)
class StartupSync:
    """started_at: of this process. heartbeat_round_s: in which each backend has sent a heartbeat that all in touch know
    of."""

    own_address: str
    started_at: float
    heartbeat_round_s: float
    synced: bool = False
    is_voter: bool | None = None  # None: who votes has not been known yet
    last_gap_at: float = field(init=False)  # when it was last seen out of touch with a majority, or had stood still
    synced_sources: set[str] = field(default_factory=set)  # from whom, synced, since it may count

    def __post_init__(self) -> None:
        self.last_gap_at = self.started_at

    def mark_first_start(self) -> None:
        """Of the whole system, on empty disks: nothing was acknowledged before."""
        self.synced = True

    def update_voters(self, voters: tuple[str, ...], now: float) -> None:
        """Who votes, as often as it may have changed."""
        if not voters:
            return
        is_voter = self.own_address in voters
        if is_voter and self.is_voter is False:
            self.synced, self.started_at, self.last_gap_at = False, now, now
            self.synced_sources.clear()
        self.is_voter = is_voter

    def record_pull(self, address: str, synced: bool, begun_at: float) -> None:
        """A pull that began then gave all that a controller knows, at once or in parts since this process's start."""
        if begun_at >= self.started_at + ACK_WINDOW_S + CLOCK_MARGIN_S:
            (self.synced_sources.add if synced else self.synced_sources.discard)(address)

    def note_gap(self, now: float) -> None:
        """Heartbeats may have been missed up to now."""
        self.last_gap_at = now

    def evaluate(self, voters: tuple[str, ...], now: float) -> bool:
        self.update_voters(voters, now)
        if not self.synced and voters:
            others = self.synced_sources.intersection(voters) - {self.own_address}
            beats_known = now - self.last_gap_at >= self.heartbeat_round_s
            self.synced = len(others) >= read_quorum(len(voters)) or beats_known
        return self.synced
