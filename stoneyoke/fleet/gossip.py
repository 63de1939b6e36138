"""Dissemination of membership changes, piggybacked on other messages as in SWIM. No I/O."""

import math

from stoneyoke.fleet.member_table import MemberTable, max_encoded_bytes
from stoneyoke.fleet.messages import Address, Member

# Transmissions of each change, divided by log2 of the number of members. With SWIM's factor of 3, gossip kept 150
# gateways that started together busy for minutes. Anti-entropy repairs what 1.5 misses.
TRANSMISSIONS_PER_LOG2 = 1.5
MAX_GOSSIP_BYTES = 500  # in one message
MIN_RECORD_BYTES = 40


class GossipQueue:
    """The members whose changes are still gossiped, and how often each was sent."""

    def __init__(self, table: MemberTable) -> None:
        """Starts empty.

        Args:
            table: Holds the current record of each name that is added.
        """
        self._table = table
        self._transmissions: dict[str, int] = {}  # by the member's name

    def add(self, name: str) -> None:
        """Adds a member's record, or resets the count of its transmissions."""
        self._transmissions[name] = 0

    def discard(self, name: str) -> None:
        """Removes a member that is no longer known."""
        self._transmissions.pop(name, None)

    def clear(self) -> None:
        """Removes all records."""
        self._transmissions.clear()

    def select(self, to: Address) -> list[Member]:
        """Returns the least sent records that fit into one message. A record is removed once it was sent often enough.

        Args:
            to: The receiver, whose own record is not sent to it.
        """
        max_transmissions = math.ceil(TRANSMISSIONS_PER_LOG2 * math.log2(self._table.size() + 1))
        selected: list[Member] = []
        bytes_left = MAX_GOSSIP_BYTES
        for name in sorted(self._transmissions, key=lambda name: self._transmissions[name]):
            record = self._record(name)
            if bytes_left < MIN_RECORD_BYTES:
                break
            if record.address == to or bytes_left < max_encoded_bytes(record):
                continue
            bytes_left -= max_encoded_bytes(record)
            selected.append(record)
            self._transmissions[name] += 1
            if self._transmissions[name] >= max_transmissions:
                del self._transmissions[name]
        return selected

    def _record(self, name: str) -> Member:
        own = self._table.own
        return own if name == own.name else self._table.peers[name].record
