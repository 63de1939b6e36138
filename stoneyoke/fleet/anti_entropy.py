"""Anti-entropy between member tables: joining through seeds, pulls, reconnecting after a network partition. No I/O.

Gossip can miss a receiver. Each message therefore carries a digest of the present members. If the digests of two
gateways differ for long, one of them pulls the members of the buckets that differ, a page at a time. Times are
microseconds.
"""

import random

from stoneyoke.fleet.member_table import MemberTable, bucket_of, max_encoded_bytes
from stoneyoke.fleet.messages import BUCKET_COUNT, Address, Member, MemberState, Message, MessageKind
from stoneyoke.fleet.outbox import Outbox, OutgoingMessage

SECOND_US = 1_000_000
JOIN_INTERVAL_US = SECOND_US  # between pulls from seeds, while this gateway has not joined or is alone
PULL_INTERVAL_US = SECOND_US
# One dead member or unknown seed is pinged at this interval, because a network partition may have healed.
RECONNECT_INTERVAL_US = 5 * SECOND_US
# Consecutive pings and acknowledgements with a different digest before a pull. With fewer, gateways would pull changes
# that gossip is about to bring.
DIFFERENCES_BEFORE_PULL = 6
MAX_PAGES = 64  # of one pull: enough for more members than a member table can hold
MAX_PAGE_BYTES = 900
NO_DIGEST = -1  # differs from every digest, so that all members are sent


class AntiEntropy:
    """Brings this gateway's member table into agreement with those of the other members."""

    def __init__(
        self, table: MemberTable, outbox: Outbox, seeds: list[Address], random_source: random.Random, now_us: int
    ) -> None:
        """Starts as not joined, unless there are no seeds.

        Args:
            table: The members, which this class only reads.
            outbox: Collects the messages to send.
            seeds: Addresses to join through.
            random_source: Chooses the seed or the dead member to contact.
            now_us: Current time.
        """
        self._table = table
        self._outbox = outbox
        self._random_source = random_source
        self.set_seeds(seeds)
        self._joined = not self._seeds
        self._differences = 0  # number of consecutive messages whose digest differs
        self._last_pull_us = now_us - PULL_INTERVAL_US
        self._last_reconnect_us = now_us

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replaces the seeds. This gateway's own address is ignored."""
        self._seeds = [seed for seed in seeds if seed != self._table.own.address]

    def tick(self, now_us: int) -> None:
        """Joins through a seed while it has not joined or is alone, and periodically contacts a dead member or seed."""
        alone = not self._table.present_count
        must_join = alone or not self._joined
        if must_join and self._seeds and now_us - self._last_pull_us >= JOIN_INTERVAL_US:
            self._last_pull_us = now_us
            self._pull(self._random_source.choice(self._seeds))
        if now_us - self._last_reconnect_us >= RECONNECT_INTERVAL_US:
            self._last_reconnect_us = now_us
            self._contact_absent()

    def _contact_absent(self) -> None:
        """Pings one seed that is not a member, or one dead member, which learns of its death and can refute it."""
        dead = [peer.record for peer in self._table.peers.values() if peer.record.state == MemberState.DEAD]
        known = {member.address for member in (*self._table.present(), *dead)}
        absent: list[tuple[Address, tuple[Member, ...]]] = [(member.address, (member,)) for member in dead]
        absent += [(seed, ()) for seed in self._seeds if seed not in known]
        if absent:
            address, members = self._random_source.choice(absent)
            self._outbox.add(OutgoingMessage(to=address, kind=MessageKind.PING, members=members))

    def compare_digests(self, message: Message, now_us: int) -> None:
        """Pulls from the sender if the digests have differed for longer than gossip takes to arrive."""
        differs = message.membership_digest != self._table.digest
        self._differences = self._differences + 1 if differs else 0
        if self._differences >= DIFFERENCES_BEFORE_PULL and now_us - self._last_pull_us >= PULL_INTERVAL_US:
            self._last_pull_us = now_us
            self._differences = 0
            self._pull(message.sender.address)

    def _pull(self, to: Address, page: int = 0, first_name: str = "") -> None:
        self._outbox.add(
            OutgoingMessage(
                to=to,
                kind=MessageKind.PULL,
                number=page,
                subject=first_name,
                bucket_digests=tuple(self._table.bucket_digests),
            )
        )

    def receive_page(self, message: Message) -> None:
        """Requests the next page, if there is one. Membership.receive merges the members of this one."""
        self._joined = True
        if message.subject and message.number < MAX_PAGES:
            self._pull(message.sender.address, message.number + 1, message.subject)

    def receive_pull(self, message: Message) -> None:
        """Responds with a page of the members of the differing buckets, and the first name of the next page."""
        records = self._differing_records(message)
        page: list[Member] = []
        bytes_left = MAX_PAGE_BYTES
        for record in records:
            if bytes_left < max_encoded_bytes(record):
                break
            bytes_left -= max_encoded_bytes(record)
            page.append(record)
        next_name = records[len(page)].name if len(page) < len(records) else ""
        self._outbox.add(
            OutgoingMessage(
                to=message.sender.address,
                kind=MessageKind.PAGE,
                number=message.number,
                subject=next_name,
                members=tuple(page),
            )
        )

    def _differing_records(self, message: Message) -> list[Member]:
        """Returns the records that a pull requests, by name: all, if it has a different number of buckets."""
        own_digests, digests = self._table.bucket_digests, message.bucket_digests
        if len(digests) != BUCKET_COUNT:
            digests = [NO_DIGEST] * BUCKET_COUNT
        differing = {bucket for bucket in range(BUCKET_COUNT) if digests[bucket] != own_digests[bucket]}
        records = [self._table.own, *(peer.record for peer in self._table.peers.values())]
        wanted = [
            record for record in records if record.name >= message.subject and bucket_of(record.name) in differing
        ]
        return sorted(wanted, key=lambda record: record.name)
