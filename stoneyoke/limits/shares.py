"""A tenant's store as one keeper holds it, handed out in units to the gateways that count demand. No I/O.

Parts of a rate that gateways read for themselves, each at its own second, add up past the whole when demand moves,
lives restart or lists differ (RULES, QUOTA: the sum over all machines, cut-off ones too). So the part that a gateway
may use is handed to it, in units out of one store, by the demand that it tells. Bound of what is sent in a window W,
with rate r, burst b, N gateways:

    r W + b                    what the one store gives in W
    + STOCK_S r                units handed out before and still held
    + START E                  once a change of keeper, E = excess (r W + b) + slack being what the rule allows more
    + FIRST E                  once a silence, over all gateways: what slices begin with where nothing was told

A gateway that hears no keeper goes on with what it was told: its part of the rate, and of what the store held. That
is the same store's, so it adds nothing, as long as nobody else hands it out: the keeper keeps back the parts of those
it does not hear before they begin to use them (SILENT_S < DEAF_S), and a new one begins with START alone."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

STOCK_S = 0.25  # of its demand that a gateway holds in advance; whole units only, so thin demand holds none
SILENT_S = 0.7  # a gateway not heard for so long: its part is kept back
DEAF_S = 1.0  # a gateway that hears no keeper for so long goes on with its part
FORGET_S = 15.0
LEARN_S = 1.0  # after which every gateway in touch has told a new keeper of its demand
FADE_S = 2.0  # counted demand halves in so long
RESERVED_MOST = 0.5
START = 0.15
FIRST = 0.25
RESERVE = 0.35  # of its part of what the store holds: what it was told is up to a round old
FRESH_S = 4.0
FEWEST = 8  # gateways that a new life counts with until it has been told how many there are


@dataclass(slots=True)
class Seat:
    """A gateway's demand for one tenant: units a second, decayed."""

    demand: float = 0.0
    at: float = 0.0
    part: float = 0.0  # of the whole, as it was told last
    reserve: float = 0.0  # of the store, as it was told last

    def count(self, units: float, now: float) -> None:
        self.demand = self.faded(now) + units
        self.at = now

    def faded(self, now: float) -> float:
        return self.demand * float(0.5 ** ((now - self.at) / FADE_S))


@dataclass(slots=True)
class Pool:
    """One tenant's store. Units; seconds."""

    rate: float
    burst: float
    level: float
    at: float
    seats: dict[str, Seat] = field(default_factory=dict)

    def fill(self, kept_back: float, now: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (1 - kept_back) * (now - self.at))
        self.at = now


def spare(rate: float, burst: float, bounds: Mapping[str, float]) -> float:
    """What the rule allows beyond the store in a window, in units."""
    return bounds["quota_excess"] * (rate * bounds["quota_window_s"] + burst) + bounds["quota_slack"]


class Keeper:
    """Holds the duty of the quotas: every tenant's store, since it has the duty. Nothing outlives it."""

    def __init__(self, bounds: Mapping[str, float], now: float, expected: Iterable[str] = ()) -> None:
        """expected: gateways that may go on with parts that an earlier keeper told them."""
        self.bounds = bounds
        self.pools: dict[str, Pool] = {}
        self.heard = {name: now - SILENT_S for name in expected}  # gateways; emptied by forgetting
        self.lives: dict[str, str] = {}
        self.now = self.born = now
        self.told: Any = None

    def plans(self, tenants: Iterable[Mapping[str, Any]]) -> None:
        """The configuration's tenants. A changed store keeps its level, at most up to the new burst."""
        if tenants is self.told:
            return
        self.told, found = tenants, {}
        for tenant in tenants:
            label, rate, burst = tenant["label"], tenant["rate_per_s"], tenant["burst_size"]
            if rate <= 0:
                continue
            pool = self.pools.get(label)
            if pool is None:
                start = START * spare(rate, burst, self.bounds)
                pool = Pool(rate, burst, min(max(1.0, burst), start), self.now)
            pool.rate, pool.burst = rate, max(1.0, burst)
            pool.level = min(pool.level, pool.burst)
            found[label] = pool
        self.pools = found

    def gone(self, name: str) -> None:
        """This gateway's process has ended, so it uses nothing."""
        self.heard.pop(name, None)
        for pool in self.pools.values():
            pool.seats.pop(name, None)

    def kept_back(self, pool: Pool, now: float) -> float:
        """The parts of those not heard of late: they may go on with them."""
        silent = [name for name, at in self.heard.items() if now - at > SILENT_S]
        if not silent:
            return 0.0
        for name in silent:  # what it was told that it may use is not handed out again
            if seat := pool.seats.get(name):
                pool.level, seat.reserve = max(0.0, pool.level - seat.reserve), 0.0
        even = 1 / max(1, len(self.heard))
        return min(RESERVED_MOST, sum(
            pool.seats[name].part if name in pool.seats else even for name in silent))

    def draw(self, name: str, life: str, deaf_s: float, wants: Iterable[tuple[str, float, float, float]],
             now: float) -> list[tuple[str, float, float, float, float]]:
        """wants: tenant, units wanted, demand since the last time, units held. Returns what signals.Drawn tells."""
        for pool in self.pools.values():
            if now - pool.at > 0.05:
                pool.fill(self.kept_back(pool, now), now)
        if self.lives.get(name, life) != life:  # what its earlier life was told ended with that
            self.gone(name)
        self.lives[name] = life
        if deaf_s <= SILENT_S:
            self.heard[name] = now
        for late in [one for one, at in self.heard.items() if now - at > FORGET_S]:
            self.gone(late)
        self.now = now
        return [self.give(name, *want, now) for want in wants]

    def give(self, name: str, tenant: str, want: float, demand: float, held: float,
             now: float) -> tuple[str, float, float, float, float]:
        pool = self.pools.get(tenant)
        if pool is None:  # not limited here; a gateway with a newer configuration asks again
            return tenant, 0.0, 0.2, 0.0, 0.0
        kept_back = self.kept_back(pool, now)
        pool.fill(kept_back, now)
        seat = pool.seats.setdefault(name, Seat(at=now))
        seat.count(min(max(0.0, demand), 1e6), now)
        # Parts of what is not kept back for those that may still use theirs: together they are never over the whole.
        total = sum(one.faded(now) for other, one in pool.seats.items() if now - self.heard.get(other, -1e9) <= SILENT_S
                    or other == name)
        seat.part = (1 - kept_back) * seat.faded(now) / total if total > 0 else 0.0
        if now - self.born < LEARN_S:  # not all have told their demand yet: the first would get it all
            seat.part = min(seat.part, 1 / max(1, len(self.heard)))
        units = float(int(max(0.0, min(want, pool.level, max(1.0, pool.burst * seat.part)))))
        pool.level -= units
        lack = max(0.0, 1 - pool.level)
        # Half of the time in which its part refills a unit: more would leave units, less asks for nothing.
        wait = 0.0 if units or want < 1 else max(lack, 0.5 / max(seat.part, 0.02)) / pool.rate
        seat.reserve = RESERVE * seat.part * pool.level
        return tenant, units, wait, seat.part, seat.reserve


@dataclass(slots=True)
class Purse:
    """What a gateway holds of one tenant's store, and what the keeper told of it."""

    level: float = 0.0
    shut_until: float = 0.0
    part: float = 0.0  # 0: none told yet
    reserve: float = 0.0  # units that a slice begins with when the keeper falls silent
    demand: float = 0.0  # since the keeper was told last
    pace: float = 0.0  # demand a second, decayed
    at: float = 0.0
    told_at: float = 0.0

    def count(self, units: float, now: float) -> None:
        self.demand += units
        self.pace = self.pace * float(0.5 ** ((now - self.at) / FADE_S)) + units * 0.693 / FADE_S
        self.at = now

    def left(self, heard_at: float) -> float:
        """Units that a slice begins with, heard_at being when the keeper was heard last: what was told long before
        that may be used up. (Told anew each round, it was half of all bytes between zones with 75 gateways.)"""
        return self.reserve if heard_at - self.told_at < FRESH_S else 0.0

    def take(self, units: float) -> bool:
        if self.level < units:
            return False
        self.level -= units
        return True

    def want(self, waiting: float) -> float:
        """Units to ask for: for those that wait, and what its demand uses in STOCK_S."""
        return waiting + float(int(self.pace * STOCK_S))

    def hear(self, units: float, wait: float, part: float, reserve: float, now: float) -> None:
        self.level += units
        self.part, self.reserve, self.told_at = part, reserve, now
        if units > 0:
            self.shut_until = 0.0
        elif wait > 0:
            self.shut_until = now + wait
