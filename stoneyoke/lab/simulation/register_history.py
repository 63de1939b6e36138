"""What operators and gateways were shown of the register, and whether it can be one register's history.

One number means one content for ever, and nobody is shown an older state than what was shown to anyone before he
asked (linearizability of a register that only goes up)."""

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue

Check = Callable[[bool, float, str], None]


class Claim(NamedTuple):
    """An operator was told something about a version."""

    at: float
    version: Version


@dataclass
class RegisterHistory:
    """must: called with what has to hold. sent: when each version was first ordered; bodies: its text. levels: the
    numbers that anybody was shown, rising, with their times; floors: the same of those acknowledged. shown: versions
    read back or in force, by number."""

    check: Check
    sent: dict[Version, float] = field(default_factory=dict)
    bodies: dict[Version, bytes] = field(default_factory=dict)
    shown_levels: list[tuple[float, int]] = field(default_factory=list)
    acknowledged_levels: list[tuple[float, int]] = field(default_factory=list)
    shown: dict[int, Version] = field(default_factory=dict)
    acknowledged: list[Claim] = field(default_factory=list)
    conflicts: list[Claim] = field(default_factory=list)
    chosen: list[Proposal] = field(default_factory=list)  # white box: what any controller took for chosen, by ballot

    def order(self, now: float, version: Version, body: bytes) -> None:
        self.sent.setdefault(version, now)
        self.bodies[version] = body

    def level(self, before: float) -> int:
        """The highest number that anybody was shown until then."""
        at = bisect.bisect_right(self.shown_levels, (before, 1 << 62))
        return self.shown_levels[at - 1][1] if at else 0

    def raise_level(self, now: float, number: int) -> None:
        if number > self.level(now):
            self.shown_levels.append((now, number))

    def newest_acknowledged(self, before: float) -> int:
        """The highest number that was acknowledged until then."""
        at = bisect.bisect_right(self.acknowledged_levels, (before, 1 << 62))
        return self.acknowledged_levels[at - 1][1] if at else 0

    # ---- what is shown ----

    def show(self, now: float, where: str, configuration: Configuration) -> None:
        """It is read back, or in force at a gateway."""
        version = configuration.version
        known = self.bodies.get(version) == configuration.body
        self.check(known, now, f"CONFIG: {where} has a text of {version} that nobody sent")
        first = self.shown.setdefault(version.number, version)
        self.check(first == version, now, f"CONFIG: {where} shows another content of {version} than was shown before")
        told = any(claim.version == version for claim in self.conflicts)
        self.check(not told, now, f"CONFIG: {where} shows a content of {version} whose operator was told of a conflict")
        self.raise_level(now, version.number)

    def read(self, asked_at: float, now: float, where: str, configuration: Configuration) -> None:
        number, least = configuration.version.number, self.level(asked_at)
        self.check(number >= least, now, f"CONFIG: {where} reads back r{number}, r{least} was shown before")
        self.show(now, where, configuration)

    def read_nothing(self, asked_at: float, now: float, where: str) -> None:
        least = self.level(asked_at)
        self.check(least == 0, now, f"CONFIG: {where} says that there is no configuration, r{least} was shown before")

    def acknowledge(self, now: float, version: Version) -> None:
        told = any(claim.version == version for claim in self.conflicts)
        self.check(not told, now, f"CONFIG: {version} was rejected, then acknowledged")
        self.acknowledged.append(Claim(now, version))
        if version.number > self.newest_acknowledged(now):
            self.acknowledged_levels.append((now, version.number))
        self.raise_level(now, version.number)

    def conflict(self, now: float, version: Version, controller: str, chosen: RegisterValue | None) -> None:
        """An operator was told that another content is in force under its number. chosen: known to that controller."""
        decided = chosen is not None and chosen.version.number >= version.number and chosen.version != version
        self.check(decided, now, f"CONFIG: {controller} tells of a conflict at {version}, and nothing else was decided")
        again = any(claim.version == version for claim in self.acknowledged)
        self.check(not again, now, f"CONFIG: {version} was acknowledged, then refused")
        self.check(
            self.shown.get(version.number) != version, now, f"CONFIG: {version} was shown, then refused as a conflict"
        )
        self.conflicts.append(Claim(now, version))

    # ---- white box ----

    def learn(self, now: float, where: str, accepted: Proposal) -> None:
        """A controller takes this for chosen: it has to fit between what was chosen before and after it."""
        place = bisect.bisect_left(self.chosen, accepted.ballot, key=ballot_of)
        if place < len(self.chosen) and self.chosen[place].ballot == accepted.ballot:
            same = self.chosen[place].value == accepted.value
            return self.check(same, now, f"CHOSEN: {where} has another value under ballot {accepted.ballot}")
        self.chosen.insert(place, accepted)
        for older, newer in zip(self.chosen[max(0, place - 1) :], self.chosen[place : place + 2], strict=False):
            if older is not newer:
                self.check(
                    follows(older.value, newer.value), now, f"CHOSEN: {where}: {told(older)}, then {told(newer)}"
                )

    # ---- at the end ----

    def audit(self, now: float) -> None:
        """What can be said only once all is known."""
        for claim in self.acknowledged:
            content = self.shown.get(claim.version.number, claim.version)
            self.check(
                content == claim.version or self.superseded(claim),
                now,
                f"CONFIG: {claim.version} was acknowledged, and another content was shown under its number",
            )
        for one in self.acknowledged:
            other = next((two for two in self.acknowledged if is_rival(one.version, two.version)), None)
            self.check(
                other is None or self.superseded(one) or self.superseded(other),
                now,
                f"CONFIG: two contents of {one.version} were acknowledged",
            )
        for claim in self.conflicts:
            rivals = [two for two in self.sent if is_rival(claim.version, two) and self.sent[two] <= claim.at]
            told = {claim.version for claim in self.conflicts}
            self.check(
                any(two not in told for two in rivals), now, f"CONFIG: every content of {claim.version} was refused"
            )

    def superseded(self, claim: Claim) -> bool:
        """A higher number may have been decided before this acknowledgement: then it says only that."""
        return any(
            version.number > claim.version.number and sent_at <= claim.at and self.level(1e18) >= version.number
            for version, sent_at in self.sent.items()
        )


def is_rival(one: Version, other: Version) -> bool:
    return one.number == other.number and one != other


def ballot_of(accepted: Proposal) -> Ballot:
    return accepted.ballot


def follows(older: RegisterValue, newer: RegisterValue) -> bool:
    """Whether one chosen value may come after another one, with others between them."""
    grown = newer.version.number > older.version.number or newer.version == older.version
    voters = newer.voters.number > older.voters.number or newer.voters == older.voters
    return grown and voters


def told(accepted: Proposal) -> str:
    value = accepted.value
    return f"{value.version} voters {value.voters.number} {value.voters.addresses()} by {accepted.ballot.counter}"
