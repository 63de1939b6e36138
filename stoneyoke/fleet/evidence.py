"""Verdicts on backends, drawn from this gateway's own observations and from other gateways' reports. No I/O.

A gateway reports only what it saw itself, and counts only the reports of witnesses that it picked at random. Nothing
is passed on, and a witness that reports more often counts no more, so a faulty gateway is one witness among many. A
verdict needs MIN_ACCUSER_SHARE of the witnesses asked to find the backend unhealthy, whether or not the others know
it. What is seen here overrules what others report. All times are microseconds.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.fleet.messages import BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, SECOND_US, Observations
from stoneyoke.fleet.witnesses import Witnesses

MIN_SAMPLE = 40  # witnesses, or all members if they are fewer; shares are taken of no less
MIN_ACCUSER_SHARE = 0.25  # of the witnesses asked. With 0.2, a tenth of liars took a backend from 13 of 100 gateways
MIN_ACCUSERS = 2  # however few witnesses there are
MIN_UNHEALTHY_SHARE = 0.6  # of the witnesses that saw the backend since the dispute began
DISPUTE_LOOKBACK_US = 3 * SECOND_US  # a dispute is about what was seen since so long before it
# A backend is disputed for so long before a verdict: who saw a failure reports at once, who saw a success follows.
MIN_DISPUTE_US = 1_500_000
# For a verdict that stands the shares are lower, since few attempts still reach the backend; reports must be recent.
STANDING_ACCUSER_SHARE, STANDING_UNHEALTHY_SHARE = 0.02, 0.4
STANDING_MIN_ACCUSERS = 1
STANDING_REPORT_AGE_US = 10 * SECOND_US
MAX_VERDICT_US = 60 * SECOND_US  # after which a verdict has to be reached anew
ZONE_EJECTION_DIVISOR = 3  # of a zone's backends one in so many may be ejected on reports
PROBE_SLOT_US = 2 * SECOND_US
PROBERS_PER_SLOT = 5  # gateways of all that send one attempt to an ejected backend in each slot
OWN_SUCCESS_US = 5 * SECOND_US  # a good answer seen here overrules a verdict for so long
RECENT_FAILURE_US = 3 * SECOND_US  # after a failure seen here, other gateways are asked for so long
NO_SLOT = -1


def slot_draw(gateway: str, backend: int, slot: int) -> float:
    """A number from 0 to 1, another one for each gateway, backend and probe slot."""
    text = f"{gateway} {backend} {slot}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big") / 2**32


class Evidence:
    """One gateway's observations, the reports it received, and its verdicts.

    A backend is disputed while at least MIN_ACCUSERS gateways find it unhealthy, or one and this gateway itself. After
    MIN_DISPUTE_US a dispute can end in a verdict. A verdict stands while enough witnesses confirm it.
    """

    def __init__(self, gateway: str, silent_after_us: int, now_us: int) -> None:
        """Starts with no backends.

        Args:
            gateway: This gateway's name.
            silent_after_us: An attempt without answer for so long counts as failed.
            now_us: Current time.
        """
        self.gateway = gateway
        self.observations = Observations(silent_after_us, now_us)
        self.witnesses = Witnesses()
        self.verdicts: dict[int, int] = {}  # by backend id: since when
        self.disputed: dict[int, int] = {}  # by backend id: since when
        self.recent_failure = False  # this gateway saw a backend fail just now
        self._probe_slots: dict[int, int] = {}  # by backend id: the last slot with an attempt from here

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends, and drops what was known of those that are gone."""
        self.observations.set_backends(backends)
        known = self.observations.backends
        self.verdicts = {id: since_us for id, since_us in self.verdicts.items() if id in known}
        self._probe_slots = {id: slot for id, slot in self._probe_slots.items() if id in known}
        self.witnesses.forget_backends_except(known)

    # ---- what this gateway sees ----

    def attempt_started(self, rpc: int, backend: int, now_us: int) -> None:
        """Notes an attempt of an RPC at a backend, both by the gateway's index."""
        self.observations.attempt_started(rpc, backend, now_us)
        if (id := self.observations.ids.get(backend)) is not None:
            self._probe_slots[id] = now_us // PROBE_SLOT_US

    def attempt_ended(self, rpc: int, good: bool | None, now_us: int) -> None:
        """Notes an attempt's end; see Observations.attempt_ended."""
        self.observations.attempt_ended(rpc, good, now_us)

    def check_silent(self, now_us: int) -> None:
        """Counts attempts that have gone unanswered for long as failed."""
        self.observations.check_silent(now_us)

    def reports(self, now_us: int, asked: Iterable[BackendReport] = ()) -> list[BackendReport]:
        """The reports for one message.

        Args:
            now_us: Current time.
            asked: The reports of the gateway that is answered; what was seen of these backends is reported, too.
        """
        asked_ids = {report.backend_id for report in asked}
        relevant = self.disputed.keys() | self.verdicts.keys() | asked_ids
        return self.observations.reports(now_us, relevant, ask_unknown=not asked)

    # ---- what others report ----

    def receive_unsolicited(self, witness: str, reports: list[BackendReport], now_us: int) -> None:
        """Takes in the reports of a gateway that was not asked."""
        self.witnesses.receive_unsolicited(witness, reports, self.observations.backends, now_us)

    def receive_answer(self, witness: str, reports: list[BackendReport], now_us: int) -> None:
        """Takes in the reports of a gateway that this one asked."""
        self.witnesses.receive_answer(witness, reports, self.observations.backends, now_us)

    # ---- verdicts ----

    def judge(self, now_us: int, other_members: int) -> None:
        """Draws all verdicts anew from what counts now.

        Args:
            now_us: Current time.
            other_members: Members beside this gateway.
        """
        self.witnesses.expire(now_us)
        self._update_disputes(now_us)
        witnesses_asked = max(len(self.witnesses), min(other_members, MIN_SAMPLE))
        candidates: list[tuple[float, int]] = []
        for id in self.observations.backends:
            stands = self._stands(id, now_us)
            unhealthy_share = self._accepted_share(id, witnesses_asked, now_us)
            if unhealthy_share is not None:
                candidates.append((-unhealthy_share - stands, id))  # standing verdicts first, then the clearest
        self._accept_verdicts([id for _, id in sorted(candidates)], now_us)

    def _update_disputes(self, now_us: int) -> None:
        """One accuser alone is no dispute: single errors are common, and the whole fleet need not exchange them."""
        failing = self.observations.failing_ids(now_us)
        seen = self.observations.seen
        self.recent_failure = any(now_us - seen[id].failure_at_us < RECENT_FAILURE_US for id in failing)
        self.disputed = {
            id: self.disputed.get(id, now_us)
            for id in self.witnesses.accused_ids()
            if self.witnesses.accuser_count(id) >= MIN_ACCUSERS or id in failing
        }

    def _stands(self, id: int, now_us: int) -> bool:
        return id in self.verdicts and now_us - self.verdicts[id] < MAX_VERDICT_US

    def _accepted_share(self, id: int, witnesses_asked: int, now_us: int) -> float | None:
        """The share of witnesses that find a backend unhealthy; None if that is no verdict."""
        stands = self._stands(id, now_us)
        if not stands and now_us - self.disputed.get(id, now_us) < MIN_DISPUTE_US:
            return None
        if stands:
            accusers, share = self._weigh(id, now_us - STANDING_REPORT_AGE_US)
            min_accusers = max(STANDING_MIN_ACCUSERS, STANDING_ACCUSER_SHARE * witnesses_asked)
            min_share = STANDING_UNHEALTHY_SHARE
        else:
            accusers, share = self._weigh(id, now_us - MAX_REPORT_AGE_US)
            min_accusers = max(MIN_ACCUSERS, MIN_ACCUSER_SHARE * witnesses_asked)
            min_share = MIN_UNHEALTHY_SHARE
        return share if accusers >= min_accusers and share >= min_share else None

    def _weigh(self, id: int, since_us: int) -> tuple[int, float]:
        """How many witnesses saw a backend unhealthy since then, and their share of those that saw it at all.

        Good answers count only since the dispute began: earlier ones say nothing about it.
        """
        unhealthy = self.witnesses.unhealthy_count(id, since_us)
        healthy_since_us = max(since_us, self.disputed.get(id, 0) - DISPUTE_LOOKBACK_US)
        healthy = self.witnesses.healthy_count(id, healthy_since_us)
        return unhealthy, unhealthy / max(1, unhealthy + healthy)

    def _accept_verdicts(self, candidates: Collection[int], now_us: int) -> None:
        """Takes verdicts in the order given, as long as each zone keeps enough of its backends."""
        backends = self.observations.backends
        backends_in_zone: dict[str, int] = {}
        for backend in backends.values():
            backends_in_zone[backend.zone] = backends_in_zone.get(backend.zone, 0) + 1
        remaining = {zone: count // ZONE_EJECTION_DIVISOR for zone, count in backends_in_zone.items()}
        verdicts: dict[int, int] = {}
        for id in candidates:
            zone = backends[id].zone
            if remaining[zone]:
                remaining[zone] -= 1
                verdicts[id] = self.verdicts[id] if self._stands(id, now_us) else now_us
        self.verdicts = verdicts

    def advice(self, now_us: int, members: int) -> PeerEvidence:
        """The backends to leave out here, and those to probe in this slot.

        Args:
            now_us: Current time.
            members: Number of members, this gateway included.
        """
        ejected_backends: set[int] = set()
        probed: set[int] = set()
        slot = now_us // PROBE_SLOT_US
        for id in self.verdicts:
            if self._answers_here(id, now_us):
                continue
            index = self.observations.backends[id].index
            is_prober = slot_draw(self.gateway, id, slot) * members < PROBERS_PER_SLOT
            if is_prober and self._probe_slots.get(id, NO_SLOT) < slot:
                probed.add(index)
            else:
                ejected_backends.add(index)
        return PeerEvidence(frozenset(ejected_backends), frozenset(probed))

    def _answers_here(self, id: int, now_us: int) -> bool:
        """Whether this gateway's last attempt succeeded, and not long ago."""
        seen = self.observations.seen.get(id)
        if seen is None or seen.success_at_us <= seen.failure_at_us:
            return False
        return now_us - seen.success_at_us < OWN_SUCCESS_US
