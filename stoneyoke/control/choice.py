"""Choice of backend: ranked order, room, cold budgets, health (mechanisms 1, 2, 5, 6 of gateway.py)."""

import math

from stoneyoke.control.events import AttemptEnded, EndpointsChanged, PeerEvidence
from stoneyoke.control.ground import BEAT, Ground
from stoneyoke.control.open_rpc import OpenRpc
from stoneyoke.control.parameters import (
    PROVEN_NOT_RUN,
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
)
from stoneyoke.limits.token_bucket import SECOND, TokenBucket
from stoneyoke.spread.zone_ranking import places, turns


class Backend:
    """A listed backend as this gateway has measured it. Dropped when gone and nothing is out."""

    def __init__(self, index: int) -> None:
        self.index, self.zone, self.cell, self.started, self.state = index, 0, 0, 0, BackendState.GONE
        self.out = self.overdue = 0
        self.pace = 1.0  # time taken, in means of its methods
        self.failures = 0.0  # decayed share of call-outs that failed
        self.quiet_since = 0  # the last answer, or the first call-out after a pause
        self.band = self.place = self.rests_until = self.measured = self.sent_at = 0
        self.shown = 1.0  # the pace, or how long it has been quiet if that is more
        self.cold = TokenBucket(0.0, 1.0, 0.0, 0)  # call-outs that it may get while it is cold
        self.warm = True  # told with the order only: one that turned warm since stands first in it


class Choice(Ground):
    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        super().__init__(parameters, now)
        self.backends: dict[int, Backend] = {}
        self.order: list[Backend] = []
        self.news, self.renewed = 0, now  # looks and answers since the order was renewed, and when it was
        self.out, self.usual_out, self.concurrency_limit = 0, 4.0, 16.0
        self.usual = 1.0  # the median pace of the backends measured of late
        # Running means: share of call-outs turned away or out of time; good answers' time in soft deadlines.
        self.swamped, self.taken = 0.0, 0.1
        self.answers = 0.0  # good answers a second from warm backends, decayed
        self.subscribe_at: float = now
        self.peer_evidence = PeerEvidence(frozenset(), frozenset())

    def choose(self, tried: set[int], claim: float, home: Backend | None, group: DeduplicationScope) -> Backend | None:
        """The order is filled from the top, a call-out each per round, each backend up to its limit."""
        best, best_fill, jammed, few = None, (math.inf, 0), self.jammed(), turns(self.answers)
        filled = sum(b.out - (0 if jammed else b.overdue) for b in self.order if self.near(b))
        # Where gateways are many a room is a fraction: by chance, so that the parts sum to the whole.
        if filled + self.random_source.draw() >= self.concurrency_limit * claim:
            return None
        limit = max(1.0, 2 * self.concurrency_limit / max(1, len(self.order)))
        for at, backend in enumerate(self.order):
            # Turns among some, the longest unused first: a busy gateway's first one would draw all it has.
            if best_fill[0] <= 0 and (at >= few or backend.place >= len(self.order)):
                break
            if backend.index in tried or not self.usable(backend):
                continue
            if home and (
                group is DeduplicationScope.ZONE
                and backend.zone != home.zone
                or (group is DeduplicationScope.CELL and backend.cell != home.cell)
            ):
                continue
            probed = backend.index in self.peer_evidence.probed
            fill = (-1, 0) if probed else (backend.out + backend.band, backend.sent_at)
            if fill < best_fill and backend.out < limit:
                best, best_fill = backend, fill
        return best

    def usable(self, backend: Backend) -> bool:
        """Rule 4: a cold one only within this gateway's part of its budget."""
        rests = self.now < backend.rests_until or backend.index in self.peer_evidence.left_out
        return not rests and (backend.warm or backend.cold.fill(self.now) >= 1.0)

    def warmth(self, backend: Backend) -> float:
        """The least share of its capacity that a backend has by now: 1 when warm."""
        age, warm_up = self.now - backend.started, self.parameters.warm_up_us
        if backend.started <= 0 or age >= warm_up:
            return 1.0
        return self.parameters.cold_share + (1 - self.parameters.cold_share) * max(0, age) / warm_up

    def budget_cold(self, fleet: list[Backend]) -> None:
        """Each gateway grants its part, be it a fraction of a call-out: the parts sum to the whole."""
        share = self.answers / max(1, sum(b.warm for b in fleet))
        window = self.parameters.overload_window_us / SECOND
        for backend in fleet:
            backend.warm = (warmth := self.warmth(backend)) >= 1.0
            if not backend.warm:
                # At most half of it over time, a quarter at once, and its part of the load (twice that cost
                # 0.02 to 0.1). Two a window from all gateways at least: a fleet all cold must get going.
                rate = min(1.0, 0.5 * self.parameters.overload_factor) * warmth * share
                rate = max(rate, 2 / self.parameters.gateways / window)
                backend.cold.resize(rate, max(1.0, 0.5 * rate * window), self.now)

    def presume_started(self, backend: Backend, at: int) -> None:
        # A phase of its own: the gateways don't all grant at once.
        backend.started, backend.warm = at, False
        backend.cold = TokenBucket(0.0, 1.0, self.random_source.draw(), self.now)

    def renew_order(self) -> None:
        """By bands of pace against the fleet's median, cold ones first, then a place of one's own."""
        steps, self.news, self.renewed = (self.now - self.renewed) / (5 * BEAT), 0, self.now
        ready = (b for b in self.backends.values() if b.state is BackendState.READY)
        fleet = sorted(ready, key=lambda b: (b.zone, b.index))
        if not fleet:
            return self.order.clear()
        means, rest, fade = sum(m.mean for m in self.methods) / len(self.methods), 0.98**steps, 0.95**steps
        for backend in fleet:
            quiet = (self.now - backend.quiet_since) / means / 2 if backend.out else 0.01
            backend.shown = max(backend.pace, quiet)
            backend.pace = 1 + (backend.pace - 1) * (1 if backend.out else rest)
            backend.failures *= fade
        # Never called, one tells nothing of a jam; the 1.0 is for a single measured one, which is no norm.
        late = sorted([1.0] + [b.shown for b in fleet if b.out or self.now - b.measured < 5 * SECOND])
        self.usual = late[(len(late) - 1) // 2]
        median = sorted(b.shown for b in fleet)[len(fleet) // 2]
        failing = sorted(b.failures for b in fleet)[len(fleet) // 2]
        self.budget_cold(fleet)
        ring = places([b.zone for b in fleet], self.parameters.zone, self.parameters.own_index)
        for backend, backend.place in zip(fleet, ring, strict=True):
            backend.band = max(0, int(math.log(backend.shown / median) / math.log(1.5)))
            if backend.failures > failing + 0.4 and self.now >= backend.rests_until:
                backend.rests_until = self.now + SECOND
        # A cold one goes first in its band: its budget is kept, and so all parts are used.
        probed = self.peer_evidence.probed
        self.order = sorted(fleet, key=lambda b: (b.index not in probed, b.band, b.warm, b.place))

    def measure(self, backend: Backend, rpc: OpenRpc, result: AttemptEnded, sent_at: int) -> None:
        self.news += 1
        took, row = self.now - sent_at, self.methods[rpc.call.method]
        if result.outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            backend.quiet_since = self.now
        failed = result.outcome not in (
            AttemptOutcome.OK,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.NOT_SENT,
        )
        backend.failures += (failed - backend.failures) * 0.25
        if result.outcome is AttemptOutcome.OK:
            # With a tenth lost each 250 ms: a running mean of answers a second.
            self.answers += 0.4 * backend.warm
            row.seen += 1
            row.mean += (took - row.mean) * max(0.02, 1 / (row.seen + 5))
        if result.outcome is AttemptOutcome.NO_CONNECTION:
            # Whatever takes no connection may have died, and comes back cold before any list tells.
            backend.rests_until = self.now + SECOND
            self.presume_started(backend, self.now + SECOND)
        elif result.outcome is not AttemptOutcome.NOT_SENT:
            # A quick refusal or error is no quick answer: else a backend that refuses all would draw all.
            means = took / row.mean if result.outcome is AttemptOutcome.OK else max(3.0, took / row.mean)
            backend.pace += (means - backend.pace) * 0.15  # 0.3 lost 0.17 on one incident
            backend.measured = self.now
        # A backend far off the fleet, or one that won't have this RPC, says nothing of the fleet's room.
        taken = min(1.5, took / self.parameters.methods[rpc.call.method].soft_deadline_us)
        if result.outcome is AttemptOutcome.OK:
            self.taken += (taken - self.taken) * self.weight(0.4)
        swamped = result.outcome in (AttemptOutcome.REJECTED, AttemptOutcome.TIMED_OUT)
        if result.outcome is AttemptOutcome.OK or swamped:
            self.swamped += (swamped - self.swamped) * self.weight(0.4) / 2
        if result.outcome is AttemptOutcome.OK and self.near(backend):
            self.press(taken)
        elif (
            swamped
            and self.swamped > 0.4
            or (result.outcome not in PROVEN_NOT_RUN and self.near(backend) and self.jammed())
        ):
            self.press(1.0)

    def near(self, backend: Backend) -> bool:
        """Not far off the others that were measured of late."""
        return backend.shown < 2.25 * self.usual

    def jammed(self) -> bool:
        """Call-outs without an answer show a jam only while answers are slow too; else they are lost."""
        return self.taken > 0.3 or self.swamped > 0.4

    def press(self, taken: float) -> None:
        """One more call-out's time, in soft deadlines. Held near 0.35: the fleet full, few answers late."""
        if taken > 0.35 or self.out + 1 >= 0.5 * self.concurrency_limit:
            self.concurrency_limit *= math.exp(self.weight(1.0) * (0.35 - taken))
        # One and a half a backend, shared by the gateways, never jam a fleet: no less than that.
        self.concurrency_limit = max(1.5 * len(self.order) / self.parameters.gateways, self.concurrency_limit)

    def weight(self, seconds: float) -> float:
        """What an answer weighs in a mean over so many seconds of them (0.3 at most let jams last a day)."""
        return min(0.6, 1 / seconds / max(1.0, self.answers))

    def listed(self, news: EndpointsChanged) -> None:
        if news.failed:
            self.subscribe_at = self.now + int((0.5 + self.random_source.draw()) * SECOND)
            return
        if news.complete:
            for backend in self.backends.values():
                backend.state = BackendState.GONE
        for entry in news.endpoints:
            backend = self.backends.setdefault(entry.backend, Backend(entry.backend))
            if entry.started_us > backend.started:
                self.presume_started(backend, entry.started_us)
            backend.zone, backend.cell, backend.state = entry.zone, entry.cell, entry.state
        self.renew_order()

    def advise(self, peer_evidence: PeerEvidence) -> None:
        self.peer_evidence = peer_evidence
        self.renew_order()
