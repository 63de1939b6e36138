"""The SWIM failure detector with Lifeguard's local health. No I/O; times are microseconds.

Each period one member is pinged, first directly, then by way of helpers. A member that answers neither way is
suspected and notified. It is declared dead unless it refutes the suspicion in time.

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
DIRECT_TIMEOUT_US = 300_000  # for a direct answer; times 1 + the local health score
HELPER_COUNT = 3  # members asked to ping in this gateway's place (SWIM's k)
MAX_LOCAL_HEALTH_SCORE = 8  # Lifeguard's S
SUSPICION_PERIODS = 4.0  # least time of a suspicion, in periods for each tenfold of members (Lifeguard's alpha)
SUSPICION_MAX_FACTOR = 3.0  # times the least one, while nobody else suspects the member (Lifeguard's beta)
# A tick later than this means that this process was suspended and could hear no refutation.
STALL_US = SECOND_US
STALL_PENALTY = 2  # added to the local health score
DEPARTED_RETENTION_US = 600 * SECOND_US  # after which a dead or departed member is no longer known
# Before its end each member that suspects a suspect pings it again: its refutation may have been lost.
FINAL_PINGS_US = 2 * SECOND_US
MAX_RELAYED_PINGS = 64  # at a time
UNTRACKED_NUMBER = 0  # of a ping whose answer is not awaited


@dataclass(slots=True)
class Probe:
    """The outstanding probe. Its name is empty while nobody is probed."""

    name: str
    number: int
    started_at_us: int
    indirect: bool = False  # the direct answer is overdue; an answer by way of a helper counts
    helpers: tuple[str, ...] = ()
    helper_reachable: bool = False  # a helper has answered, so this gateway is not cut off


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent in another member's place."""

    requester: Address
    number: int  # of the request, repeated in the answer to it
    expires_at_us: int


def no_probe(now_us: int) -> Probe:
    """Stands for nobody being probed since then. No message has its number."""
    return Probe("", -1, now_us)


def suspicion_notice(peer: Peer) -> tuple[Member, ...]:
    """The record to put first into a message to a peer that is suspected or dead (Lifeguard's buddy system)."""
    return (peer.record,) if peer.record.state != MemberState.ALIVE else ()


class FailureDetector:
    """Probes the members one after the other, and drives each through suspicion to death."""

    def __init__(
        self, table: MemberTable, gossip: GossipQueue, outbox: Outbox, random_source: random.Random, now_us: int
    ) -> None:
        """Starts with nobody probed.

        Args:
            table: The members; states change there.
            gossip: Passes on what changes.
            outbox: Takes the messages to send.
            random_source: Draws the helpers and the order of probes.
            now_us: Current time.
        """
        self._table = table
        self._gossip = gossip
        self._outbox = outbox
        self._random_source = random_source
        self.local_health_score = 0  # 0 is healthy; a higher one stretches this gateway's time-outs
        self.probe = no_probe(now_us)
        self.last_tick_us = now_us
        self._last_number = 0
        self._probe_order: list[str] = []  # names to probe next, from the end
        self._relayed_pings: dict[int, RelayedPing] = {}  # by the number of the ping

    # ---- time ----

    def check_stall(self, now_us: int) -> None:
        """Notices that this process was suspended.

        It may have missed answers and refutations, so it lowers its own health, drops its probe, and extends all
        suspicions by the time that it missed.
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
        """Asks helpers once the direct answer is overdue; at the period's end suspects the member, probes the next."""
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
                self._degrade_local_health()  # no helper answered either: this gateway may be the one cut off
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
        """Each present member once in a random order, then again in another one."""
        while self._probe_order:
            if peer := self._table.present_peer(self._probe_order.pop()):
                return peer
        self._probe_order = [member.name for member in self._table.present()]
        self._random_source.shuffle(self._probe_order)
        return self._table.peers[self._probe_order.pop()] if self._probe_order else None

    def sweep(self, now_us: int) -> None:
        """Ends suspicions that have timed out, forgets the long departed, and drops relayed pings without answer."""
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
        """How long a suspect has to refute the suspicion: less, the more members suspect it independently."""
        least_us = SUSPICION_PERIODS * max(1.0, math.log10(max(1, self._table.size()))) * PROBE_PERIOD_US
        most_us = SUSPICION_MAX_FACTOR * least_us
        confirmations = len(peer.suspected_by) - 1
        shrink = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return max(least_us, most_us - (most_us - least_us) * shrink)

    # ---- members and messages ----

    def add_member(self, name: str) -> None:
        """Gives a new member a random place in the order of probes."""
        self._probe_order.insert(self._random_source.randint(0, len(self._probe_order)), name)

    def ping(self, peer: Peer, number: int) -> None:
        """Pings a peer, with a notice if it is suspected or taken for dead."""
        self._outbox.add(
            OutgoingMessage(
                to=peer.record.address, kind=MessageKind.PING, number=number, members=suspicion_notice(peer)
            )
        )

    def is_direct_ack(self, message: Message) -> bool:
        """Whether a message is the probed member's own answer to the outstanding probe."""
        is_probed = message.sender.name == self.probe.name
        return message.kind == MessageKind.ACK and message.number == self.probe.number and is_probed

    def receive_ack(self, message: Message) -> None:
        """Ends the probe that is answered; an answer to a relayed ping goes to the member that asked for it."""
        relayed = self._relayed_pings.pop(message.number, None)
        if relayed:
            self._outbox.add(OutgoingMessage(to=relayed.requester, kind=MessageKind.ACK, number=relayed.number))
        # Once helpers are asked, the acknowledgement of any of them is as good as the member's own.
        from_probed = message.sender.name == self.probe.name
        if message.number == self.probe.number and (from_probed or self.probe.indirect):
            self.probe = no_probe(self.probe.started_at_us)
            self.local_health_score = max(0, self.local_health_score - 1)

    def receive_nack(self, message: Message) -> None:
        """Notes that a helper is reachable, whatever it will find."""
        if message.number == self.probe.number and message.sender.name in self.probe.helpers:
            self.probe.helper_reachable = True

    def receive_ping_request(self, message: Message, now_us: int) -> None:
        """Pings a member in the sender's place. A NACK shows the sender that this helper is reachable."""
        peer = self._table.peers.get(message.subject)
        if not peer or len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            return
        requester = message.sender.address
        self._last_number += 1
        self._relayed_pings[self._last_number] = RelayedPing(requester, message.number, now_us + PROBE_PERIOD_US)
        self.ping(peer, self._last_number)
        self._outbox.add(OutgoingMessage(to=requester, kind=MessageKind.NACK, number=message.number))

    def record_refutation(self) -> None:
        """Lowers this gateway's own health: others suspect it, so it may be slow itself."""
        self._degrade_local_health()

    def _degrade_local_health(self, by: int = 1) -> None:
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + by)
