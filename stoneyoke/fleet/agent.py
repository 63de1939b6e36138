"""One gateway's part in the fleet: datagrams and what it sees go in, datagrams and advice come out. No
I/O."""

import random
from collections.abc import Callable, Iterable

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.fleet.evidence import ASKS, Evidence
from stoneyoke.fleet.membership import Address, Membership, Note, size
from stoneyoke.fleet.messages import (
    ACK,
    ANSWER,
    HEAD,
    LARGEST,
    PAGE,
    PULL,
    QUERY,
    Entry,
    Member,
    Message,
    Refused,
    Seal,
)

SECOND = 1_000_000
TICK = 100_000  # how often tick() wants to be called
JUDGE = 500_000
ENTRY_BYTES = 20  # no fewer than one takes
NOTHING = PeerEvidence(frozenset(), frozenset())


class FleetAgent:
    """key material: see Seal. now: Unix time in microseconds, in monotonic steps."""

    def __init__(
        self,
        own: Member,
        seeds: list[Address],
        keys: list[bytes],
        silent_us: int,
        seed: int,
        now: int,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.random_source = random.Random(seed)
        self.count = count
        self.seal = Seal(keys)
        self.members = Membership(own, seeds, self.random_source, now, count)
        self.evidence = Evidence(own.name, silent_us, now)
        self.sequence = 0
        self.judged = self.swept = now
        self.to_ask: list[str] = []  # members in an order of chance, from the end; each once a round
        self.asked: dict[int, str] = {}  # by number, who may answer what it saw; cut short by tick()
        self.asked_at = now
        self.answered: dict[str, int] = {}  # when an earlier life was told of the later one, by name
        self.advice = NOTHING

    # ---- in ----

    def datagram(self, data: bytes, now: int) -> list[tuple[Address, bytes]]:
        """What is to be sent for it. Whatever can't be believed costs a count."""
        try:
            message = self.seal.open(data, now)
        except Refused as refused:
            self.count(f"fleet: datagrams {refused}")
            if refused.message:
                return self.tell_of_later(refused.message, now)
            return []
        self.count("fleet: datagrams")
        probed = (
            message.kind == ACK
            and message.number == self.members.probe.number
            and (message.sender.name == self.members.probe.name)
        )
        self.members.received(message, now)
        sender = message.sender.name
        if sender == self.members.own.name:
            return self.send(now)
        # Only what was asked for by this gateway's own choice counts; the rest makes it ask.
        if probed or message.kind == ANSWER and self.asked.pop(message.number, "") == sender:
            self.evidence.hear(sender, message.entries, now)
        else:
            self.evidence.rumour(sender, message.entries, now)
        return self.send(now, message.entries)

    def tell_of_later(self, message: Message, now: int) -> list[tuple[Address, bytes]]:
        """An earlier life that still runs learns that its name has passed on, once a second at most."""
        peer = self.members.peers.get(message.sender.name)
        if peer is None or now - self.answered.get(message.sender.name, -SECOND) < SECOND:
            return []
        self.answered[message.sender.name] = now
        self.members.out.append(Note(message.sender.address, ACK, members=(peer.record,)))
        return self.send(now)

    def tick(self, now: int) -> list[tuple[Address, bytes]]:
        self.members.tick(now)
        self.evidence.watch(now)
        if now - self.judged >= JUDGE:
            self.judged = now
            self.evidence.judge(now, self.members.size() - 1)
        idle = self.members.deposed or self.members.leaving
        self.advice = NOTHING if idle else self.evidence.advice(now, self.members.size())
        self.ask(now)
        if now - self.swept >= 10 * SECOND:
            self.swept = now
            self.seal.sweep(now)
            self.asked = dict(list(self.asked.items())[-10 * ASKS :])
            self.answered = {name: at for name, at in self.answered.items() if now - at < SECOND}
        return self.send(now)

    def ask(self, now: int) -> None:
        """While a backend is disputed, or this gateway has just seen one fail, some members are asked, too.
        Each is picked by chance: who speaks much is not asked more."""
        evidence = self.evidence
        if not (evidence.shocked or evidence.disputed or evidence.verdicts):
            self.asked_at = now
        if now - self.asked_at < SECOND // ASKS:
            return
        self.asked_at = max(self.asked_at + SECOND // ASKS, now - TICK)
        while self.to_ask:
            peer = self.members.peers.get(self.to_ask.pop())
            if peer and peer.present():
                number = self.random_source.getrandbits(60)
                self.asked[number] = peer.record.name
                self.members.out.append(Note(peer.record.address, QUERY, number))
                return
        self.to_ask = [member.name for member in self.members.present()]
        self.random_source.shuffle(self.to_ask)

    def leave(self, now: int) -> list[tuple[Address, bytes]]:
        self.members.leave()
        return self.send(now)

    # ---- out ----

    def send(self, now: int, asked: Iterable[Entry] = ()) -> list[tuple[Address, bytes]]:
        notes, self.members.out = self.members.out, []
        if self.members.deposed:
            return []
        return [(note.to, self.put(note, now, asked)) for note in notes]

    def put(self, note: Note, now: int, asked: Iterable[Entry]) -> bytes:
        """A note as a datagram, with as much of news and evidence as fits. What is asked for and told beside
        probes carries no news: there is much of it."""
        self.sequence += 1
        members = list(note.members)
        plain = note.kind in (PULL, PAGE)
        if not plain and note.kind not in (QUERY, ANSWER):
            members += [m for m in self.members.gossip(note.to) if m not in members]
        room = LARGEST - HEAD - 120 - size(self.members.own) - sum(map(size, members))
        about = asked if note.kind in (ACK, ANSWER) else ()
        entries = [] if plain else self.evidence.own(now, about)[: max(0, room // ENTRY_BYTES)]
        return self.seal.close(
            Message(
                self.members.own,
                self.sequence,
                now,
                note.kind,
                note.number,
                note.about,
                self.members.digest,
                members,
                entries,
                list(note.sums),
            )
        )

    def changes(self) -> list[Member]:
        """Members whose state has changed since this was asked last."""
        changes, self.members.changes = self.members.changes, []
        return changes

    def listed(self, backends: Iterable[KnownBackend]) -> None:
        self.evidence.listed(backends)
