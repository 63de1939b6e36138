"""Membership of the fleet: combines member table, failure detector, gossip and anti-entropy. No I/O.

All times are microseconds and are passed in.
"""

import random
from collections.abc import Callable

import msgspec

from stoneyoke.fleet.anti_entropy import AntiEntropy
from stoneyoke.fleet.failure_detector import HELPER_COUNT, SECOND_US, FailureDetector, suspicion_notice
from stoneyoke.fleet.gossip import GossipQueue
from stoneyoke.fleet.member_table import MemberTable, MergeOutcome
from stoneyoke.fleet.messages import Address, Member, MemberState, Message, MessageKind
from stoneyoke.fleet.outbox import Outbox, OutgoingMessage

SWEEP_INTERVAL_US = SECOND_US // 2
LEAVE_NOTICE_COUNT = 2 * HELPER_COUNT  # members that a leaving gateway notifies directly


class Membership:
    """This gateway's view of the fleet.

    It is active until `leave` is called, or until it learns of a gateway of the same name that started later. That
    gateway's record is then in `superseded_by`, and nothing is sent or merged any more.
    """

    def __init__(
        self,
        own: Member,
        seeds: list[Address],
        random_source: random.Random,
        now_us: int,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Starts with this gateway as the only member.

        Args:
            own: This gateway's own record.
            seeds: Addresses to join through.
            random_source: Source of all random choices.
            now_us: Current time.
            count: Increments the counter of this name.
        """
        self._random_source = random_source
        self._count = count
        self.outbox = Outbox()
        self.table = MemberTable(own)
        self.gossip = GossipQueue(self.table)
        self.detector = FailureDetector(self.table, self.gossip, self.outbox, random_source, now_us)
        self.anti_entropy = AntiEntropy(self.table, self.outbox, seeds, random_source, now_us)
        self._last_sweep_us = now_us
        self.superseded_by: Member | None = None
        self.leaving = False

    @property
    def active(self) -> bool:
        """Whether this gateway is active: it is not leaving, and no later gateway has superseded it."""
        return not (self.superseded_by or self.leaving)

    def tick(self, now_us: int) -> None:
        """Runs all timers. To be called several times a second."""
        self.detector.check_stall(now_us)
        if not self.active:
            return
        self.detector.advance_probe(now_us)
        if now_us - self._last_sweep_us >= SWEEP_INTERVAL_US:
            self._last_sweep_us = now_us
            self.detector.sweep(now_us)
            self.anti_entropy.tick(now_us)

    def receive(self, message: Message, now_us: int) -> None:
        """Handles a message. The codec has verified that it is authentic, current and not a replay."""
        sender = message.sender
        if sender.name == self.table.own.name:
            self._handle_own_name(sender)
            return
        if not self.active:
            return
        self.merge(sender, now_us)
        for member in message.members:
            self.merge(member, now_us, spread=message.kind != MessageKind.PAGE)
        self._handle(message, now_us)

    def _handle(self, message: Message, now_us: int) -> None:
        match message.kind:
            case MessageKind.PING:
                self._acknowledge(message)
                self.anti_entropy.compare_digests(message, now_us)
            case MessageKind.ACK:
                self.detector.receive_ack(message)
                self.anti_entropy.compare_digests(message, now_us)
            case MessageKind.PING_REQUEST:
                self.detector.receive_ping_request(message, now_us)
            case MessageKind.NACK:
                self.detector.receive_nack(message)
            case MessageKind.PULL:
                self.anti_entropy.receive_pull(message)
            case MessageKind.PAGE:
                self.anti_entropy.receive_page(message)
            case MessageKind.QUERY:
                answer = OutgoingMessage(to=message.sender.address, kind=MessageKind.ANSWER, number=message.number)
                self.outbox.add(answer)
            case _:  # an ANSWER, whose reports the agent records, or a kind of a later version
                pass

    def _acknowledge(self, message: Message) -> None:
        peer = self.table.peers.get(message.sender.name)
        notice = suspicion_notice(peer) if peer else ()
        self.outbox.add(
            OutgoingMessage(to=message.sender.address, kind=MessageKind.ACK, number=message.number, members=notice)
        )

    def merge(self, record: Member, now_us: int, spread: bool = True) -> None:
        """Merges a record of any member.

        Args:
            record: The record, from the member itself or from another one.
            now_us: Current time.
            spread: Whether the change is gossiped; suspicions, deaths and departures always are.
        """
        if record.name == self.table.own.name:
            self._handle_own_name(record)
            return
        outcome = self.table.merge(record, now_us)
        if outcome == MergeOutcome.TABLE_FULL:
            self._count("fleet: too many members")
        elif outcome == MergeOutcome.ADDED:
            self.detector.add_member(record.name)
            if spread:
                self.gossip.add(record.name)
        elif outcome == MergeOutcome.UPDATED:
            if spread or record.state != MemberState.ALIVE:
                self.gossip.add(record.name)
        elif outcome == MergeOutcome.CONFIRMED:
            self.gossip.add(record.name)

    def _handle_own_name(self, record: Member) -> None:
        """Handles a record that has this gateway's name, from another member or from a gateway of the same name."""
        own = self.table.own
        if self.superseded_by or record.started_at_ms < own.started_at_ms:
            return
        same_address = record.address == own.address
        later_start = record.started_at_ms > own.started_at_ms
        if later_start and same_address:
            # The record is of an earlier process of this gateway, whose clock was ahead. To override that record, this
            # process needs a later start.
            self._set_own(msgspec.structs.replace(own, started_at_ms=record.started_at_ms + 1, incarnation=0))
        elif later_start or record.address > own.address:
            self._mark_superseded(record)
        elif same_address and record.state != MemberState.ALIVE:
            self._refute(record)

    def _set_own(self, record: Member) -> None:
        self.table.set_own(record)
        self.gossip.add(record.name)

    def _mark_superseded(self, later: Member) -> None:
        """Gives the name up to the gateway that started later, or at the same time with the higher address."""
        self.superseded_by = later
        self.table.clear_peers()
        self.gossip.clear()

    def _refute(self, record: Member) -> None:
        """Overrides a suspicion or death of this gateway with a higher incarnation, unless it is leaving."""
        own = self.table.own
        if self.leaving or record.incarnation < own.incarnation:
            return
        self._set_own(msgspec.structs.replace(own, incarnation=record.incarnation + 1))
        self.detector.record_refutation()

    def leave(self) -> None:
        """Notifies some members that this gateway leaves; they gossip it."""
        self.table.set_own(msgspec.structs.replace(self.table.own, state=MemberState.LEFT))
        self.leaving = True
        present = self.table.present()
        for member in self._random_source.sample(present, min(LEAVE_NOTICE_COUNT, len(present))):
            self.outbox.add(OutgoingMessage(to=member.address, kind=MessageKind.PING, members=(self.table.own,)))
