"""Reports of other gateways on backends. No I/O.

Reports in responses to this gateway's requests count towards an ejection. Unsolicited reports only make a backend a
candidate. Times are microseconds.
"""

from collections.abc import Collection
from dataclasses import dataclass

from stoneyoke.fleet.messages import BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, SECOND_US, TENTH_US, reports_too_many_unhealthy

REPORT_LIFETIME_US = 7 * SECOND_US  # a report expires this long after its arrival
NOT_SEEN_US = -1


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """The last response of one reporter: when it arrived, and when each backend was seen unhealthy or healthy."""

    received_at_us: int
    unhealthy: dict[int, int]  # time of the observation, by backend id
    healthy: dict[int, int]


class PeerReports:
    """The reports of other gateways. Each reporter counts once, however often it reports."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._responses: dict[str, PeerResponse] = {}  # by reporter
        # By backend id: the arrival times of reports that it is unhealthy, solicited or not, by reporter.
        self._unhealthy_reports: dict[int, dict[str, int]] = {}

    def __len__(self) -> int:
        """Number of reporters whose response has not expired."""
        return len(self._responses)

    def receive_unsolicited(
        self, reporter: str, reports: list[BackendReport], known: Collection[int], now_us: int
    ) -> None:
        """Records unsolicited reports. They make a backend a candidate for ejection and do not count towards it.

        Args:
            reporter: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the known backends; reports on others are dropped.
            now_us: Current time.
        """
        for report in reports:
            if report.backend_id in known and report.unhealthy:
                self._unhealthy_reports.setdefault(report.backend_id, {})[reporter] = now_us

    def receive_response(
        self, reporter: str, reports: list[BackendReport], known: Collection[int], now_us: int
    ) -> None:
        """Records the reports of a gateway that was asked; they replace its earlier ones.

        An empty response counts as well: its sender is one more reporter that does not find the backends unhealthy.

        Args:
            reporter: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the known backends; reports on others are dropped.
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
        """Drops the reports that arrived REPORT_LIFETIME_US ago or earlier."""
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
        """Drops the reports on backends that are no longer known."""
        self._unhealthy_reports = {id: reporters for id, reporters in self._unhealthy_reports.items() if id in known}

    def reported_unhealthy_ids(self) -> list[int]:
        """Returns the ids of the backends that any gateway reports unhealthy, solicited or not."""
        return list(self._unhealthy_reports)

    def unhealthy_reporter_count(self, id: int) -> int:
        """Returns how many gateways report a backend unhealthy, solicited or not."""
        return len(self._unhealthy_reports[id])

    def unhealthy_response_count(self, id: int, since_us: int) -> int:
        """Returns how many of the responses report that a backend was seen unhealthy since a time."""
        return sum(response.unhealthy.get(id, NOT_SEEN_US) >= since_us for response in self._responses.values())

    def healthy_response_count(self, id: int, since_us: int) -> int:
        """Returns how many of the responses report that a backend was seen healthy since a time."""
        return sum(response.healthy.get(id, NOT_SEEN_US) >= since_us for response in self._responses.values())
