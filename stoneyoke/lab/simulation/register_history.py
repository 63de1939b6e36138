"""The history of the configuration register, as operators and gateways saw it, and whether one register can have it.

One number means one content for ever. Nobody is shown an older state than anybody was shown before he asked: the
register is linearizable, and its number only rises.
"""

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue

Check = Callable[[bool, float, str], None]
END_S = 1e18  # later than any moment of a scenario
LARGEST_NUMBER = 1 << 62


class Claim(NamedTuple):
    """An answer that an operator got for a version, and when."""

    at: float
    version: Version


@dataclass
class RegisterHistory:
    """What was sent, shown, acknowledged and refused. Times are the loop's, in seconds.

    Attributes:
        check: Takes whether something holds, the time, and the violation if it does not.
        sent: When each version was first sent.
        bodies: The text of each version.
        shown_levels: Rising numbers that anybody was shown, with their times.
        acknowledged_levels: Rising numbers that were acknowledged, with their times.
        shown: The version that was read back or in force, by its number.
        acknowledged: The acknowledgements.
        conflicts: The refusals.
        chosen: What any controller took for chosen, by ballot. Operators do not see this.
    """

    check: Check
    sent: dict[Version, float] = field(default_factory=dict)
    bodies: dict[Version, bytes] = field(default_factory=dict)
    shown_levels: list[tuple[float, int]] = field(default_factory=list)
    acknowledged_levels: list[tuple[float, int]] = field(default_factory=list)
    shown: dict[int, Version] = field(default_factory=dict)
    acknowledged: list[Claim] = field(default_factory=list)
    conflicts: list[Claim] = field(default_factory=list)
    chosen: list[Proposal] = field(default_factory=list)

    def order(self, now: float, version: Version, body: bytes) -> None:
        """Records that an operator sends a version."""
        self.sent.setdefault(version, now)
        self.bodies[version] = body

    def level(self, before: float) -> int:
        """Returns the highest number that anybody was shown until then."""
        return highest_until(self.shown_levels, before)

    def raise_level(self, now: float, number: int) -> None:
        """Records that somebody was shown a number."""
        if number > self.level(now):
            self.shown_levels.append((now, number))

    def newest_acknowledged(self, before: float) -> int:
        """Returns the highest number that was acknowledged until then."""
        return highest_until(self.acknowledged_levels, before)

    def was_refused(self, version: Version) -> bool:
        """Returns whether a version was refused as a conflict."""
        return any(claim.version == version for claim in self.conflicts)

    # ---- what is shown ----

    def show(self, now: float, where: str, configuration: Configuration) -> None:
        """Records a configuration that is read back, or in force at a gateway."""
        version = configuration.version
        is_known = self.bodies.get(version) == configuration.body
        self.check(is_known, now, f"CONFIG: {where} has a text of {version} that nobody sent")
        first = self.shown.setdefault(version.number, version)
        violation = f"CONFIG: {where} shows another content of {version} than was shown before"
        self.check(first == version, now, violation)
        violation = f"CONFIG: {where} shows a content of {version} that was refused as a conflict"
        self.check(not self.was_refused(version), now, violation)
        self.raise_level(now, version.number)

    def read(self, asked_at: float, now: float, where: str, configuration: Configuration) -> None:
        """Records the answer to a read that was asked at a time."""
        number, least = configuration.version.number, self.level(asked_at)
        self.check(number >= least, now, f"CONFIG: {where} reads back r{number}, r{least} was shown before")
        self.show(now, where, configuration)

    def read_nothing(self, asked_at: float, now: float, where: str) -> None:
        """Records the answer that there is no configuration."""
        least = self.level(asked_at)
        violation = f"CONFIG: {where} says that there is no configuration, r{least} was shown before"
        self.check(least == 0, now, violation)

    def acknowledge(self, now: float, version: Version) -> None:
        """Records an acknowledgement."""
        self.check(not self.was_refused(version), now, f"CONFIG: {version} was rejected, then acknowledged")
        self.acknowledged.append(Claim(now, version))
        if version.number > self.newest_acknowledged(now):
            self.acknowledged_levels.append((now, version.number))
        self.raise_level(now, version.number)

    def conflict(self, now: float, version: Version, controller: str, chosen: RegisterValue | None) -> None:
        """Records that a version was refused because another content has its number.

        Args:
            now: The time.
            version: What the operator sent.
            controller: The controller that refused.
            chosen: What that controller knows to be chosen.
        """
        is_decided = chosen is not None and chosen.version.number >= version.number and chosen.version != version
        violation = f"CONFIG: {controller} reports a conflict at {version}, and nothing else was decided"
        self.check(is_decided, now, violation)
        was_acknowledged = any(claim.version == version for claim in self.acknowledged)
        self.check(not was_acknowledged, now, f"CONFIG: {version} was acknowledged, then refused")
        was_shown = self.shown.get(version.number) == version
        self.check(not was_shown, now, f"CONFIG: {version} was shown, then refused as a conflict")
        self.conflicts.append(Claim(now, version))

    # ---- what controllers take for chosen ----

    def learn(self, now: float, where: str, proposal: Proposal) -> None:
        """Records a proposal that a controller takes for chosen: it must fit between those before and after it."""
        place = bisect.bisect_left(self.chosen, proposal.ballot, key=ballot_of)
        if place < len(self.chosen) and self.chosen[place].ballot == proposal.ballot:
            is_same = self.chosen[place].value == proposal.value
            self.check(is_same, now, f"CHOSEN: {where} has another value under ballot {proposal.ballot}")
            return
        self.chosen.insert(place, proposal)
        neighbours = self.chosen[max(0, place - 1) : place + 2]
        for older, newer in zip(neighbours, neighbours[1:], strict=False):
            violation = f"CHOSEN: {where}: {describe(older)}, then {describe(newer)}"
            self.check(may_follow(older.value, newer.value), now, violation)

    # ---- at the end ----

    def audit(self, now: float) -> None:
        """Checks what can be decided only at the end."""
        for claim in self.acknowledged:
            content = self.shown.get(claim.version.number, claim.version)
            holds = content == claim.version or self.is_superseded(claim)
            violation = f"CONFIG: {claim.version} was acknowledged, and another content was shown under its number"
            self.check(holds, now, violation)
        for claim in self.acknowledged:
            rival = next((other for other in self.acknowledged if is_rival(claim.version, other.version)), None)
            holds = rival is None or self.is_superseded(claim) or self.is_superseded(rival)
            self.check(holds, now, f"CONFIG: two contents of {claim.version} were acknowledged")
        refused = {claim.version for claim in self.conflicts}
        for claim in self.conflicts:
            rivals = [other for other in self.sent if is_rival(claim.version, other) and self.sent[other] <= claim.at]
            holds = any(rival not in refused for rival in rivals)
            self.check(holds, now, f"CONFIG: every content of {claim.version} was refused")

    def is_superseded(self, claim: Claim) -> bool:
        """Returns whether a higher number may have been decided before an acknowledgement: then it says only that."""
        return any(
            version.number > claim.version.number and sent_at <= claim.at and self.level(END_S) >= version.number
            for version, sent_at in self.sent.items()
        )


def highest_until(levels: list[tuple[float, int]], before: float) -> int:
    """Returns the last of rising numbers with their times until a time; 0 if there is none."""
    place = bisect.bisect_right(levels, (before, LARGEST_NUMBER))
    return levels[place - 1][1] if place else 0


def is_rival(one: Version, other: Version) -> bool:
    """Returns whether two versions are different contents under one number."""
    return one.number == other.number and one != other


def ballot_of(proposal: Proposal) -> Ballot:
    """Returns the ballot of a proposal, as a sort key."""
    return proposal.ballot


def may_follow(older: RegisterValue, newer: RegisterValue) -> bool:
    """Returns whether one chosen value may come after another one, with others between them."""
    version_rises = newer.version.number > older.version.number or newer.version == older.version
    voters_rise = newer.voters.number > older.voters.number or newer.voters == older.voters
    return version_rises and voters_rise


def describe(proposal: Proposal) -> str:
    """Returns a proposal as violations show it."""
    value = proposal.value
    return f"{value.version} voters {value.voters.number} {value.voters.addresses()} by {proposal.ballot.counter}"
