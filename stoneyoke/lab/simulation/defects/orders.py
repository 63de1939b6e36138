"""Defects in the responses to configuration changes and reads of operators."""

from dataclasses import replace
from http import HTTPStatus
from typing import Any

from stoneyoke.api.calls import Acknowledged, ApiResult, Rejected
from stoneyoke.api.configuration import Configuration
from stoneyoke.consensus.majority_read import MajorityRead
from stoneyoke.consensus.proposal_round import Phase
from stoneyoke.consensus.proposer import Proposer
from stoneyoke.consensus.reader import Reader
from stoneyoke.consensus.register_value import Proposal, RegisterValue
from stoneyoke.controlplane import configuration_service
from stoneyoke.lab.simulation.defects.patches import Patch


def equal_numbers_overwritten() -> list[Patch]:
    """If two contents have the same number, the later one replaces the first."""

    def apply_replacements(orders: tuple[Configuration, ...], found: RegisterValue) -> RegisterValue:
        newer = [one for one in orders if one.version.number >= found.version.number]
        if not newer:
            return found
        first = max(newer, key=lambda one: one.version.number)
        return replace(found, version=first.version, body=first.body)

    return [Patch(configuration_service, "apply_replacements", apply_replacements)]


def conflict_for_older() -> list[Patch]:
    """A configuration with a lower number than the chosen one is rejected."""

    def outcome_of(order: Configuration, chosen: RegisterValue) -> ApiResult | None:
        if chosen.version.number > order.version.number:
            return Rejected(HTTPStatus.CONFLICT, "generation", "older")
        return real(order, chosen)

    real = configuration_service.outcome_of
    return [Patch(configuration_service, "outcome_of", outcome_of)]


def conflict_acknowledged() -> list[Patch]:
    """A different content under a number that is already chosen is acknowledged."""

    def outcome_of(order: Configuration, chosen: RegisterValue) -> ApiResult | None:
        return Acknowledged() if chosen.version.number >= order.version.number else None

    return [Patch(configuration_service, "outcome_of", outcome_of)]


def query_without_agreement() -> list[Patch]:
    """A read returns the newest value in a majority of responses, though only one member may have it."""

    def chosen_proposal(self: MajorityRead) -> Proposal | None:
        return self.newest_found() if self.has_quorum() else None

    return [Patch(MajorityRead, "chosen_proposal", chosen_proposal)]


def query_incomplete() -> list[Patch]:
    """A read queries no majority and returns the newest value that this process knows."""
    return [
        Patch(MajorityRead, "has_quorum", lambda self: True),
        Patch(MajorityRead, "chosen_proposal", lambda self: self.newest_found()),
    ]


def highest_digest_wins() -> list[Patch]:
    """Of two contents under one number, that with the greater digest replaces the other; both are acknowledged."""

    def apply_replacements(orders: Any, found: Any) -> Any:
        highest = max(orders, key=lambda one: one.version)
        return replace(found, version=highest.version, body=highest.body) if highest.version > found.version else found

    def outcome_of(order: Any, chosen: Any) -> Any:
        return Acknowledged() if chosen.version >= order.version else None

    return [
        Patch(configuration_service, "apply_replacements", apply_replacements),
        Patch(configuration_service, "outcome_of", outcome_of),
    ]


def read_without_majority() -> list[Patch]:
    """A controller responds to a read with the value that it knows itself."""

    async def read(self: Any, timeout_s: float) -> Any:
        return self.replica.chosen

    return [Patch(Reader, "read", read)]


def repeated_order_refused() -> list[Patch]:
    """A configuration below the chosen number is rejected, even if it is a retry of an acknowledged one."""
    real = configuration_service.outcome_of

    def outcome_of(order: Any, chosen: Any) -> Any:
        outcome = real(order, chosen)
        if chosen.version.number > order.version.number:
            return Rejected(HTTPStatus.CONFLICT, "generation", "older than what is in force")
        return outcome

    return [Patch(configuration_service, "outcome_of", outcome_of)]


def acknowledged_once_accepted() -> list[Patch]:
    """A configuration change is acknowledged once the controller that received it has accepted it."""
    real = Proposer.send_accept

    async def send_accept(self: Proposer, current: Any, address: str) -> None:
        await real(self, current, address)
        if address == self.peers.own_address and current.phase is Phase.ACCEPT:
            current.phase = Phase.CHOSEN

    return [Patch(Proposer, "send_accept", send_accept)]
