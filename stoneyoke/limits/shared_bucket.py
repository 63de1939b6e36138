"""A customer's bucket that all its gateways share through the counter: keys, amounts, what a total means. No I/O.

Times are whole microseconds.

The counter only adds up amounts by key. A customer's key changes with each epoch. Its total is the sum of a marker, the
units missing from the bucket when the key was opened, and the units of each RPC forwarded since. The refill follows
from the time:

    level = burst + rate * (time since the epoch began) - (total - marker)

A total without its marker belongs to a key that is not opened yet, or to a counter that lost values: the level is
unknown, and the key is opened again. So lost counts give a customer at most one burst more, and none if the bucket also
enforces a ceiling.
"""

import math
from collections.abc import Generator
from typing import NamedTuple, Protocol

from stoneyoke.limits.token_bucket import SECOND

EPOCH_US = 40 * SECOND  # shorter than a key's life of 60 s: a key is still read just after its epoch
KEY_TTL_US = 60 * SECOND
EPOCH_OFFSETS = 97  # number of different times at which customers change their keys
MARKER_FACTOR = 64  # times what an epoch can give: a total has seven digits, so a hundredth of a unit still shows
OVERFLOW_RATIO = 0.5  # of the burst: excess that a full bucket may have; a smaller one would take more counter calls
CEILING_OVERFLOW_RATIO = 0.25  # the same under a ceiling; a larger one would leave less of the ceiling to share
KEY_MULTIPLIER = 0x9E3779B97F4A7C15
KEY_EPOCH_MULTIPLIER = 0xD1B54A32D192ED03
KEY_INCREMENT = 0x632BE59BD9B4E019

# Consecutive counter calls: yields the key and the amount, and is sent the total (NaN: no reply) and the time.
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
    """One customer's shared bucket, as of the last total that this gateway received.

    After the bucket was found too low for an RPC, the counter is not queried again before `next_query_at`.
    """

    def __init__(self, limits: CustomerLimits, customer_id: int, even_share: float, mean_units: float) -> None:
        """Starts as full, until a total is received.

        Args:
            limits: The customer's quota and ceiling.
            customer_id: The customer's number, the same at all gateways.
            even_share: One gateway's even share of the customer's rate, 0 to 1.
            mean_units: Mean cost of an RPC.
        """
        self.rate, self.burst, self.customer_id = limits.rate, limits.burst, customer_id
        self.has_ceiling = limits.ceiling_rate > 0
        self.epoch_offset_us = customer_id % EPOCH_OFFSETS * EPOCH_US // EPOCH_OFFSETS
        self.marker = MARKER_FACTOR * (limits.burst + limits.rate * EPOCH_US / SECOND)
        self.level, self.level_at = limits.burst, 0
        self.next_query_at, self.opened_at = 0, -SECOND
        # An empty bucket is queried twice in the time in which the even share refills one RPC's units, however many
        # RPCs come: so all gateways together still find each RPC's units. At most half of the time of a whole refill.
        self.query_interval_us = int(min(mean_units / even_share, limits.burst) / limits.rate / 2 * SECOND)

    def counter_key(self, now: int, epochs_back: int = 0) -> int:
        """Returns the counter's key for this epoch, or for an earlier one."""
        epoch = (now + self.epoch_offset_us) // EPOCH_US - epochs_back
        return (self.customer_id * KEY_MULTIPLIER + epoch * KEY_EPOCH_MULTIPLIER + KEY_INCREMENT) % 2**64

    def refilled_units(self, now: int) -> float:
        """Returns the units available since the epoch began, the initial burst included, if it was never full."""
        return self.burst + self.rate * ((now + self.epoch_offset_us) % EPOCH_US) / SECOND

    def marker_count(self, total: float) -> int:
        """Returns how many gateways have opened the key that has this total."""
        return round(total / self.marker) if math.isfinite(total) else 0

    def level_from_total(self, total: float, now: int) -> float | None:
        """Returns the level that this epoch's total means, which may exceed the burst; None if it is unknown."""
        return self.refilled_units(now) - (total - self.marker) if self.marker_count(total) == 1 else None

    def open_epoch(self, now: int, reads_last_epoch: bool) -> CounterExchange:
        """Opens this epoch's key, for a gateway that finds it without its marker.

        Of several gateways that open it at once, all but the first see the others' markers and subtract their own.

        Args:
            now: In microseconds.
            reads_last_epoch: Whether it reads the last epoch's total first, and continues from that level.

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
        """Returns the amount that opens this epoch's key, given the last epoch's total (NaN: unknown)."""
        if self.marker_count(last_total) == 1:
            level = self.refilled_units(now) + self.rate * EPOCH_US / SECOND - (last_total - self.marker)
        else:
            level = 0.0 if self.has_ceiling else self.burst
        return self.marker + self.refilled_units(now) - min(self.burst, level)

    def overflow(self, level: float) -> float:
        """Returns the units above the burst that are to be added to the total, 0 while they are few.

        Adding them takes a counter call, so it is done only for many. Under a ceiling it is done for fewer, because the
        gateways share what this leaves of the ceiling.
        """
        over = level - self.burst
        ratio = CEILING_OVERFLOW_RATIO if self.has_ceiling else OVERFLOW_RATIO
        return over if over > self.burst * ratio else 0.0

    def record_level(self, level: float, units: float, now: int) -> None:
        """Records the level before an RPC of so many units: it gets them, or queries pause for a while."""
        self.level, self.level_at = min(self.burst, level), now
        if level >= units:
            self.level -= units
        else:
            self.next_query_at = now + self.query_interval_us

    def max_level(self, now: int) -> float:
        """Returns the highest possible level, whatever the other gateways used; units they gave back are ignored."""
        return min(self.burst, self.level + self.rate * (now - self.level_at) / SECOND)


def ceiling_share(limits: CustomerLimits, even_share: float, largest_units: float, own_index: int) -> CeilingShare:
    """Returns this gateway's share of what the shared bucket leaves of a ceiling, for RPCs admitted without the bucket.

    Where an even share is smaller than the largest RPC, only as many gateways get a share as can each have room for a
    whole one. A customer's gateways have consecutive indices, so each knows from its own whether it is one of them.

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
