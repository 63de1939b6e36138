"""What gateways saw of backends, and the verdicts drawn from that. No I/O; all times are microseconds.

A gateway tells only what it saw itself, and counts only what witnesses that it picked by chance told it:
nothing is passed on, and who speaks louder is not heard more. So a wrong gateway is one witness among many. A
verdict needs FLOOR of those asked to accuse, whether or not the others know the backend. What is seen here
overrules what is heard.
"""

from collections.abc import Iterable
from hashlib import blake2b

from stoneyoke.control.events import KnownBackend, PeerEvidence
from stoneyoke.fleet.messages import NEVER, Entry

SECOND = 1_000_000
TENTH = 100_000
AGE = 20 * SECOND  # what a witness saw longer ago it doesn't tell
HEARD = 7 * SECOND  # a telling counts for so long
ASKS = 5  # members that are asked a second while something is disputed, beside those probed
SAMPLE = 40  # or all, if they are fewer: what is less than that is taken for as many
FLOOR = 0.25  # of those asked accuse it; a fifth let a tenth of liars take one from 13 of 100 gateways
FEWEST = 2  # of them, however few there are
PART = 0.6  # of those that know the backend accuse it; what was good before the dispute tells nothing
BEFORE = 3 * SECOND  # a dispute is about what was seen since so long before it
RECENT = 10 * SECOND  # a verdict that stands lives on accusations not older than this
ASKED = 1_500_000  # for so long it was disputed: who is quick to tell accuses, those that know better follow
STILL, STILL_PART = 0.02, 0.4  # both, for a verdict that stands: few probe it then
LONGEST = 60 * SECOND  # after which a verdict has to be reached anew
MOST_OUT = 3  # of a zone's backends one in so many may be left out on hearsay
SLOT, PROBERS = 2 * SECOND, 5  # in each slot so many gateways of all send a call-out to one that is left out
HALF = 5 * SECOND  # in which what was counted counts half
OWN = 5 * SECOND  # a good answer of one's own overrules hearsay for so long
SHOCK = 3 * SECOND  # for so long it tells at once of what it saw itself
ENTRIES = 40  # in a message
WRONG = 0.5  # a witness that accuses more of the backends listed than this is cut off itself


def identity(known: KnownBackend) -> int:
    """A backend's number, the same at all gateways; a restart is another one, so no verdict outlives it."""
    text = f"{known.name} {known.started_us}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


class Seen:
    """What this gateway saw of one backend."""

    def __init__(self, now: int) -> None:
        self.calls = self.bad = 0.0
        self.pace, self.at = 1.0, now
        self.ok_at = self.bad_at = -1  # never

    def fade(self, now: int) -> None:
        kept = 0.5 ** ((now - self.at) / HALF)
        self.calls, self.bad, self.at = self.calls * kept, self.bad * kept, now


def slot_hash(name: str, backend: int, slot: int) -> float:
    """From 0 to 1, another one for each gateway, backend and slot of time."""
    text = f"{name} {backend} {slot}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big") / 2**32


class Evidence:
    """One gateway's own observations, what it heard, and its verdicts."""

    def __init__(self, name: str, silent_us: int, now: int) -> None:
        self.name, self.silent_us, self.ticked = name, silent_us, now
        self.known: dict[int, KnownBackend] = {}  # by id; renewed by listed()
        self.ids: dict[int, int] = {}  # by the module's index
        self.seen: dict[int, Seen] = {}  # by id; emptied by listed()
        self.out: dict[int, tuple[int, int, bool]] = {}  # by RPC: backend, since, told as silent; by ended()
        # By witness that was asked: when it answered; what it accuses and defends, and when that was seen
        self.heard: dict[str, tuple[int, dict[int, int], dict[int, int]]] = {}
        self.rumours: dict[int, dict[str, int]] = {}  # by id: who accuses it unasked, and when
        self.verdicts: dict[int, int] = {}  # since when, by id
        self.tried: dict[int, int] = {}  # the slot in which it was probed from here, by id
        self.usual = 0.0  # running mean of the time that good answers take
        self.shocked = False  # it saw something bad just now
        self.disputed: dict[int, int] = {}  # since when, by id: what is good of these is worth telling, too

    # ---- what is seen here ----

    def listed(self, backends: Iterable[KnownBackend]) -> None:
        """All backends there are now. What was known of others is dropped."""
        self.known = {identity(known): known for known in backends}
        self.ids = {known.index: id for id, known in self.known.items()}
        self.seen = {id: seen for id, seen in self.seen.items() if id in self.known}
        self.verdicts = {id: since for id, since in self.verdicts.items() if id in self.known}
        self.tried = {id: slot for id, slot in self.tried.items() if id in self.known}
        self.rumours = {id: who for id, who in self.rumours.items() if id in self.known}

    def sent(self, rpc: int, backend: int, now: int) -> None:
        self.out[rpc] = backend, now, False
        if (id := self.ids.get(backend)) is not None:
            self.tried[id] = now // SLOT

    def ended(self, rpc: int, good: bool | None, now: int) -> None:
        """A call-out's end. good: None where it says nothing, as one that was turned away."""
        backend, since, silent = self.out.pop(rpc, (-1, now, False))
        id = self.ids.get(backend)
        if id is None or good is None:
            return
        seen = self.looked_at(id, now)
        if good:
            took = now - since
            self.usual += (took - self.usual) * (0.05 if self.usual else 1.0)
            seen.pace += (took / max(1.0, self.usual) - seen.pace) * 0.3
            seen.ok_at = now
            seen.bad -= silent and seen.bad >= 1  # it was slow, not silent
        else:
            seen.bad_at = now
        if not silent:
            seen.calls += 1
            seen.bad += not good

    def looked_at(self, id: int, now: int) -> Seen:
        seen = self.seen.get(id)
        if seen is None:
            seen = self.seen[id] = Seen(now)
        seen.fade(now)
        return seen

    def watch(self, now: int) -> None:
        """Who has not answered for long is silent. After standing still nothing that was out tells
        anything."""
        stood, self.ticked = now - self.ticked > SECOND, now
        if stood:
            self.out = {rpc: (backend, now, told) for rpc, (backend, _, told) in self.out.items()}
        for rpc, (backend, since, told) in list(self.out.items()):
            if not told and now - since >= self.silent_us and (id := self.ids.get(backend)) is not None:
                self.out[rpc] = backend, since, True
                seen = self.looked_at(id, now)
                # An answer that came after it was sent shows that it is not silent.
                if seen.ok_at < since:
                    seen.calls, seen.bad, seen.bad_at = seen.calls + 1, seen.bad + 1, now

    def entry(self, id: int, seen: Seen, now: int) -> Entry:
        seen.fade(now)

        def age(at: int) -> int:
            return NEVER if at < 0 else min(NEVER - 1, max(0, now - at) // TENTH)

        return Entry(
            id,
            min(1000, round(seen.calls)),
            min(1000, round(seen.bad)),
            age(seen.ok_at),
            age(seen.bad_at),
            min(1000, round(10 * seen.pace)),
        )

    def own(self, now: int, asked: Iterable[Entry] = ()) -> list[Entry]:
        """What is told: whom this gateway accuses, then what it knows of those that are disputed, here or by
        who asks; of these it asks itself where it knows nothing. A gateway to which most backends seem bad is
        cut off itself, and accuses nobody."""
        about = self.disputed.keys() | self.verdicts.keys() | {entry.backend for entry in asked}
        # Of the many that are well and asked about by nobody nothing is worked out.
        recent = [
            (max(seen.ok_at, seen.bad_at), id, seen)
            for id, seen in self.seen.items()
            if seen.bad_at > seen.ok_at or seen.pace > 2.9 or id in about
        ]
        recent.sort(key=lambda row: row[:2], reverse=True)
        entries = [self.entry(id, seen, now) for at, id, seen in recent if now - at < AGE]
        accused = [entry for entry in entries if entry.accuses]
        if len(accused) > WRONG * max(1, len(self.known)):
            accused = []
        others = [entry for entry in entries if not entry.accuses and entry.backend in about]
        told = {entry.backend for entry in accused + others}
        unknown = [] if asked else [Entry(id, 0, 0, NEVER, NEVER, 10) for id in sorted(about - told)]
        return (accused + others + unknown)[:ENTRIES]

    # ---- what is heard ----

    def rumour(self, witness: str, entries: list[Entry], now: int) -> None:
        """What is told unasked starts a dispute and never counts in it."""
        for entry in entries:
            if entry.backend in self.known and entry.accuses:
                self.rumours.setdefault(entry.backend, {})[witness] = now

    def hear(self, witness: str, entries: list[Entry], now: int) -> None:
        """What one that was asked tells replaces its earlier answers. Nothing to say is an answer, too."""
        self.rumour(witness, entries, now)
        fresh = [
            entry for entry in entries if entry.backend in self.known and min(entry.ok_age, entry.bad_age) * TENTH < AGE
        ]
        accused = {e.backend: now - min(e.ok_age, e.bad_age) * TENTH for e in fresh if e.accuses}
        if len(accused) > WRONG * max(1, len(self.known)):
            accused = {}
        good = {e.backend: now - e.ok_age * TENTH for e in fresh if not e.accuses}
        self.heard[witness] = now, accused, good

    # ---- verdicts ----

    def judge(self, now: int, others: int) -> None:
        """Draws the verdicts anew from all that counts now. others: members beside this one."""
        self.heard = {name: told for name, told in self.heard.items() if now - told[0] < HEARD}
        # One witness alone is no dispute: errors happen, and the whole fleet need not talk of them.
        own = {id for id, seen in self.seen.items() if 0 <= seen.bad_at > seen.ok_at and now - seen.bad_at < AGE}
        self.shocked = any(now - self.seen[id].bad_at < SHOCK for id in own)
        self.rumours = {
            id: kept
            for id, who in self.rumours.items()
            if (kept := {name: at for name, at in who.items() if now - at < HEARD})
        }
        self.disputed = {
            id: self.disputed.get(id, now) for id, who in self.rumours.items() if len(who) >= FEWEST or id in own
        }
        asked, reached = max(len(self.heard), min(others, SAMPLE)), list[tuple[float, int]]()
        for id in self.known:
            stands = id in self.verdicts and now - self.verdicts[id] < LONGEST
            if not stands and now - self.disputed.get(id, now) < ASKED:
                continue
            against, part = self.weigh(id, now - (RECENT if stands else AGE))
            floor = max(1, STILL * asked) if stands else max(FEWEST, FLOOR * asked)
            if against >= floor and part >= (STILL_PART if stands else PART):
                reached.append((-part - stands, id))
        left, verdicts = dict[str, int](), dict[int, int]()
        for known in self.known.values():
            left[known.zone] = left.get(known.zone, 0) + 1
        left = {zone: n // MOST_OUT for zone, n in left.items()}
        for _, id in sorted(reached):
            zone = self.known[id].zone
            if left[zone]:
                left[zone] -= 1
                since = self.verdicts.get(id, now)
                verdicts[id] = since if now - since < LONGEST else now
        self.verdicts = verdicts

    def weigh(self, id: int, since: int) -> tuple[int, float]:
        """How many of those asked accuse a backend of what they saw since then, and their part of those that
        saw it since, and since the dispute about it began."""
        against = sum(told[1].get(id, -1) >= since for told in self.heard.values())
        known_since = max(since, self.disputed.get(id, 0) - BEFORE)
        for_it = sum(told[2].get(id, -1) >= known_since for told in self.heard.values())
        return against, against / max(1, against + for_it)

    def advice(self, now: int, members: int) -> PeerEvidence:
        """Who is left out here, and who of these is probed in this slot. members: gateways with this one."""
        left_out, probed, slot = set[int](), set[int](), now // SLOT
        for id in self.verdicts:
            seen, index = self.seen.get(id), self.known[id].index
            if seen and seen.ok_at > seen.bad_at and now - seen.ok_at < OWN:
                continue  # it answers here
            chosen = slot_hash(self.name, id, slot) * members < PROBERS
            if chosen and self.tried.get(id, -1) < slot:
                probed.add(index)
            else:
                left_out.add(index)
        return PeerEvidence(frozenset(left_out), frozenset(probed))
