"""What other gateways reported of backends: answers that count, and unsolicited reports that do not. No I/O.

Times are microseconds.
"""

from collections.abc import Collection
from dataclasses import dataclass

from stoneyoke.fleet.messages import BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, SECOND_US, TENTH_US, accuses_too_many

REPORT_LIFETIME_US = 7 * SECOND_US  # so long after its arrival a report counts
NOT_SEEN_US = -1


@dataclass(frozen=True, slots=True)
class Testimony:
    """The last answer of one witness: when it arrived, and when each backend was seen unhealthy or healthy."""

    received_at_us: int
    unhealthy: dict[int, int]  # time of the observation, by backend id
    healthy: dict[int, int]


class Witnesses:
    """The reports of other gateways. A witness counts once, however often it reports."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._testimonies: dict[str, Testimony] = {}  # by witness
        self._accusations: dict[int, dict[str, int]] = {}  # by backend id: arrival times, by witness; asked or not

    def __len__(self) -> int:
        """Number of witnesses whose answer counts."""
        return len(self._testimonies)

    def receive_unsolicited(
        self, witness: str, reports: list[BackendReport], known: Collection[int], now_us: int
    ) -> None:
        """Takes in reports that were not asked for. They start disputes and do not count in them.

        Args:
            witness: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the backends there are; reports on others are dropped.
            now_us: Current time.
        """
        for report in reports:
            if report.backend_id in known and report.unhealthy:
                self._accusations.setdefault(report.backend_id, {})[witness] = now_us

    def receive_answer(self, witness: str, reports: list[BackendReport], known: Collection[int], now_us: int) -> None:
        """Takes in the reports of a gateway that was asked; they replace its earlier ones. An empty answer counts, too.

        Args:
            witness: Name of the reporting gateway.
            reports: Its reports.
            known: Ids of the backends there are; reports on others are dropped.
            now_us: Current time.
        """
        self.receive_unsolicited(witness, reports, known, now_us)
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
        if accuses_too_many(len(unhealthy), len(known)):
            unhealthy = {}
        self._testimonies[witness] = Testimony(now_us, unhealthy, healthy)

    def expire(self, now_us: int) -> None:
        """Drops the reports that arrived too long ago."""
        self._testimonies = {
            witness: testimony
            for witness, testimony in self._testimonies.items()
            if now_us - testimony.received_at_us < REPORT_LIFETIME_US
        }
        remaining: dict[int, dict[str, int]] = {}
        for id, accusers in self._accusations.items():
            recent = {witness: at_us for witness, at_us in accusers.items() if now_us - at_us < REPORT_LIFETIME_US}
            if recent:
                remaining[id] = recent
        self._accusations = remaining

    def forget_backends_except(self, known: Collection[int]) -> None:
        """Drops the accusations of backends that are gone."""
        self._accusations = {id: accusers for id, accusers in self._accusations.items() if id in known}

    def accused_ids(self) -> list[int]:
        """The backends that somebody finds unhealthy, asked or not."""
        return list(self._accusations)

    def accuser_count(self, id: int) -> int:
        """How many gateways find a backend unhealthy, asked or not."""
        return len(self._accusations[id])

    def unhealthy_count(self, id: int, since_us: int) -> int:
        """How many of the witnesses that answered saw a backend unhealthy since then."""
        return sum(testimony.unhealthy.get(id, NOT_SEEN_US) >= since_us for testimony in self._testimonies.values())

    def healthy_count(self, id: int, since_us: int) -> int:
        """How many of the witnesses that answered saw a backend healthy since then."""
        return sum(testimony.healthy.get(id, NOT_SEEN_US) >= since_us for testimony in self._testimonies.values())
