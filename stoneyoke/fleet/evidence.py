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
from stoneyoke.fleet.peer_reports import PeerReports

MIN_SAMPLE_SIZE = 40  # witnesses, or all members if they are fewer; shares are taken of no less
# Of the witnesses asked. With 0.2, a tenth of liars took a backend from 13 of 100 gateways.
MIN_UNHEALTHY_REPORTER_SHARE = 0.25
MIN_UNHEALTHY_REPORTERS = 2  # however few witnesses there are
MIN_UNHEALTHY_SHARE = 0.6  # of the witnesses that saw the backend since the dispute began
CANDIDATE_LOOKBACK_US = 3 * SECOND_US  # a dispute is about what was seen since so long before it
# A backend is disputed for so long before a verdict: who saw a failure reports at once, who saw a success follows.
MIN_CANDIDATE_US = 1_500_000
# For a verdict that stands the shares are lower, since few attempts still reach the backend; reports must be recent.
RENEWAL_UNHEALTHY_REPORTER_SHARE, RENEWAL_UNHEALTHY_SHARE = 0.02, 0.4
RENEWAL_MIN_UNHEALTHY_REPORTERS = 1
RENEWAL_REPORT_AGE_US = 10 * SECOND_US
MAX_EJECTION_US = 60 * SECOND_US  # after which a verdict has to be reached anew
ZONE_EJECTION_DIVISOR = 3  # of a zone's backends one in so many may be ejected on reports
PROBE_SLOT_US = 2 * SECOND_US
PROBERS_PER_SLOT = 5  # gateways of all that send one attempt to an ejected backend in each slot
OWN_SUCCESS_US = 5 * SECOND_US  # a good answer seen here overrules a verdict for so long
RECENT_FAILURE_US = 3 * SECOND_US  # after a failure seen here, other gateways are asked for so long
NO_SLOT = -1


def probe_slot_hash(gateway: str, backend: int, slot: int) -> float:
    """A number from 0 to 1, another one for each gateway, backend and probe slot."""
    text = f"{gateway} {backend} {slot}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big") / 2**32


class Evidence:
    """One gateway's observations, the reports it received, and its verdicts.

    A backend is disputed while at least MIN_ACCUSERS gateways find it unhealthy, or one and this gateway itself. After
    MIN_DISPUTE_US a dispute can end in a verdict. A verdict stands while enough witnesses confirm it.
    """

    def __init__(self, gateway: str, overdue_after_us: int, now_us: int) -> None:
        """Starts with no backends.

        Args:
            gateway: This gateway's name.
            overdue_after_us: An attempt without answer for so long counts as failed.
            now_us: Current time.
        """
        self.gateway = gateway
        self.observations = Observations(overdue_after_us, now_us)
        self.peer_reports = PeerReports()
        self.ejections: dict[int, int] = {}  # by backend id: since when
        self.candidates: dict[int, int] = {}  # by backend id: since when
        self.recent_failure = False  # this gateway saw a backend fail just now
        self._probe_slots: dict[int, int] = {}  # by backend id: the last slot with an attempt from here

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends, and drops what was known of those that are gone."""
        self.observations.set_backends(backends)
        known = self.observations.backends
        self.ejections = {id: since_us for id, since_us in self.ejections.items() if id in known}
        self._probe_slots = {id: slot for id, slot in self._probe_slots.items() if id in known}
        self.peer_reports.retain_backends(known)

    # ---- what this gateway sees ----

    def attempt_started(self, rpc: int, backend: int, now_us: int) -> None:
        """Notes an attempt of an RPC at a backend, both by the gateway's index."""
        self.observations.attempt_started(rpc, backend, now_us)
        if (id := self.observations.ids.get(backend)) is not None:
            self._probe_slots[id] = now_us // PROBE_SLOT_US

    def attempt_ended(self, rpc: int, succeeded: bool | None, now_us: int) -> None:
        """Notes an attempt's end; see Observations.attempt_ended."""
        self.observations.attempt_ended(rpc, succeeded, now_us)

    def check_overdue(self, now_us: int) -> None:
        """Counts attempts that have gone unanswered for long as failed."""
        self.observations.check_overdue(now_us)

    def reports(self, now_us: int, requested: Iterable[BackendReport] = ()) -> list[BackendReport]:
        """The reports for one message.

        Args:
            now_us: Current time.
            requested: The reports of the gateway that is answered; what was seen of these backends is reported, too.
        """
        requested_ids = {report.backend_id for report in requested}
        relevant = self.candidates.keys() | self.ejections.keys() | requested_ids
        return self.observations.reports(now_us, relevant, include_unknown=not requested)

    # ---- what others report ----

    def receive_unsolicited(self, reporter: str, reports: list[BackendReport], now_us: int) -> None:
        """Takes in the reports of a gateway that was not asked."""
        self.peer_reports.receive_unsolicited(reporter, reports, self.observations.backends, now_us)

    def receive_response(self, reporter: str, reports: list[BackendReport], now_us: int) -> None:
        """Takes in the reports of a gateway that this one asked."""
        self.peer_reports.receive_response(reporter, reports, self.observations.backends, now_us)

    # ---- verdicts ----

    def update_ejections(self, now_us: int, other_members: int) -> None:
        """Draws all verdicts anew from what counts now.

        Args:
            now_us: Current time.
            other_members: Members beside this gateway.
        """
        self.peer_reports.expire(now_us)
        self._update_candidates(now_us)
        sample_size = max(len(self.peer_reports), min(other_members, MIN_SAMPLE_SIZE))
        eligible: list[tuple[float, int]] = []
        for id in self.observations.backends:
            is_ejected = self._is_ejected(id, now_us)
            unhealthy_share = self._ejection_share(id, sample_size, now_us)
            if unhealthy_share is not None:
                eligible.append((-unhealthy_share - is_ejected, id))  # standing verdicts first, then the clearest
        self._apply_ejections([id for _, id in sorted(eligible)], now_us)

    def _update_candidates(self, now_us: int) -> None:
        """One accuser alone is no dispute: single errors are common, and the whole fleet need not exchange them."""
        failing = self.observations.failing_ids(now_us)
        seen = self.observations.seen
        self.recent_failure = any(now_us - seen[id].failure_at_us < RECENT_FAILURE_US for id in failing)
        self.candidates = {
            id: self.candidates.get(id, now_us)
            for id in self.peer_reports.reported_unhealthy_ids()
            if self.peer_reports.unhealthy_reporter_count(id) >= MIN_UNHEALTHY_REPORTERS or id in failing
        }

    def _is_ejected(self, id: int, now_us: int) -> bool:
        return id in self.ejections and now_us - self.ejections[id] < MAX_EJECTION_US

    def _ejection_share(self, id: int, sample_size: int, now_us: int) -> float | None:
        """The share of witnesses that find a backend unhealthy; None if that is no verdict."""
        is_ejected = self._is_ejected(id, now_us)
        if not is_ejected and now_us - self.candidates.get(id, now_us) < MIN_CANDIDATE_US:
            return None
        if is_ejected:
            unhealthy, share = self._count_reporters(id, now_us - RENEWAL_REPORT_AGE_US)
            min_unhealthy = max(RENEWAL_MIN_UNHEALTHY_REPORTERS, RENEWAL_UNHEALTHY_REPORTER_SHARE * sample_size)
            min_share = RENEWAL_UNHEALTHY_SHARE
        else:
            unhealthy, share = self._count_reporters(id, now_us - MAX_REPORT_AGE_US)
            min_unhealthy = max(MIN_UNHEALTHY_REPORTERS, MIN_UNHEALTHY_REPORTER_SHARE * sample_size)
            min_share = MIN_UNHEALTHY_SHARE
        return share if unhealthy >= min_unhealthy and share >= min_share else None

    def _count_reporters(self, id: int, since_us: int) -> tuple[int, float]:
        """How many witnesses saw a backend unhealthy since then, and their share of those that saw it at all.

        Good answers count only since the dispute began: earlier ones say nothing about it.
        """
        unhealthy = self.peer_reports.unhealthy_response_count(id, since_us)
        healthy_since_us = max(since_us, self.candidates.get(id, 0) - CANDIDATE_LOOKBACK_US)
        healthy = self.peer_reports.healthy_response_count(id, healthy_since_us)
        return unhealthy, unhealthy / max(1, unhealthy + healthy)

    def _apply_ejections(self, eligible: Collection[int], now_us: int) -> None:
        """Takes verdicts in the order given, as long as each zone keeps enough of its backends."""
        backends = self.observations.backends
        backends_in_zone: dict[str, int] = {}
        for backend in backends.values():
            backends_in_zone[backend.zone] = backends_in_zone.get(backend.zone, 0) + 1
        remaining = {zone: count // ZONE_EJECTION_DIVISOR for zone, count in backends_in_zone.items()}
        ejections: dict[int, int] = {}
        for id in eligible:
            zone = backends[id].zone
            if remaining[zone]:
                remaining[zone] -= 1
                ejections[id] = self.ejections[id] if self._is_ejected(id, now_us) else now_us
        self.ejections = ejections

    def advice(self, now_us: int, members: int) -> PeerEvidence:
        """The backends to leave out here, and those to probe in this slot.

        Args:
            now_us: Current time.
            members: Number of members, this gateway included.
        """
        ejected_backends: set[int] = set()
        probed: set[int] = set()
        slot = now_us // PROBE_SLOT_US
        for id in self.ejections:
            if self._recently_succeeded(id, now_us):
                continue
            index = self.observations.backends[id].index
            is_prober = probe_slot_hash(self.gateway, id, slot) * members < PROBERS_PER_SLOT
            if is_prober and self._probe_slots.get(id, NO_SLOT) < slot:
                probed.add(index)
            else:
                ejected_backends.add(index)
        return PeerEvidence(frozenset(ejected_backends), frozenset(probed))

    def _recently_succeeded(self, id: int, now_us: int) -> bool:
        """Whether this gateway's last attempt succeeded, and not long ago."""
        seen = self.observations.seen.get(id)
        if seen is None or seen.success_at_us <= seen.failure_at_us:
            return False
        return now_us - seen.success_at_us < OWN_SUCCESS_US
