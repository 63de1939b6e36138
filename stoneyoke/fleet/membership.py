"""Which gateways there are: SWIM with suspicion and incarnations, and Lifeguard's doubt of oneself. No I/O.

Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2018). Each period one member is
probed, directly, then by way of others; who answers neither is suspected, told so, and dead unless it objects
in time. What is told about a member rides on probes and answers. All times are microseconds; the clock
comes in.
"""

import math
import random
from collections.abc import Callable
from functools import lru_cache, reduce
from hashlib import blake2b
from operator import xor
from typing import NamedTuple

import msgspec

from stoneyoke.fleet.messages import (
    ACK,
    ALIVE,
    ANSWER,
    ASK,
    BUCKETS,
    DEAD,
    LEFT,
    NACK,
    PAGE,
    PING,
    PULL,
    SUSPECT,
    Member,
    Message,
)

SECOND = 1_000_000
PERIOD = SECOND  # between probes; times the doubt
DIRECT = 300_000  # for a direct answer; times the doubt
HELPERS = 3  # asked to probe in one's place (SWIM's k)
DOUBT_MOST = 8  # Lifeguard's S
SUSPICION = 4.0  # least time of a suspicion, in periods for each tenfold of members (Lifeguard's alpha)
SUSPICION_MOST = 3.0  # times that, while nobody else suspects (Lifeguard's beta)
CONFIRMED = 3  # others that suspect it too, until the least time holds (Lifeguard's K)
STOOD = SECOND  # a tick later than this: this process stood still, and could hear no objection
FORGET = 600 * SECOND  # after which a departed member is no longer known
SWEEP = SECOND // 2
REVISIT = 5 * SECOND  # one departed member or seed is called so often: a split may have healed
JOIN = SECOND  # so often seeds are called while nobody is known
PULL_EVERY = SECOND
DIFFERENT = 6  # probes and answers in a row with another digest, until members are compared
# Times log2 of the members: how often a change is told on. (3, as in SWIM, kept 150 that started at once busy
# for minutes; what this misses the comparison of members finds.)
GOSSIP = 1.5
# Before its end a suspect is called by each that suspects it: its objection may be lost
LAST_LOOKS = 2 * SECOND
MOST = 1_024  # members; more are counted and not taken
PAGES = 64  # of a state: they hold more than there can be
GOSSIP_BYTES, PAGE_BYTES = 500, 900
LEAST = 40  # bytes of a member

Address = tuple[str, int]


class Note(NamedTuple):
    """A message to be sent, without what every one carries."""

    to: Address
    kind: int
    number: int = 0
    about: str = ""
    members: tuple[Member, ...] = ()
    sums: tuple[int, ...] = ()


class Peer:
    """Another gateway. Dropped FORGET after it departed."""

    def __init__(self, record: Member, now: int) -> None:
        self.record, self.since = record, now  # since: when it took this state
        self.suspecting: set[str] = set()  # who suspects it

    def present(self) -> bool:
        return self.record.state <= SUSPECT


class Probe(NamedTuple):
    """The probe that is out: of whom, since when, with which helpers."""

    name: str
    number: int
    at: int
    helpers: tuple[str, ...] = ()


@lru_cache(4 * 1_024)
def size(record: Member) -> int:
    """No fewer bytes than it takes in a message."""
    return len(record.name) + len(record.host) + len(record.zone) + len(record.by) + 34


@lru_cache(4 * 1_024)
def mark(record: Member) -> int:
    """Of a present member, for digests: the XOR of all is the same in any order."""
    text = f"{record.name} {record.life}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


@lru_cache(4 * 1_024)
def bucket(name: str) -> int:
    """The bucket of members in which a name is compared."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


class Membership:
    """Who is there, as this gateway knows it: probes, suspicion, and what it tells on. No I/O."""

    def __init__(
        self,
        own: Member,
        seeds: list[Address],
        random_source: random.Random,
        now: int,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.own, self.random_source, self.count = own, random_source, count
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.peers: dict[str, Peer] = {}
        self.out: list[Note] = []  # taken by whoever sends
        self.changes: list[Member] = []  # of state, for whoever logs; taken by it
        self.doubt = 0  # Lifeguard's local health: 0 is well
        self.numbers, self.probe = 0, Probe("", -1, now)
        self.round: list[str] = []  # whom to probe next, from the end
        self.fresh: dict[str, int] = {}  # changes to tell on, and how often each was told
        self.sums = [0] * BUCKETS
        self.count_in(own)
        self.differs = 0
        # Probes in another's place: who, its number, until
        self.helped: dict[int, tuple[Address, int, int]] = {}
        self.ticked = self.swept = self.visited = now
        self.pulled = now - PULL_EVERY
        self.here = 0  # peers that are present
        self.joined = not self.seeds
        self.deposed: Member | None = None  # who has this name now
        self.leaving = False

    # ---- who is there ----

    def present(self) -> list[Member]:
        return [peer.record for peer in self.peers.values() if peer.present()]

    def alive(self) -> list[Member]:
        return [peer.record for peer in self.peers.values() if peer.record.state == ALIVE]

    def count_in(self, record: Member) -> None:
        """Counts a present member into the digests, or out of them again."""
        self.sums[bucket(record.name)] ^= mark(record)

    @property
    def digest(self) -> int:
        return reduce(xor, self.sums)

    def size(self) -> int:
        """Members present, with this one."""
        return 1 + self.here

    # ---- time ----

    def tick(self, now: int) -> None:
        """Called several times a second."""
        stood, self.ticked = now - self.ticked, now
        if stood > STOOD:  # it doubts itself first: nobody is the worse for what it could not hear
            self.doubt = min(DOUBT_MOST, self.doubt + 2)
            self.probe = Probe("", -1, now)
            for peer in self.peers.values():
                peer.since += stood if peer.record.state == SUSPECT else 0
        if self.deposed or self.leaving:
            return
        self.end_probe(now)
        if now - self.swept >= SWEEP:
            self.swept = now
            self.sweep(now)

    def sweep(self, now: int) -> None:
        """Ends suspicions and forgets the departed."""
        for peer in list(self.peers.values()):
            if peer.record.state == SUSPECT and now - peer.since >= self.patience(peer):
                self.set(peer, msgspec.structs.replace(peer.record, state=DEAD, by=""), now)
            elif peer.record.state == SUSPECT and now - peer.since >= self.patience(peer) - LAST_LOOKS:
                self.out.append(Note(peer.record.address, PING, 0, members=self.buddy(peer)))
            elif peer.record.state >= DEAD and now - peer.since >= FORGET:
                del self.peers[peer.record.name]
                self.fresh.pop(peer.record.name, None)
        self.helped = {number: helped for number, helped in self.helped.items() if now < helped[2]}
        self.look_for_others(now)

    def patience(self, peer: Peer) -> float:
        """How long it is suspected before it is dead: less the more others suspect it on their own."""
        least = SUSPICION * max(1.0, math.log10(max(1, self.size()))) * PERIOD
        most = SUSPICION_MOST * least
        others = len(peer.suspecting) - 1
        return max(least, most - (most - least) * math.log(others + 1) / math.log(CONFIRMED + 1))

    def end_probe(self, now: int) -> None:
        scale, probe = 1 + self.doubt, self.probe
        age = now - probe.at
        peer = self.peers.get(probe.name)
        if peer and not probe.helpers and age >= DIRECT * scale:
            others = [m for m in self.alive() if m.name != probe.name]
            helpers = self.random_source.sample(others, min(HELPERS, len(others)))
            self.probe = probe._replace(helpers=tuple(m.name for m in helpers) or ("",))  # noqa: SIM222 -- a tuple of none is false
            for helper in helpers:
                self.out.append(Note(helper.address, ASK, probe.number, probe.name))
        if age < PERIOD * scale:
            return
        if peer and peer.present():
            # Of its helpers none was heard: then it may be this gateway that is cut off.
            if probe.helpers and probe.helpers != ("",):
                self.doubt = min(DOUBT_MOST, self.doubt + 1)
            self.suspect(peer, self.own.name, now)
        self.begin_probe(now)

    def begin_probe(self, now: int) -> None:
        while self.round:
            peer = self.peers.get(self.round.pop())
            if peer and peer.present():
                break
        else:
            self.round = [peer.record.name for peer in self.peers.values() if peer.present()]
            self.random_source.shuffle(self.round)
            peer = self.peers[self.round.pop()] if self.round else None
        self.numbers += 1
        self.probe = Probe(peer.record.name if peer else "", self.numbers, now)
        if peer:
            self.out.append(Note(peer.record.address, PING, self.numbers, members=self.buddy(peer)))

    def buddy(self, peer: Peer) -> tuple[Member, ...]:
        """Who is suspected is told so first (Lifeguard's buddy system)."""
        return (peer.record,) if peer.record.state != ALIVE else ()

    def look_for_others(self, now: int) -> None:
        alone = not self.here
        if (alone or not self.joined) and self.seeds and now - self.pulled >= JOIN:
            self.pulled = now
            self.pull(self.random_source.choice(self.seeds))
        if now - self.visited >= REVISIT:
            self.visited = now
            gone = [peer.record for peer in self.peers.values() if peer.record.state == DEAD]
            known = {record.address for record in self.present()}
            lost: list[tuple[Address, tuple[Member, ...]]] = [(record.address, (record,)) for record in gone]
            known |= {record.address for record in gone}
            lost += [(seed, ()) for seed in self.seeds if seed not in known]
            if lost:
                address, told = self.random_source.choice(lost)
                self.out.append(Note(address, PING, 0, members=told))

    # ---- what comes ----

    def received(self, message: Message, now: int) -> None:
        """A message that is sealed, in time and new."""
        sender = message.sender
        if sender.name == self.own.name:
            self.about_me(sender)
            return
        if self.deposed or self.leaving:
            return
        self.merge(sender, now)
        for told in message.members:
            self.merge(told, now, spread=message.kind != PAGE)
        peer = self.peers.get(sender.name)
        back = self.buddy(peer) if peer else ()
        match message.kind:
            case 0:  # PING
                self.out.append(Note(sender.address, ACK, message.number, members=back))
                self.compare(message, now)
            case 1:  # ACK
                self.answered(message)
                self.compare(message, now)
            case 2:  # ASK
                asked = self.peers.get(message.about)
                if asked and len(self.helped) < 64:
                    self.numbers += 1
                    self.helped[self.numbers] = (sender.address, message.number, now + PERIOD)
                    self.out.append(Note(asked.record.address, PING, self.numbers, members=self.buddy(asked)))
                    self.out.append(Note(sender.address, NACK, message.number))
            case 3:  # NACK: a helper is heard, so the way out is whole
                if message.number == self.probe.number and sender.name in self.probe.helpers:
                    self.probe = self.probe._replace(helpers=("",))
            case 4:  # PULL
                self.page(message)
            case 5:  # PAGE
                self.joined = True
                if message.about and message.number < PAGES:
                    self.pull(sender.address, message.number + 1, message.about)
            case 6:  # QUERY
                self.out.append(Note(sender.address, ANSWER, message.number))
            case _:  # ANSWER, and what a later version says
                pass

    def answered(self, message: Message) -> None:
        helped = self.helped.pop(message.number, None)
        if helped:
            address, number, _ = helped
            self.out.append(Note(address, ACK, number))
        # A helper's answer is as good as one's own.
        if message.number == self.probe.number and (message.sender.name == self.probe.name or self.probe.helpers):
            self.probe = Probe("", -1, self.probe.at)
            self.doubt = max(0, self.doubt - 1)

    def compare(self, message: Message, now: int) -> None:
        """Members are compared only where who is present differs for longer than news take to arrive."""
        self.differs = self.differs + 1 if message.digest != self.digest else 0
        if self.differs >= DIFFERENT and now - self.pulled >= PULL_EVERY:
            self.pulled, self.differs = now, 0
            self.pull(message.sender.address)

    def pull(self, to: Address, piece: int = 0, start: str = "") -> None:
        self.out.append(Note(to, PULL, piece, start, sums=tuple(self.sums)))

    def page(self, message: Message) -> None:
        """A piece of those members whose digest differs, from a name on; it names the next piece, if any."""
        sums = message.sums if len(message.sums) == BUCKETS else [-1] * BUCKETS
        rows = [self.own, *(peer.record for peer in self.peers.values())]
        rows = [
            row for row in rows if row.name >= message.about and sums[bucket(row.name)] != self.sums[bucket(row.name)]
        ]
        rows.sort(key=lambda row: row.name)
        told, room = list[Member](), PAGE_BYTES
        while rows and room >= size(rows[0]):
            room -= size(rows[0])
            told.append(rows.pop(0))
        following = rows[0].name if rows else ""
        self.out.append(Note(message.sender.address, PAGE, message.number, following, tuple(told)))

    # ---- merging ----

    def merge(self, told: Member, now: int, spread: bool = True) -> None:
        """Takes a telling, whatever else came before or comes twice: the highest rank holds."""
        if told.name == self.own.name:
            self.about_me(told)
            return
        peer = self.peers.get(told.name)
        if peer is None:
            if told.state >= DEAD:
                return  # nobody is the wiser for knowing it
            if len(self.peers) >= MOST:
                self.count("fleet: too many members")
                return
            peer = self.peers[told.name] = Peer(told, now)
            self.here += 1
            self.count_in(told)
            self.changes.append(told)
            self.round.insert(self.random_source.randint(0, len(self.round)), told.name)
            if told.state == SUSPECT:
                peer.suspecting = {told.by}
            if spread:
                self.fresh[told.name] = 0
            return
        if told.rank() > peer.record.rank():
            self.set(peer, told, now, spread)
        elif told.rank() == peer.record.rank() and told.state == SUSPECT and told.by not in peer.suspecting:
            if len(peer.suspecting) <= CONFIRMED:  # each telling of it on its own is told on
                peer.suspecting.add(told.by)
                self.fresh[told.name] = 0

    def suspect(self, peer: Peer, by: str, now: int) -> None:
        if peer.record.state == ALIVE:
            self.set(peer, msgspec.structs.replace(peer.record, state=SUSPECT, by=by), now)
        elif by not in peer.suspecting and len(peer.suspecting) <= CONFIRMED:
            peer.suspecting.add(by)
            peer.record = msgspec.structs.replace(peer.record, by=by)
            self.fresh[peer.record.name] = 0

    def set(self, peer: Peer, told: Member, now: int, spread: bool = True) -> None:
        was, peer.record = peer.record, told
        for record, sign in ((was, -1), (told, 1)):
            if record.state <= SUSPECT:
                self.count_in(record)
                self.here += sign
        peer.suspecting = {told.by} if told.state == SUSPECT else set()
        if was.state != told.state or was.life != told.life:
            peer.since = now
            self.changes.append(told)
        if spread or told.state >= SUSPECT:
            self.fresh[told.name] = 0

    def about_me(self, told: Member) -> None:
        """What others say of this name: objects to a death that is told of this life, gives way to a later
        life under this name."""
        own = self.own
        if self.deposed or told.life < own.life:
            return
        if told.life > own.life and told.address == own.address:
            # An earlier life of this very gateway, started when the clock was ahead: this one comes after it.
            self.count_in(own)
            self.own = msgspec.structs.replace(own, life=told.life + 1, incarnation=0)
            self.count_in(self.own)
            self.fresh[own.name] = 0
            return
        if told.life > own.life or (told.address > own.address and told.life == own.life):
            self.deposed = told
            self.peers.clear()
            self.fresh.clear()
            self.here = 0
            return
        if (
            told.address == own.address
            and told.state != ALIVE
            and told.incarnation >= own.incarnation
            and (not self.leaving)
        ):
            self.own = msgspec.structs.replace(own, incarnation=told.incarnation + 1)
            self.doubt = min(DOUBT_MOST, self.doubt + 1)
            self.fresh[own.name] = 0

    # ---- telling on ----

    def gossip(self, to: Address) -> list[Member]:
        """What has changed of late and was told least, as much as fits; each is told so often that all hear
        it."""
        most = math.ceil(GOSSIP * math.log2(self.size() + 1))
        told, room = list[Member](), GOSSIP_BYTES
        for name in sorted(self.fresh, key=lambda n: self.fresh[n]):
            record = self.own if name == self.own.name else self.peers[name].record
            if room < LEAST:
                break
            if record.address == to or room < size(record):
                continue
            room -= size(record)
            told.append(record)
            self.fresh[name] += 1
            if self.fresh[name] >= most:
                del self.fresh[name]
        return told

    def leave(self) -> None:
        """Says farewell to some, who tell it on."""
        self.own = msgspec.structs.replace(self.own, state=LEFT)
        self.leaving = True
        present = self.present()
        for member in self.random_source.sample(present, min(2 * HELPERS, len(present))):
            self.out.append(Note(member.address, PING, 0, members=(self.own,)))
