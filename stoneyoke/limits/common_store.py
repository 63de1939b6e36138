"""A customer's store as all its gateways keep it in the counter: names, amounts, what a total tells. No I/O.

The counter only adds up by name. A customer's name changes with each epoch; under it stand a mark, what the
store lacked when the name was opened, and the units of each RPC sent on since. Time tells what was refilled:

    level = burst + rate * (time since the epoch began) - (total - mark)

A total without its mark is of a name not opened yet, or of lost counts: it tells nothing and the name is
opened anew. So lost counts give a customer one burst more at most, none where a ceiling rests on its store.
"""

import math
from collections.abc import Generator

from stoneyoke.control.parameters import Plan

SECOND = 1_000_000
EPOCH = 40 * SECOND  # a name lives for 60 s at most, and is read for a moment after its epoch
LIFE = 60 * SECOND
# Names and amounts of counter calls, one after the other, each told the last one's total and the time.
Talk = Generator[tuple[int, float], tuple[float, int], None]
MARK = 64  # in what an epoch can give: a total holds seven digits, so a hundredth of a unit still shows


SPILL = 0.5  # of the burst: what a full store may hold over it; less would take more calls
GUARDED_SPILL = 0.25  # of the burst; more would leave less of the ceiling to be parted


class SharedBucket:
    """One customer's common store, as this gateway heard of it last."""

    def __init__(self, plan: Plan, account: int, even: float, lump: float) -> None:
        self.rate, self.burst, self.account = plan.rate, plan.burst, account
        self.guards = plan.ceiling_rate > 0
        self.phase = account % 97 * EPOCH // 97  # customers don't all change their names at once
        self.mark = MARK * (plan.burst + plan.rate * EPOCH / SECOND)
        self.level, self.heard_at, self.shut_until, self.opened_at = plan.burst, 0, 0, -SECOND
        # An empty one is asked at twice the pace at which its even part refills, however many come: all
        # gateways together then still find each RPC's worth of units. Half of a whole refill's time at most.
        self.shut_us = int(min(lump / even, plan.burst) / plan.rate / 2 * SECOND)

    def name(self, now: int, back: int = 0) -> int:
        epoch = (now + self.phase) // EPOCH - back
        return (self.account * 0x9E3779B97F4A7C15 + epoch * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) % 2**64

    def given(self, now: int) -> float:
        """What the store has given since the epoch began, its first burst included, were it never full."""
        return self.burst + self.rate * ((now + self.phase) % EPOCH) / SECOND

    def marks(self, total: float) -> int:
        return round(total / self.mark) if math.isfinite(total) else 0

    def read(self, total: float, now: int) -> float | None:
        """The level that this epoch's total tells, maybe over the burst; None: it tells nothing."""
        return self.given(now) - (total - self.mark) if self.marks(total) == 1 else None

    def open(self, now: int, looks_back: bool) -> Talk:
        """Whoever finds this epoch's name without its mark opens it, told the last one's total if it looks
        back. Of several at once all but the first see that, and take theirs back."""
        if now - self.opened_at < SECOND:
            return
        self.opened_at, name, last = now, self.name(now), math.nan
        if looks_back:
            last, now = yield self.name(now, 1), 0.0
        if self.name(now) == name:
            amount = self.opening(last, now)
            total, now = yield name, amount
            if self.marks(total) > 1:
                yield name, -amount

    def opening(self, last: float, now: int) -> float:
        """What opens this epoch's name, told the last one's total."""
        if self.marks(last) == 1:
            level = self.given(now) + self.rate * EPOCH / SECOND - (last - self.mark)
        else:
            level = 0.0 if self.guards else self.burst
        return self.mark + self.given(now) - min(self.burst, level)

    def spilt(self, level: float) -> float:
        """What a full store did not take in and has to be taken off: in few calls, so only when it is much.
        Under a ceiling less: what is left of that is parted among the gateways."""
        over = level - self.burst
        return over if over > self.burst * (GUARDED_SPILL if self.guards else SPILL) else 0.0

    def hear(self, level: float, units: float, now: int) -> None:
        """Told the level before an RPC of so many units: they are taken, or the store is shut for a while."""
        self.level, self.heard_at = min(self.burst, level), now
        if level >= units:
            self.level -= units
        else:
            self.shut_until = now + self.shut_us

    def most(self, now: int) -> float:
        """The level can be no higher, whatever the others did; what was given back aside."""
        return min(self.burst, self.level + self.rate * (now - self.heard_at) / SECOND)


def guarded_share(plan: Plan, even: float, largest: float, own: int) -> tuple[float, float]:
    """Rate and burst of this gateway's part of what the common store can't use up of a ceiling, for RPCs that
    it does not hold. Where an even part takes none of the largest RPCs, as many gateways as can have a whole
    one do: a customer's gateways stand in a row, so by their numbers they all know which."""
    rate, burst = plan.ceiling_rate - plan.rate, plan.ceiling_burst - (1 + GUARDED_SPILL) * plan.burst
    if rate <= 0 or burst <= 0:
        return 0.0, 0.0
    if burst * even >= largest:
        return rate * even, burst * even
    holders, row = int(burst / largest) - 1, round(1 / even)  # one less: the row may go round the last number
    if holders < 1 or (own + 1) * holders // row == own * holders // row:
        return 0.0, 0.0
    return rate / (holders + 1), burst / (holders + 1)
