"""The SWIM failure detector with Lifeguard's local health. No I/O; times are microseconds.

In each period one member is probed by a direct ping, then by indirect pings that helpers send. A member that
acknowledges neither is suspected and notified. It is declared dead unless it refutes the suspicion in time.

Source: Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2018).
"""

import math
import random
from dataclasses import dataclass

from stoneyoke.fleet.gossip import GossipQueue
from stoneyoke.fleet.member_table import MAX_CONFIRMATIONS, MemberTable, Peer
from stoneyoke.fleet.messages import Address, Member, MemberState, Message, MessageKind
from stoneyoke.fleet.outbox import Outbox, OutgoingMessage

SECOND_US = 1_000_000
PROBE_PERIOD_US = SECOND_US  # times 1 + the local health score
DIRECT_TIMEOUT_US = 300_000  # of a direct ping; times 1 + the local health score
HELPER_COUNT = 3  # members asked for an indirect ping (SWIM's k)
MAX_LOCAL_HEALTH_SCORE = 8  # Lifeguard's S
# Minimum time-out of a suspicion, in probe periods, divided by log10 of the number of members (Lifeguard's alpha).
SUSPICION_PERIODS = 4.0
# Maximum time-out of a suspicion, as long as only one member has it, divided by the minimum (Lifeguard's beta).
SUSPICION_MAX_FACTOR = 3.0
# A longer time between two ticks means that this process was suspended and could not receive refutations.
STALL_US = SECOND_US
STALL_PENALTY = 2  # added to the local health score
DEPARTED_RETENTION_US = 600 * SECOND_US  # after which a dead or departed member is removed
# A suspect is pinged again from this long before its suspicion times out, since its refutation may have been lost.
FINAL_PINGS_US = 2 * SECOND_US
MAX_RELAYED_PINGS = 64  # pending at a time
UNTRACKED_NUMBER = 0  # of a ping whose acknowledgement is not tracked


@dataclass(slots=True)
class Probe:
    """The pending probe. Its name is empty while no member is probed."""

    name: str
    number: int
    started_at_us: int
    indirect: bool = False  # the direct ping has timed out, and an acknowledgement through a helper counts
    helpers: tuple[str, ...] = ()
    helper_reachable: bool = False  # a helper has responded, so this gateway is not partitioned


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """An indirect ping that this gateway sent as the helper of another member."""

    requester: Address
    number: int  # of the request, repeated in the response to it
    expires_at_us: int


def no_probe(now_us: int) -> Probe:
    """Returns a probe of no member, from `now_us` on. No message has its number."""
    return Probe("", -1, now_us)


def suspicion_notice(peer: Peer) -> tuple[Member, ...]:
    """Returns the record to put first into a message to a peer that is suspected or dead (Lifeguard's buddy system)."""
    return (peer.record,) if peer.record.state != MemberState.ALIVE else ()


class FailureDetector:
    """Probes the members one after the other, and changes their states from alive to suspected to dead."""

    def __init__(
        self, table: MemberTable, gossip: GossipQueue, outbox: Outbox, random_source: random.Random, now_us: int
    ) -> None:
        """Starts without a pending probe.

        Args:
            table: The members, whose states this detector changes.
            gossip: Spreads the changes.
            outbox: Collects the messages to send.
            random_source: Chooses the helpers and the order of probes.
            now_us: Current time.
        """
        self._table = table
        self._gossip = gossip
        self._outbox = outbox
        self._random_source = random_source
        self.local_health_score = 0  # 0 is healthy; a higher score lengthens this gateway's time-outs
        self.probe = no_probe(now_us)
        self.last_tick_us = now_us
        self._last_number = 0
        self._probe_order: list[str] = []  # names of the members to probe next, taken from the end
        self._relayed_pings: dict[int, RelayedPing] = {}  # by the number of the ping

    # ---- timers ----

    def check_stall(self, now_us: int) -> None:
        """Detects that this process was suspended.

        It may have missed acknowledgements and refutations. It therefore raises its local health score, drops its
        probe, and extends all suspicions by the time of the stall.
        """
        elapsed_us, self.last_tick_us = now_us - self.last_tick_us, now_us
        if elapsed_us <= STALL_US:
            return
        self._degrade_local_health(STALL_PENALTY)
        self.probe = no_probe(now_us)
        for peer in self._table.peers.values():
            if peer.record.state == MemberState.SUSPECT:
                peer.state_since_us += elapsed_us

    def advance_probe(self, now_us: int) -> None:
        """Sends indirect pings once the direct one has timed out; at the period's end suspects the member.

        Then the next member is probed.
        """
        time_scale = 1 + self.local_health_score
        probe = self.probe
        age_us = now_us - probe.started_at_us
        known = probe.name in self._table.peers
        if known and not probe.indirect and age_us >= DIRECT_TIMEOUT_US * time_scale:
            self._request_indirect_pings()
        if age_us < PROBE_PERIOD_US * time_scale:
            return
        peer = self._table.present_peer(probe.name)
        if peer:
            if probe.helpers and not probe.helper_reachable:
                self._degrade_local_health()  # no helper responded either, so this gateway may be the partitioned one
            if self._table.suspect(peer, self._table.own.name, now_us):
                self._gossip.add(peer.record.name)
        self._begin_probe(now_us)

    def _request_indirect_pings(self) -> None:
        probe = self.probe
        others = [member for member in self._table.alive() if member.name != probe.name]
        helpers = self._random_source.sample(others, min(HELPER_COUNT, len(others)))
        probe.indirect = True
        probe.helpers = tuple(helper.name for helper in helpers)
        for helper in helpers:
            self._outbox.add(
                OutgoingMessage(
                    to=helper.address, kind=MessageKind.PING_REQUEST, number=probe.number, subject=probe.name
                )
            )

    def _begin_probe(self, now_us: int) -> None:
        peer = self._next_to_probe()
        self._last_number += 1
        self.probe = Probe(peer.record.name if peer else "", self._last_number, now_us)
        if peer:
            self.ping(peer, self._last_number)

    def _next_to_probe(self) -> Peer | None:
        """Returns each present member once in a random order, then each again in a new random order."""
        while self._probe_order:
            if peer := self._table.present_peer(self._probe_order.pop()):
                return peer
        self._probe_order = [member.name for member in self._table.present()]
        self._random_source.shuffle(self._probe_order)
        return self._table.peers[self._probe_order.pop()] if self._probe_order else None

    def sweep(self, now_us: int) -> None:
        """Handles suspicions that time out, and removes departed members and relayed pings that have expired."""
        for peer in list(self._table.peers.values()):
            age_us = now_us - peer.state_since_us
            if peer.record.state == MemberState.SUSPECT:
                self._check_suspicion(peer, age_us, now_us)
            elif not peer.record.present and age_us >= DEPARTED_RETENTION_US:
                del self._table.peers[peer.record.name]
                self._gossip.discard(peer.record.name)
        self._relayed_pings = {
            number: relayed for number, relayed in self._relayed_pings.items() if now_us < relayed.expires_at_us
        }

    def _check_suspicion(self, peer: Peer, age_us: int, now_us: int) -> None:
        timeout_us = self.suspicion_timeout_us(peer)
        if age_us >= timeout_us:
            self._table.declare_dead(peer, now_us)
            self._gossip.add(peer.record.name)
        elif age_us >= timeout_us - FINAL_PINGS_US:
            self.ping(peer, UNTRACKED_NUMBER)

    def suspicion_timeout_us(self, peer: Peer) -> float:
        """Returns how long a suspect has to refute the suspicion: less, the more members suspect it independently."""
        least_us = SUSPICION_PERIODS * max(1.0, math.log10(max(1, self._table.size()))) * PROBE_PERIOD_US
        most_us = SUSPICION_MAX_FACTOR * least_us
        confirmations = len(peer.suspected_by) - 1
        shrink = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return max(least_us, most_us - (most_us - least_us) * shrink)

    # ---- members and messages ----

    def add_member(self, name: str) -> None:
        """Inserts a new member at a random position of the probe order."""
        self._probe_order.insert(self._random_source.randint(0, len(self._probe_order)), name)

    def ping(self, peer: Peer, number: int) -> None:
        """Pings a peer, with a notice if this gateway has it as suspected or dead."""
        self._outbox.add(
            OutgoingMessage(
                to=peer.record.address, kind=MessageKind.PING, number=number, members=suspicion_notice(peer)
            )
        )

    def is_direct_ack(self, message: Message) -> bool:
        """Whether a message is the probed member's own acknowledgement of the pending probe."""
        is_probed = message.sender.name == self.probe.name
        return message.kind == MessageKind.ACK and message.number == self.probe.number and is_probed

    def receive_ack(self, message: Message) -> None:
        """Ends the acknowledged probe. The acknowledgement of a relayed ping is forwarded to the requester."""
        relayed = self._relayed_pings.pop(message.number, None)
        if relayed:
            self._outbox.add(OutgoingMessage(to=relayed.requester, kind=MessageKind.ACK, number=relayed.number))
        # Once helpers are asked, an acknowledgement through any of them counts like the member's own.
        from_probed = message.sender.name == self.probe.name
        if message.number == self.probe.number and (from_probed or self.probe.indirect):
            self.probe = no_probe(self.probe.started_at_us)
            self.local_health_score = max(0, self.local_health_score - 1)

    def receive_nack(self, message: Message) -> None:
        """Records that a helper is reachable, whether or not its ping is acknowledged."""
        if message.number == self.probe.number and message.sender.name in self.probe.helpers:
            self.probe.helper_reachable = True

    def receive_ping_request(self, message: Message, now_us: int) -> None:
        """Pings a member on behalf of the sender. A NACK at once shows the sender that this helper is reachable."""
        peer = self._table.peers.get(message.subject)
        if not peer or len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            return
        requester = message.sender.address
        self._last_number += 1
        self._relayed_pings[self._last_number] = RelayedPing(requester, message.number, now_us + PROBE_PERIOD_US)
        self.ping(peer, self._last_number)
        self._outbox.add(OutgoingMessage(to=requester, kind=MessageKind.NACK, number=message.number))

    def record_refutation(self) -> None:
        """Raises the local health score: other members suspect this gateway, so it may be slow itself."""
        self._degrade_local_health()

    def _degrade_local_health(self, by: int = 1) -> None:
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + by)
