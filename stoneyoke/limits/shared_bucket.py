"""A customer's bucket that all its gateways share through the counter: keys, amounts, what a total means. No I/O.

Times are whole microseconds.

The counter only adds amounts up by key. A customer's key changes with each epoch. Its total is the sum of a marker, the
units that the bucket lacked when the key was opened, and the units of each RPC forwarded since. Time tells what was
refilled:

    level = burst + rate * (time since the epoch began) - (total - marker)

A total without its marker is of a key that is not opened yet, or of lost counts: it says nothing about the level, and
the key is opened anew. So lost counts give a customer one burst more at most, and none where a ceiling rests on its
bucket.
"""

import math
from collections.abc import Generator
from typing import NamedTuple, Protocol

from stoneyoke.limits.token_bucket import SECOND

EPOCH_US = 40 * SECOND  # a key lives for 60 s at most, and is read for a moment after its epoch
KEY_TTL_US = 60 * SECOND
EPOCH_OFFSETS = 97  # customers change their keys at so many different moments
MARKER_FACTOR = 64  # of what an epoch can give: a total holds seven digits, so a hundredth of a unit still shows
OVERFLOW_RATIO = 0.5  # of the burst: what a full bucket may hold over it; a smaller one would take more calls
CEILING_OVERFLOW_RATIO = 0.25  # the same under a ceiling; a larger one would leave less of the ceiling to share
KEY_MULTIPLIER = 0x9E3779B97F4A7C15
KEY_EPOCH_MULTIPLIER = 0xD1B54A32D192ED03
KEY_INCREMENT = 0x632BE59BD9B4E019

# Counter calls, one after the other: yields the key and the amount, is sent the total (nan: none) and the time.
CounterExchange = Generator[tuple[int, float], tuple[float, int], None]


class CustomerLimits(Protocol):
    """A customer's quota and its ceiling, in units and units a second. A ceiling's rate of 0 stands for none."""

    @property
    def rate(self) -> float:
        """Units a second of the quota."""

    @property
    def burst(self) -> float:
        """Units that the quota holds at most."""

    @property
    def ceiling_rate(self) -> float:
        """Units a second of the ceiling."""

    @property
    def ceiling_burst(self) -> float:
        """Units that the ceiling holds at most."""


class CeilingShare(NamedTuple):
    """A gateway's share of a customer's ceiling: units a second, and units at once."""

    rate: float
    burst: float


class SharedBucket:
    """One customer's shared bucket, as this gateway heard of it last.

    The bucket is closed until `closed_until`: it was found too low for an RPC, and is not asked again before.
    """

    def __init__(self, limits: CustomerLimits, customer_id: int, even_share: float, mean_units: float) -> None:
        """Counts as full until a total is heard.

        Args:
            limits: The customer's quota and ceiling.
            customer_id: The customer, the same at all gateways.
            even_share: One gateway's even share of the customer's rate, 0 to 1.
            mean_units: Mean cost of an RPC.
        """
        self.rate, self.burst, self.customer_id = limits.rate, limits.burst, customer_id
        self.has_ceiling = limits.ceiling_rate > 0
        self.epoch_offset_us = customer_id % EPOCH_OFFSETS * EPOCH_US // EPOCH_OFFSETS
        self.marker = MARKER_FACTOR * (limits.burst + limits.rate * EPOCH_US / SECOND)
        self.level, self.level_at = limits.burst, 0
        self.next_query_at, self.opened_at = 0, -SECOND
        # An empty one is asked at twice the pace at which its even share refills, however many RPCs come: all
        # gateways together then still find each RPC's worth of units. Half of a whole refill's time at most.
        self.query_interval_us = int(min(mean_units / even_share, limits.burst) / limits.rate / 2 * SECOND)

    def counter_key(self, now: int, epochs_back: int = 0) -> int:
        """The counter's key for this epoch, or for an earlier one."""
        epoch = (now + self.epoch_offset_us) // EPOCH_US - epochs_back
        return (self.customer_id * KEY_MULTIPLIER + epoch * KEY_EPOCH_MULTIPLIER + KEY_INCREMENT) % 2**64

    def refilled_units(self, now: int) -> float:
        """What the bucket has given since the epoch began, its first burst included, were it never full."""
        return self.burst + self.rate * ((now + self.epoch_offset_us) % EPOCH_US) / SECOND

    def marker_count(self, total: float) -> int:
        """How many gateways have opened the key that has this total."""
        return round(total / self.marker) if math.isfinite(total) else 0

    def level_from_total(self, total: float, now: int) -> float | None:
        """The level that this epoch's total means, which may exceed the burst; None: it says nothing."""
        return self.refilled_units(now) - (total - self.marker) if self.marker_count(total) == 1 else None

    def open_epoch(self, now: int, reads_last_epoch: bool) -> CounterExchange:
        """Opens this epoch's key, for a gateway that finds it without its marker.

        Of several gateways that open it at once, all but the first see the others' markers and take theirs back.

        Args:
            now: In microseconds.
            reads_last_epoch: Whether it asks for the last epoch's total first, and takes the level over from there.

        Yields:
            A key and the amount to add to it.
        """
        if now - self.opened_at < SECOND:
            return
        self.opened_at, key, last_total = now, self.counter_key(now), math.nan
        if reads_last_epoch:
            last_total, now = yield self.counter_key(now, 1), 0.0
        if self.counter_key(now) == key:
            amount = self.opening_amount(last_total, now)
            total, now = yield key, amount
            if self.marker_count(total) > 1:
                yield key, -amount

    def opening_amount(self, last_total: float, now: int) -> float:
        """What opens this epoch's key, given the last epoch's total (nan: not known)."""
        if self.marker_count(last_total) == 1:
            level = self.refilled_units(now) + self.rate * EPOCH_US / SECOND - (last_total - self.marker)
        else:
            level = 0.0 if self.has_ceiling else self.burst
        return self.marker + self.refilled_units(now) - min(self.burst, level)

    def overflow(self, level: float) -> float:
        """Units that a full bucket could not hold and that are to be added to the total, 0 if they are few.

        Adding them takes a call, so it is done only for many. Under a ceiling for fewer: what is left of that is shared
        among the gateways.
        """
        over = level - self.burst
        ratio = CEILING_OVERFLOW_RATIO if self.has_ceiling else OVERFLOW_RATIO
        return over if over > self.burst * ratio else 0.0

    def record_level(self, level: float, units: float, now: int) -> None:
        """Takes the level before an RPC of so many units: it gets them, or the bucket is closed for a while."""
        self.level, self.level_at = min(self.burst, level), now
        if level >= units:
            self.level -= units
        else:
            self.next_query_at = now + self.query_interval_us

    def max_level(self, now: int) -> float:
        """The level can be no higher, whatever the other gateways did; units that they gave back aside."""
        return min(self.burst, self.level + self.rate * (now - self.level_at) / SECOND)


def ceiling_share(limits: CustomerLimits, even_share: float, largest_units: float, own_index: int) -> CeilingShare:
    """This gateway's share of what the shared bucket can't use up of a ceiling, for RPCs that it does not hold.

    Where an even share holds none of the largest RPCs, as many gateways as can hold a whole one get a share each: a
    customer's gateways have consecutive indices, so each knows by its own whether it is one of them.

    Args:
        limits: The customer's quota and ceiling.
        even_share: One gateway's even share of the customer's rate, 0 to 1.
        largest_units: Cost of the largest RPC.
        own_index: Index of this gateway.
    """
    rate = limits.ceiling_rate - limits.rate
    burst = limits.ceiling_burst - (1 + CEILING_OVERFLOW_RATIO) * limits.burst
    if rate <= 0 or burst <= 0:
        return CeilingShare(0.0, 0.0)
    if burst * even_share >= largest_units:
        return CeilingShare(rate * even_share, burst * even_share)
    sharing_gateways = int(burst / largest_units) - 1  # one less: the indices may wrap around the last gateway
    gateways = round(1 / even_share)
    if (
        sharing_gateways < 1
        or (own_index + 1) * sharing_gateways // gateways == own_index * sharing_gateways // gateways
    ):
        return CeilingShare(0.0, 0.0)
    return CeilingShare(rate / (sharing_gateways + 1), burst / (sharing_gateways + 1))
