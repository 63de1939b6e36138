"""What gateways say to one another, as bytes: a versioned form in msgpack, sealed with a keyed hash. No I/O.

A datagram is a version, the number of the key, the seal over what follows, and the message as a msgpack
array. Arrays may be longer than what this version reads: what a later one adds at the end is passed over.
"""

import hmac
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

VERSION = 1
LARGEST = 1_200  # bytes of a datagram: passes every common link in one piece
SEAL = 16
HEAD = 2 + SEAL
SECOND = 1_000_000
# Clocks may be so far apart, and a datagram so late, together; whoever is frozen reads late what waited.
TOLERANCE = 10 * SECOND
WINDOW = 64  # numbers behind the highest one that may still come: datagrams overtake one another

ALIVE, SUSPECT, DEAD, LEFT = range(4)
PING, ACK, ASK, NACK, PULL, PAGE, QUERY, ANSWER = range(8)
BUCKETS = 16  # of members, by hash of their names

Short = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Small = Annotated[int, Meta(ge=0, le=65_535)]


class Member(Struct, array_like=True, frozen=True):
    """A gateway, as it or others tell of it."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    host: Short
    port: Annotated[int, Meta(ge=1, le=65_535)]
    zone: Short
    # When it started, Unix time in ms: a restart under the same name comes after its earlier life
    life: Number
    incarnation: Number = 0
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    by: Short = ""  # of a suspect: whose suspicion this is

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    def rank(self) -> tuple[int, int, int]:
        """Of two tellings about a name the higher one holds, in whatever order and how often they come."""
        return self.life, self.incarnation, self.state


class Entry(Struct, array_like=True, frozen=True):
    """What a witness saw of a backend of late."""

    # A hash of its name and start: a restart is another one
    backend: Annotated[int, Meta(ge=0, le=2**32 - 1)]
    calls: Small  # call-outs, decayed
    bad: Small  # of these: failed, broken, without connection, or silent
    ok_age: Small  # tenths of a second since the last good answer; NEVER: none
    bad_age: Small
    pace: Small  # tenths of the time usual at this witness

    @property
    def accuses(self) -> bool:
        """The last that was seen was bad, or it was three times as slow as usual."""
        return self.bad_age < self.ok_age or self.calls >= 2 and self.pace >= 30

    @property
    def empty(self) -> bool:
        """Nothing was seen: only asks what the other one saw."""
        return self.ok_age == self.bad_age == NEVER


NEVER = 65_535


class Message(Struct, array_like=True, frozen=True):
    """A datagram's content, before it is sealed."""

    sender: Member
    sequence: Number
    at: Number  # the sender's clock, Unix time in microseconds
    kind: Annotated[int, Meta(ge=0, le=255)]
    number: Number = 0  # of a probe: its answer has the same
    about: Short = ""  # ASK: who is to be probed; PULL and PAGE: from which name on
    digest: Number = 0  # of whom the sender takes for present
    members: Annotated[list[Member], Meta(max_length=64)] = []
    entries: Annotated[list[Entry], Meta(max_length=64)] = []
    sums: Annotated[list[Number], Meta(max_length=BUCKETS)] = []  # PULL: a digest of each bucket of members


class Refused(Exception):
    """A datagram that is not taken; the text is a word or two for the counts. message: one that is whole and
    in time, and of a life that is over."""

    def __init__(self, why: str, message: Message | None = None) -> None:
        super().__init__(why)
        self.message = message


DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()


class Life:
    """What has come of one sender's life: the highest number, and which of those behind it."""

    def __init__(self, life: int) -> None:
        self.life, self.highest, self.seen, self.at = life, -1, 0, 0

    def take(self, sequence: int) -> bool:
        """Whether this number is new, and marks it."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, WINDOW) | 1) & (1 << WINDOW) - 1
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class Seal:
    """Seals with the first key, opens with any, and refuses what came before.

    keys: 1 or 2, each of 16 to 64 bytes. While a key is exchanged every gateway first learns the new one as
    its
    second, then as its first, then the old one goes: at each step all can open what any of them seals.
    """

    def __init__(self, keys: list[bytes]) -> None:
        self.renew(keys)
        self.lives: dict[str, Life] = {}  # by sender; emptied by sweep()

    def renew(self, keys: list[bytes]) -> None:
        if not 1 <= len(keys) <= 2 or not all(16 <= len(key) <= 64 for key in keys):
            raise ValueError("one or two keys of 16 to 64 bytes are needed")
        self.keys = {self.number(key): key for key in keys}
        self.first = self.number(keys[0])

    @staticmethod
    def number(key: bytes) -> int:
        """A key is known by a byte of its hash; of two with the same one only the first would be found."""
        return blake2b(key, digest_size=1, person=b"key number").digest()[0]

    def hash(self, key: bytes, body: bytes) -> bytes:
        return blake2b(body, key=key, digest_size=SEAL).digest()

    def close(self, message: Message) -> bytes:
        """Raises ValueError where it would be larger than a datagram may be."""
        body = ENCODER.encode(message)
        if len(body) + HEAD > LARGEST:
            raise ValueError(f"a message of {len(body)} bytes")
        return bytes((VERSION, self.first)) + self.hash(self.keys[self.first], body) + body

    def open(self, data: bytes, now: int) -> Message:
        """Raises Refused. Costs a hash over LARGEST bytes at most before anything is believed."""
        if len(data) > LARGEST:
            raise Refused("oversized")
        if len(data) <= HEAD:
            raise Refused("cut")
        if data[0] != VERSION:
            raise Refused("of another version")
        key = self.keys.get(data[1])
        if key is None:
            raise Refused("of an unknown key")
        body = data[HEAD:]
        if not hmac.compare_digest(self.hash(key, body), data[2:HEAD]):
            raise Refused("forged")
        try:
            message = DECODER.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as bad:
            raise Refused("unreadable") from bad
        if abs(message.at - now) > TOLERANCE:
            raise Refused("out of time")
        name, life = message.sender.name, message.sender.life
        known = self.lives.get(name)
        if known is None or life > known.life:
            known = self.lives[name] = Life(life)
        elif life < known.life:
            raise Refused("of an earlier life", message)
        if not known.take(message.sequence):
            raise Refused("replayed")
        known.at = now
        return message

    def sweep(self, now: int) -> None:
        """What is older than the tolerance would be out of time anyway, whoever it is from."""
        self.lives = {name: life for name, life in self.lives.items() if now - life.at <= 3 * TOLERANCE}
