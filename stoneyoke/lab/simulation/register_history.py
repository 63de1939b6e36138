"""The history of the configuration register, as operators and gateways saw it, and checks that it is linearizable.

A number permanently identifies one content. A read never returns an older number than any that was returned or in force
before the read began.
"""

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from stoneyoke.api.configuration import Configuration, Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue

Check = Callable[[bool, float, str], None]
END_S = 1e18  # later than any time of a scenario
LARGEST_NUMBER = 1 << 62


class OperatorResponse(NamedTuple):
    """A response that an operator received for a version, and when."""

    at: float
    version: Version


@dataclass
class RegisterHistory:
    """The versions that were sent, shown, acknowledged and rejected. Times are in seconds of the event loop.

    A version is shown when an operator reads it or when it is in force at a gateway.

    Attributes:
        check: Called with a condition, the time, and the violation to report if the condition is false.
        sent: When each version was first sent.
        bodies: The text of each version.
        shown_levels: Times and numbers at which the highest number that was shown or acknowledged rose.
        acknowledged_levels: Times and numbers at which the highest number that was acknowledged rose.
        shown: The version that was shown first, by its number.
        acknowledged: The acknowledgements.
        conflicts: The rejections as a conflict.
        chosen: The proposals that any controller considers chosen, sorted by ballot. Operators do not see this.
    """

    check: Check
    sent: dict[Version, float] = field(default_factory=dict)
    bodies: dict[Version, bytes] = field(default_factory=dict)
    shown_levels: list[tuple[float, int]] = field(default_factory=list)
    acknowledged_levels: list[tuple[float, int]] = field(default_factory=list)
    shown: dict[int, Version] = field(default_factory=dict)
    acknowledged: list[OperatorResponse] = field(default_factory=list)
    conflicts: list[OperatorResponse] = field(default_factory=list)
    chosen: list[Proposal] = field(default_factory=list)

    def order(self, now: float, version: Version, body: bytes) -> None:
        """Records that an operator sends a version."""
        self.sent.setdefault(version, now)
        self.bodies[version] = body

    def level(self, before: float) -> int:
        """Returns the highest number that was shown or acknowledged until a time."""
        return highest_until(self.shown_levels, before)

    def raise_level(self, now: float, number: int) -> None:
        """Records that a number was shown or acknowledged."""
        if number > self.level(now):
            self.shown_levels.append((now, number))

    def newest_acknowledged(self, before: float) -> int:
        """Returns the highest number that was acknowledged until a time."""
        return highest_until(self.acknowledged_levels, before)

    def was_rejected(self, version: Version) -> bool:
        """Returns whether a version was rejected as a conflict."""
        return any(response.version == version for response in self.conflicts)

    # ---- what operators and gateways see ----

    def show(self, now: float, where: str, configuration: Configuration) -> None:
        """Records a configuration that an operator reads, or that is in force at a gateway."""
        version = configuration.version
        is_known = self.bodies.get(version) == configuration.body
        self.check(is_known, now, f"CONFIG: {where} has a text of {version} that no operator sent")
        first = self.shown.setdefault(version.number, version)
        violation = f"CONFIG: {where} shows a different content of {version} than was shown before"
        self.check(first == version, now, violation)
        violation = f"CONFIG: {where} shows a content of {version} that was rejected as a conflict"
        self.check(not self.was_rejected(version), now, violation)
        self.raise_level(now, version.number)

    def read(self, asked_at: float, now: float, where: str, configuration: Configuration) -> None:
        """Records the response to a read that was sent at a time."""
        number, least = configuration.version.number, self.level(asked_at)
        self.check(
            number >= least,
            now,
            f"CONFIG: a read from {where} returns r{number}, though r{least} was shown before",
        )
        self.show(now, where, configuration)

    def read_nothing(self, asked_at: float, now: float, where: str) -> None:
        """Records the response that there is no configuration."""
        least = self.level(asked_at)
        violation = f"CONFIG: {where} reports no configuration, though r{least} was shown before"
        self.check(least == 0, now, violation)

    def acknowledge(self, now: float, version: Version) -> None:
        """Records an acknowledgement."""
        self.check(not self.was_rejected(version), now, f"CONFIG: {version} was rejected, then acknowledged")
        self.acknowledged.append(OperatorResponse(now, version))
        if version.number > self.newest_acknowledged(now):
            self.acknowledged_levels.append((now, version.number))
        self.raise_level(now, version.number)

    def conflict(self, now: float, version: Version, controller: str, chosen: RegisterValue | None) -> None:
        """Records that a version was rejected because another content has its number.

        Args:
            now: The time.
            version: The version that the operator sent.
            controller: The controller that rejected it.
            chosen: The value that this controller knows to be chosen; None if it knows none or has ended.
        """
        is_decided = chosen is not None and chosen.version.number >= version.number and chosen.version != version
        violation = f"CONFIG: {controller} reports a conflict at {version}, but knows no conflicting chosen version"
        self.check(is_decided, now, violation)
        was_acknowledged = any(response.version == version for response in self.acknowledged)
        self.check(not was_acknowledged, now, f"CONFIG: {version} was acknowledged, then rejected as a conflict")
        was_shown = self.shown.get(version.number) == version
        self.check(not was_shown, now, f"CONFIG: {version} was shown, then rejected as a conflict")
        self.conflicts.append(OperatorResponse(now, version))

    # ---- what controllers consider chosen ----

    def learn(self, now: float, where: str, proposal: Proposal) -> None:
        """Records a proposal that a controller considers chosen. It must fit the next lower and next higher ballots."""
        index = bisect.bisect_left(self.chosen, proposal.ballot, key=ballot_of)
        if index < len(self.chosen) and self.chosen[index].ballot == proposal.ballot:
            is_same = self.chosen[index].value == proposal.value
            self.check(is_same, now, f"CHOSEN: {where} has another value under ballot {proposal.ballot}")
            return
        self.chosen.insert(index, proposal)
        neighbours = self.chosen[max(0, index - 1) : index + 2]
        for older, newer in zip(neighbours, neighbours[1:], strict=False):
            violation = f"CHOSEN: {where}: {describe(older)}, then {describe(newer)}"
            self.check(may_follow(older.value, newer.value), now, violation)

    # ---- at the end ----

    def audit(self, now: float) -> None:
        """Checks conditions that can be decided only when the whole history is known."""
        for response in self.acknowledged:
            content = self.shown.get(response.version.number, response.version)
            holds = content == response.version or self.is_superseded(response)
            violation = (
                f"CONFIG: {response.version} was acknowledged, but a different content was shown under its number"
            )
            self.check(holds, now, violation)
        for response in self.acknowledged:
            conflicting = next(
                (other for other in self.acknowledged if is_conflicting(response.version, other.version)), None
            )
            holds = conflicting is None or self.is_superseded(response) or self.is_superseded(conflicting)
            self.check(holds, now, f"CONFIG: two contents of {response.version} were acknowledged")
        refused = {response.version for response in self.conflicts}
        for response in self.conflicts:
            others = [
                other
                for other in self.sent
                if is_conflicting(response.version, other) and self.sent[other] <= response.at
            ]
            holds = any(version not in refused for version in others)
            self.check(holds, now, f"CONFIG: every content of {response.version} was rejected")

    def is_superseded(self, response: OperatorResponse) -> bool:
        """Returns whether a higher number may have been chosen first: the acknowledgement then confirms no content."""
        return any(
            version.number > response.version.number and sent_at <= response.at and self.level(END_S) >= version.number
            for version, sent_at in self.sent.items()
        )


def highest_until(levels: list[tuple[float, int]], before: float) -> int:
    """Returns the last of the rising numbers whose time is not after `before`; 0 if there is none."""
    index = bisect.bisect_right(levels, (before, LARGEST_NUMBER))
    return levels[index - 1][1] if index else 0


def is_conflicting(one: Version, other: Version) -> bool:
    """Returns whether two versions are different contents under one number."""
    return one.number == other.number and one != other


def ballot_of(proposal: Proposal) -> Ballot:
    """Returns the ballot of a proposal, as a sort key."""
    return proposal.ballot


def may_follow(older: RegisterValue, newer: RegisterValue) -> bool:
    """Returns whether a chosen value may follow another one, directly or with others in between."""
    version_rises = newer.version.number > older.version.number or newer.version == older.version
    voters_rise = newer.voters.number > older.voters.number or newer.voters == older.voters
    return version_rises and voters_rise


def describe(proposal: Proposal) -> str:
    """Returns a proposal as violations show it."""
    value = proposal.value
    return f"{value.version} voters {value.voters.number} {value.voters.addresses()} by {proposal.ballot.counter}"
