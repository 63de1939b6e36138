"""The fleet logic of one gateway: takes datagrams and observations, returns datagrams and advice. No I/O."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.fleet.datagram_codec import HEADER_BYTES, MAX_DATAGRAM_BYTES, DatagramCodec
from stoneyoke.fleet.errors import DatagramRefused
from stoneyoke.fleet.evidence import Evidence
from stoneyoke.fleet.member_table import max_encoded_bytes
from stoneyoke.fleet.membership import Membership
from stoneyoke.fleet.messages import Address, BackendReport, Member, Message, MessageKind
from stoneyoke.fleet.outbox import OutgoingMessage

SECOND_US = 1_000_000
TICK_INTERVAL_US = 100_000  # between calls of tick()
EJECTION_UPDATE_INTERVAL_US = 500_000
SWEEP_INTERVAL_US = 10 * SECOND_US
SUPERSEDED_NOTICE_INTERVAL_US = SECOND_US
QUERIES_PER_S = 5  # members asked for reports while there is a candidate for ejection, in addition to the probes
QUERY_INTERVAL_US = SECOND_US // QUERIES_PER_S
MAX_PENDING_QUERIES = 10 * QUERIES_PER_S
MESSAGE_OVERHEAD_BYTES = 120  # of a message without its sender, members and reports
MIN_REPORT_BYTES = 20
REQUEST_NUMBER_BITS = 60  # random numbers, so that a member can't respond to a query that it did not receive
NO_ADVICE = PeerEvidence(frozenset(), frozenset())


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """The settings of an agent."""

    own: Member  # this gateway's record
    seeds: list[Address]  # gateways to join through
    keys: list[bytes]  # see DatagramCodec
    overdue_after_us: int  # an attempt without a response for this long counts as failed
    seed: int  # of the random choices


class FleetAgent:
    """Combines membership and evidence, and encodes their messages as datagrams.

    Times are Unix time in microseconds and never step back.
    """

    def __init__(self, settings: FleetSettings, now_us: int, count: Callable[[str], None] = lambda _: None) -> None:
        """Starts without other members.

        Args:
            settings: This gateway's record, seeds and keys.
            now_us: Current time.
            count: Increments the counter of this name.
        """
        own = settings.own
        self._random_source = random.Random(settings.seed)
        self._count = count
        self.codec = DatagramCodec(settings.keys)
        self.membership = Membership(own, settings.seeds, self._random_source, now_us, count)
        self.evidence = Evidence(own.name, settings.overdue_after_us, now_us)
        self.advice = NO_ADVICE
        self._sequence = 0
        self._ejections_updated_at_us = self._swept_at_us = now_us
        self._query_order: list[str] = []  # members in random order, taken from the end; each once a round
        self._pending_queries: dict[int, str] = {}  # by request number: the member asked; bounded by tick()
        self._queried_at_us = now_us
        self._notified_at_us: dict[str, int] = {}  # by gateway name: when its superseded process was last notified

    @property
    def own(self) -> Member:
        """This gateway's own record."""
        return self.membership.table.own

    # ---- input ----

    def receive(self, data: bytes, now_us: int) -> list[tuple[Address, bytes]]:
        """Handles a datagram. A refused datagram is counted under the reason of the refusal.

        Returns:
            The datagrams to send, each with its destination.
        """
        try:
            message = self.codec.decode(data, now_us)
        except DatagramRefused as refused:
            self._count(f"fleet: datagrams {refused}")
            if refused.superseded:
                return self._notify_superseded(refused.superseded.sender, now_us)
            return []
        self._count("fleet: datagrams")
        is_probe_response = self.membership.detector.is_direct_ack(message)
        self.membership.receive(message, now_us)
        if message.sender.name == self.own.name:
            return self._send(now_us)
        self._receive_reports(message, is_probe_response, now_us)
        return self._send(now_us, message.reports)

    def _receive_reports(self, message: Message, is_probe_response: bool, now_us: int) -> None:
        """Records reports: as responses those that this gateway asked for, as unsolicited all others."""
        sender = message.sender.name
        if is_probe_response or self._is_query_response(message):
            self.evidence.receive_response(sender, message.reports, now_us)
        else:
            self.evidence.receive_unsolicited(sender, message.reports, now_us)

    def _is_query_response(self, message: Message) -> bool:
        if message.kind != MessageKind.ANSWER:
            return False
        return self._pending_queries.pop(message.number, "") == message.sender.name

    def _notify_superseded(self, earlier: Member, now_us: int) -> list[tuple[Address, bytes]]:
        """Notifies an earlier process, at most once a second, that a later one has superseded its name."""
        peer = self.membership.table.peers.get(earlier.name)
        last_us = self._notified_at_us.get(earlier.name, -SUPERSEDED_NOTICE_INTERVAL_US)
        if peer is None or now_us - last_us < SUPERSEDED_NOTICE_INTERVAL_US:
            return []
        self._notified_at_us[earlier.name] = now_us
        notice = OutgoingMessage(to=earlier.address, kind=MessageKind.ACK, members=(peer.record,))
        self.membership.outbox.add(notice)
        return self._send(now_us)

    def set_backends(self, backends: Iterable[KnownBackend]) -> None:
        """Replaces the backends that are observed."""
        self.evidence.set_backends(backends)

    def reload(self, seeds: list[Address], keys: list[bytes]) -> None:
        """Replaces seeds and keys. The member table stays as it is.

        Raises:
            UnusableKeys: The number or the length of the keys is out of bounds.
        """
        self.codec.set_keys(keys)
        self.membership.anti_entropy.set_seeds(seeds)

    def leave(self, now_us: int) -> list[tuple[Address, bytes]]:
        """Leaves the fleet.

        Returns:
            The datagrams that notify other members of it.
        """
        self.membership.leave()
        return self._send(now_us)

    # ---- timers ----

    def tick(self, now_us: int) -> list[tuple[Address, bytes]]:
        """Runs all timers and updates `advice`. To be called every TICK_INTERVAL_US.

        Returns:
            The datagrams to send, each with its destination.
        """
        membership = self.membership
        members = membership.table.size
        membership.tick(now_us)
        self.evidence.check_overdue(now_us)
        if now_us - self._ejections_updated_at_us >= EJECTION_UPDATE_INTERVAL_US:
            self._ejections_updated_at_us = now_us
            self.evidence.update_ejections(now_us, members() - 1)
        self.advice = self.evidence.advice(now_us, members()) if membership.active else NO_ADVICE
        self._query(now_us)
        if now_us - self._swept_at_us >= SWEEP_INTERVAL_US:
            self._sweep(now_us)
        return self._send(now_us)

    def _sweep(self, now_us: int) -> None:
        """Removes expired state, so that no collection grows without bound."""
        self._swept_at_us = now_us
        self.codec.remove_silent_senders(now_us)
        self._pending_queries = dict(list(self._pending_queries.items())[-MAX_PENDING_QUERIES:])
        self._notified_at_us = {
            name: at_us
            for name, at_us in self._notified_at_us.items()
            if now_us - at_us < SUPERSEDED_NOTICE_INTERVAL_US
        }

    def _query(self, now_us: int) -> None:
        """Asks members for reports while a backend is a candidate, is ejected, or has just failed at this gateway.

        The members are chosen at random, so that a member can't have more weight by sending more messages.
        """
        evidence = self.evidence
        if not (evidence.recent_failure or evidence.candidates or evidence.ejections):
            self._queried_at_us = now_us
        if now_us - self._queried_at_us < QUERY_INTERVAL_US:
            return
        self._queried_at_us = max(self._queried_at_us + QUERY_INTERVAL_US, now_us - TICK_INTERVAL_US)
        while self._query_order:
            peer = self.membership.table.present_peer(self._query_order.pop())
            if peer:
                number = self._random_source.getrandbits(REQUEST_NUMBER_BITS)
                self._pending_queries[number] = peer.record.name
                query = OutgoingMessage(to=peer.record.address, kind=MessageKind.QUERY, number=number)
                self.membership.outbox.add(query)
                return
        self._query_order = [member.name for member in self.membership.table.present()]
        self._random_source.shuffle(self._query_order)

    # ---- output ----

    def _send(self, now_us: int, requested: Iterable[BackendReport] = ()) -> list[tuple[Address, bytes]]:
        messages = self.membership.outbox.take()
        if self.membership.superseded_by:
            return []
        return [(message.to, self._encode(message, now_us, requested)) for message in messages]

    def _encode(self, outgoing: OutgoingMessage, now_us: int, requested: Iterable[BackendReport]) -> bytes:
        """Encodes a message with as much gossip and as many reports as fit.

        Pulls and pages carry neither. Queries and their responses carry no gossip, because there are many of them.
        """
        self._sequence += 1
        kind = outgoing.kind
        members = list(outgoing.members)
        if kind not in (MessageKind.PULL, MessageKind.PAGE, MessageKind.QUERY, MessageKind.ANSWER):
            gossip = self.membership.gossip.select(outgoing.to)
            members += [member for member in gossip if member not in members]
        reports: list[BackendReport] = []
        if kind not in (MessageKind.PULL, MessageKind.PAGE):
            is_response = kind in (MessageKind.ACK, MessageKind.ANSWER)
            reports = self.evidence.reports(now_us, requested if is_response else ())[: self._report_capacity(members)]
        return self.codec.encode(
            Message(
                sender=self.own,
                sequence=self._sequence,
                sent_at_us=now_us,
                kind=kind,
                number=outgoing.number,
                subject=outgoing.subject,
                membership_digest=self.membership.table.digest,
                members=members,
                reports=reports,
                bucket_digests=list(outgoing.bucket_digests),
            )
        )

    def _report_capacity(self, members: list[Member]) -> int:
        """Returns how many reports fit into a message with these members."""
        members_bytes = max_encoded_bytes(self.own) + sum(max_encoded_bytes(member) for member in members)
        bytes_left = MAX_DATAGRAM_BYTES - HEADER_BYTES - MESSAGE_OVERHEAD_BYTES - members_bytes
        return max(0, bytes_left // MIN_REPORT_BYTES)

    def take_changes(self) -> list[Member]:
        """Returns the members whose state has changed since the last call."""
        return self.membership.table.take_changes()
