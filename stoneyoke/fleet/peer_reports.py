"""What other gateways reported of backends: answers that count, and unsolicited reports that do not. No I/O.

Times are microseconds.
"""

from collections.abc import Collection
from dataclasses import dataclass

from stoneyoke.fleet.messages import BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, SECOND_US, TENTH_US, reports_too_many_unhealthy

REPORT_LIFETIME_US = 7 * SECOND_US  # so long after its arrival a report counts
NOT_SEEN_US = -1


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """The last answer of one witness: when it arrived, and when each backend was seen unhealthy or healthy."""

    received_at_us: int
    unhealthy: dict[int, int]  # time of the observation, by backend id
    healthy: dict[int, int]


class PeerReports:
    """The reports of other gateways. A witness counts once, however often it reports."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._responses: dict[str, PeerResponse] = {}  # by witness
        # By backend id: arrival times, by witness; asked or not.
        self._unhealthy_reports: dict[int, dict[str, int]] = {}

    def __len__(self) -> int:
        """Number of witnesses whose answer counts."""
        return len(self._responses)

    def receive_unsolicited(
        self, reporter: str, reports: list[BackendReport], known: Collection[int], now_us: int
    ) -> None:
        """Takes in reports that were not asked for. They start disputes and do not count in them.

        Args:
            reporter: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the backends there are; reports on others are dropped.
            now_us: Current time.
        """
        for report in reports:
            if report.backend_id in known and report.unhealthy:
                self._unhealthy_reports.setdefault(report.backend_id, {})[reporter] = now_us

    def receive_response(
        self, reporter: str, reports: list[BackendReport], known: Collection[int], now_us: int
    ) -> None:
        """Takes in the reports of a gateway that was asked; they replace its earlier ones. An empty answer counts, too.

        Args:
            reporter: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the backends there are; reports on others are dropped.
            now_us: Current time.
        """
        self.receive_unsolicited(reporter, reports, known, now_us)
        unhealthy: dict[int, int] = {}
        healthy: dict[int, int] = {}
        for report in reports:
            age_us = min(report.success_age_tenths, report.failure_age_tenths) * TENTH_US
            if report.backend_id not in known or age_us >= MAX_REPORT_AGE_US:
                continue
            if report.unhealthy:
                unhealthy[report.backend_id] = now_us - age_us
            else:
                healthy[report.backend_id] = now_us - report.success_age_tenths * TENTH_US
        if reports_too_many_unhealthy(len(unhealthy), len(known)):
            unhealthy = {}
        self._responses[reporter] = PeerResponse(now_us, unhealthy, healthy)

    def expire(self, now_us: int) -> None:
        """Drops the reports that arrived too long ago."""
        self._responses = {
            reporter: response
            for reporter, response in self._responses.items()
            if now_us - response.received_at_us < REPORT_LIFETIME_US
        }
        remaining: dict[int, dict[str, int]] = {}
        for id, reporters in self._unhealthy_reports.items():
            recent = {reporter: at_us for reporter, at_us in reporters.items() if now_us - at_us < REPORT_LIFETIME_US}
            if recent:
                remaining[id] = recent
        self._unhealthy_reports = remaining

    def retain_backends(self, known: Collection[int]) -> None:
        """Drops the accusations of backends that are gone."""
        self._unhealthy_reports = {id: reporters for id, reporters in self._unhealthy_reports.items() if id in known}

    def reported_unhealthy_ids(self) -> list[int]:
        """The backends that somebody finds unhealthy, asked or not."""
        return list(self._unhealthy_reports)

    def unhealthy_reporter_count(self, id: int) -> int:
        """How many gateways find a backend unhealthy, asked or not."""
        return len(self._unhealthy_reports[id])

    def unhealthy_response_count(self, id: int, since_us: int) -> int:
        """How many of the witnesses that answered saw a backend unhealthy since then."""
        return sum(response.unhealthy.get(id, NOT_SEEN_US) >= since_us for response in self._responses.values())

    def healthy_response_count(self, id: int, since_us: int) -> int:
        """How many of the witnesses that answered saw a backend healthy since then."""
        return sum(response.healthy.get(id, NOT_SEEN_US) >= since_us for response in self._responses.values())
