"""Ejects backends on this gateway's own observations and on other gateways' reports (outlier detection). No I/O.

A gateway reports only its own observations, and counts only the reports of members that it chose at random and asked.
Reports are not passed on, and each reporter counts once however often it reports, so a faulty gateway has no more
weight than any other. A backend is ejected only if MIN_UNHEALTHY_REPORTER_SHARE of the members asked report it
unhealthy; members that never used the backend count among those asked. This gateway's own observations override
reports. All times are microseconds.
"""

from collections.abc import Collection, Iterable
from hashlib import blake2b

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.fleet.messages import BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, SECOND_US, Observations
from stoneyoke.fleet.peer_reports import PeerReports

MIN_SAMPLE_SIZE = 40  # reporters; shares are taken of at least this many, or of all other members if they are fewer
# Of the reporters. With 0.2, false reports of a tenth of the gateways made 13 of 100 gateways eject a healthy backend.
MIN_UNHEALTHY_REPORTER_SHARE = 0.25
MIN_UNHEALTHY_REPORTERS = 2  # however few reporters there are
MIN_UNHEALTHY_SHARE = 0.6  # of the reporters that saw the backend since it became a candidate
CANDIDATE_LOOKBACK_US = 3 * SECOND_US  # successes up to this long before a backend became a candidate also count
# A backend is a candidate for at least this long before it is ejected. Gateways that saw a failure report it unasked;
# those that saw a success report it only once the backend is a candidate, so their reports arrive later.
MIN_CANDIDATE_US = 1_500_000
# The thresholds for renewing an ejection are lower, since few attempts still reach the backend. Reports must be recent.
RENEWAL_UNHEALTHY_REPORTER_SHARE, RENEWAL_UNHEALTHY_SHARE = 0.02, 0.4
RENEWAL_MIN_UNHEALTHY_REPORTERS = 1
RENEWAL_REPORT_AGE_US = 10 * SECOND_US
MAX_EJECTION_US = 60 * SECOND_US  # after which the backend must meet the thresholds of a first ejection again
ZONE_EJECTION_DIVISOR = 3  # of the backends of a zone, at most one in three is ejected on reports
PROBE_SLOT_US = 2 * SECOND_US
PROBERS_PER_SLOT = 5  # mean number of gateways, of the whole fleet, that probe an ejected backend once in a slot
OWN_SUCCESS_US = 5 * SECOND_US  # after its own success at a backend, this gateway does not eject it for this long
RECENT_FAILURE_US = 3 * SECOND_US  # after a failure of its own, this gateway queries other gateways for this long
NO_SLOT = -1


def probe_slot_hash(gateway: str, backend: int, slot: int) -> float:
    """Returns a hash between 0 and 1 of a gateway, a backend and a probe slot."""
    text = f"{gateway} {backend} {slot}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big") / 2**32


class Evidence:
    """One gateway's observations, the reports that it received, and the backends that it ejects.

    A backend is a candidate for ejection while at least MIN_UNHEALTHY_REPORTERS gateways report it unhealthy, or one
    does and this gateway's own last attempt failed. After MIN_CANDIDATE_US a candidate can be ejected. It stays ejected
    while enough reporters still find it unhealthy.
    """

    def __init__(self, gateway: str, overdue_after_us: int, now_us: int) -> None:
        """Starts with no backends.

        Args:
            gateway: This gateway's name.
            overdue_after_us: An attempt without a response for this long counts as failed.
            now_us: Current time.
        """
        self.gateway = gateway
        self.observations = Observations(overdue_after_us, now_us)
        self.peer_reports = PeerReports()
        self.ejections: dict[int, int] = {}  # by backend id: time of the ejection
        self.candidates: dict[int, int] = {}  # by backend id: when it became a candidate for ejection
        self.recent_failure = False  # whether this gateway saw a backend fail within RECENT_FAILURE_US
        self._probe_slots: dict[int, int] = {}  # by backend id: the last slot in which this gateway sent an attempt

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends, and removes the state of those that are no longer listed."""
        self.observations.set_backends(backends)
        known = self.observations.backends
        self.ejections = {id: since_us for id, since_us in self.ejections.items() if id in known}
        self._probe_slots = {id: slot for id, slot in self._probe_slots.items() if id in known}
        self.peer_reports.retain_backends(known)

    # ---- this gateway's own attempts ----

    def attempt_started(self, rpc: int, backend: int, now_us: int) -> None:
        """Records the start of an attempt. `rpc` and `backend` are the gateway's indices."""
        self.observations.attempt_started(rpc, backend, now_us)
        if (id := self.observations.ids.get(backend)) is not None:
            self._probe_slots[id] = now_us // PROBE_SLOT_US

    def attempt_ended(self, rpc: int, succeeded: bool | None, now_us: int) -> None:
        """Records the end of an attempt; see Observations.attempt_ended."""
        self.observations.attempt_ended(rpc, succeeded, now_us)

    def check_overdue(self, now_us: int) -> None:
        """Counts overdue attempts as failed."""
        self.observations.check_overdue(now_us)

    def reports(self, now_us: int, requested: Iterable[BackendReport] = ()) -> list[BackendReport]:
        """Returns the reports to send in one message.

        Args:
            now_us: Current time.
            requested: The reports in the request that is answered. The response reports on their backends, too.
        """
        requested_ids = {report.backend_id for report in requested}
        relevant = self.candidates.keys() | self.ejections.keys() | requested_ids
        return self.observations.reports(now_us, relevant, include_unknown=not requested)

    # ---- reports of other gateways ----

    def receive_unsolicited(self, reporter: str, reports: list[BackendReport], now_us: int) -> None:
        """Records the reports of a gateway that this one did not ask."""
        self.peer_reports.receive_unsolicited(reporter, reports, self.observations.backends, now_us)

    def receive_response(self, reporter: str, reports: list[BackendReport], now_us: int) -> None:
        """Records the reports in the response of a gateway that this one asked."""
        self.peer_reports.receive_response(reporter, reports, self.observations.backends, now_us)

    # ---- ejections ----

    def update_ejections(self, now_us: int, other_members: int) -> None:
        """Decides again which backends are ejected, on the observations and reports that still count.

        Args:
            now_us: Current time.
            other_members: Number of members, without this gateway.
        """
        self.peer_reports.expire(now_us)
        self._update_candidates(now_us)
        sample_size = max(len(self.peer_reports), min(other_members, MIN_SAMPLE_SIZE))
        eligible: list[tuple[float, int]] = []
        for id in self.observations.backends:
            is_ejected = self._is_ejected(id, now_us)
            unhealthy_share = self._ejection_share(id, sample_size, now_us)
            if unhealthy_share is not None:
                eligible.append((-unhealthy_share - is_ejected, id))  # ejected ones first, then by share
        self._apply_ejections([id for _, id in sorted(eligible)], now_us)

    def _update_candidates(self, now_us: int) -> None:
        """Finds the candidates for ejection.

        One report alone makes no candidate: single errors are common, and each candidate makes the gateways query one
        another.
        """
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
        """Returns the share of reporters that find a backend unhealthy, or None if it is not to be ejected."""
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
        """Counts the reporters that saw a backend unhealthy since a time.

        Successes count only from CANDIDATE_LOOKBACK_US before the backend became a candidate: earlier ones say nothing
        about the present failure.

        Returns:
            Their number, and their share of the reporters that saw the backend at all.
        """
        unhealthy = self.peer_reports.unhealthy_response_count(id, since_us)
        healthy_since_us = max(since_us, self.candidates.get(id, 0) - CANDIDATE_LOOKBACK_US)
        healthy = self.peer_reports.healthy_response_count(id, healthy_since_us)
        return unhealthy, unhealthy / max(1, unhealthy + healthy)

    def _apply_ejections(self, eligible: Collection[int], now_us: int) -> None:
        """Ejects backends in the order given, up to one in ZONE_EJECTION_DIVISOR of each zone's backends."""
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
        """Returns the backends that this gateway is to eject, and those that it is to probe in this slot.

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
        """Whether this gateway's last attempt at a backend succeeded, less than OWN_SUCCESS_US ago."""
        seen = self.observations.seen.get(id)
        if seen is None or seen.success_at_us <= seen.failure_at_us:
            return False
        return now_us - seen.success_at_us < OWN_SUCCESS_US
