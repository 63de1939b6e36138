"""A tenant's store as one keeper holds it, handed out in units to the gateways that count demand. No I/O.

Parts of a rate that gateways read for themselves, each at its own second, add up past the whole when demand moves,
lives restart or lists differ (RULES, QUOTA: the sum over all machines, cut-off ones too). So the part that a gateway
may use is handed to it, in units out of one store, by the demand that it tells.

A gateway that hears no keeper goes on by itself with the part of the rate, and of what the store held, that it was told
last. It counts what it so used and tells it when it is heard again; meanwhile the keeper takes off the store what
that gateway may be using, from when it was heard last, and gives back what it did not use. Parts that are told add
up to one at most: each fades while its gateway asks for nothing, at both ends alike, stands still from when the keeper
was heard last, and ends LEASE_S after that. So whoever is cut off, for however long and how often:

    units handed out + units used alone <= burst + rate x time

A new keeper knows no parts. It holds back all of the rate that those that it has not heard may be using: what those
that told it of theirs leave of the whole, or WIDEST even slices for each, whichever is less.

What comes on top, in one window, with E = excess (rate x window + burst) + slack being what the rule allows more:

    STOCK_S x rate             units handed out before and still held
    START E, RESERVE x burst   once a change of keeper: a new store's first units, the old one's told reserves
    FIRST E                    once a silence, over all gateways: what slices begin with where nothing was told
    UNTOLD E                   once a silence, of gateways that were told of no part or hardly any, in UNTOLD_S
    the even slices of new lives, which the parts that their earlier lives held mostly make up for"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant

STOCK_S = 0.25  # of its demand that a gateway holds in advance; whole units only, so thin demand holds none
SILENT_S = 0.7  # a gateway not heard for so long may be using its part
LEASE_S = 10.0  # so long after it heard a keeper last a gateway goes on with its part
FORGET_S = 15.0
LEARN_S = 1.0  # after which every gateway in touch has told a new keeper of its demand
FADE_S = 2.0  # counted demand halves in so long, and so does a part that was told
START = 0.3
FIRST = 0.2
RESERVE = 0.3  # of its part of what the store holds: what it was told is up to a round old
WIDEST = 4.0  # even slices that one gateway's part is at most
UNTOLD = 0.4  # of what the rule allows more
UNTOLD_S = 3.0
FEWEST = 8  # gateways that a new life counts with until it has been told how many there are


def faded(amount: float, for_s: float) -> float:
    """What is left of an amount after so many seconds of fading."""
    return amount * float(0.5 ** (max(0.0, for_s) / FADE_S))


@dataclass(slots=True)
class Seat:
    """A gateway's demand for one tenant, units a second, decayed, and what it was told that it may use alone."""

    demand: float = 0.0
    at: float = 0.0
    part: float = 0.0  # of the whole
    reserve: float = 0.0  # of the store
    told_at: float = 0.0
    used: float = 0.0  # alone, in all its life, as it told last
    lent: float = 0.0  # taken off the store for what it may be using unheard

    def count(self, units: float, now: float) -> None:
        self.demand = self.asks(now) + units
        self.at = now

    def asks(self, now: float) -> float:
        return faded(self.demand, now - self.at)

    def holds(self, heard_at: float) -> float:
        """The part that it may use if it is heard no more: it may have heard its last answer SILENT_S earlier."""
        return faded(self.part, heard_at - SILENT_S - self.told_at)


@dataclass(slots=True)
class Pool:
    """One tenant's store. Units; seconds. told: the sum of the parts that gateways held of an earlier keeper."""

    rate: float
    burst: float
    level: float  # under 0 where more is in use than was there
    at: float
    seats: dict[str, Seat] = field(default_factory=dict)
    told: float = 0.0

    def fill(self, withheld: float, silent: Mapping[str, float], now: float) -> None:
        """silent: gateways not heard of late, and since when."""
        self.level = min(self.burst, self.level + self.rate * (1 - withheld) * (now - self.at))
        self.at = now
        for name, heard_at in silent.items():
            if seat := self.seats.get(name):
                due = faded(seat.reserve, heard_at - SILENT_S - seat.told_at) + (
                    seat.holds(heard_at) * self.rate * min(now - heard_at, LEASE_S)
                )
                self.level -= due - seat.lent
                seat.lent = due

    def back(self, name: str) -> None:
        """It is heard again, and tells what it used."""
        if (seat := self.seats.get(name)) and seat.lent:
            self.level, seat.lent = min(self.burst, self.level + seat.lent), 0.0


def spare(rate: float, burst: float, bounds: ServiceBounds) -> float:
    """What the rule allows beyond the store in a window, in units."""
    return bounds.quota_excess_ratio * (rate * bounds.quota_window_s + burst) + bounds.quota_slack_units


class QuotaAllocator:
    """Holds the duty of the quotas: every tenant's store, since it has the duty. Nothing outlives it."""

    def __init__(self, bounds: ServiceBounds, now: float, expected: Iterable[str] = ()) -> None:
        """expected: gateways that may go on with parts that an earlier keeper told them."""
        self.bounds = bounds
        self.pools: dict[str, Pool] = {}
        self.heard = dict.fromkeys(expected, now - SILENT_S)  # gateways; emptied by forgetting
        self.unknown = set(self.heard)  # of them, those that have not told their parts yet
        self.incarnations: dict[str, str] = {}
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
        """This gateway's process has ended, so it uses nothing; what it used meanwhile nobody knows."""
        self.heard.pop(name, None)
        self.unknown.discard(name)
        for pool in self.pools.values():
            pool.seats.pop(name, None)

    def withheld(self, pool: Pool) -> float:
        """The part of the rate that those that have not told theirs yet may be using."""
        if not self.unknown:
            return 0.0
        return max(0.0, min(1 - pool.told, len(self.unknown) * self.widest()))

    def widest(self) -> float:
        return min(1.0, WIDEST / max(1, len(self.heard)))

    def silent(self, now: float) -> dict[str, float]:
        """Gateways not heard of late, and since when."""
        return {name: at for name, at in self.heard.items() if now - at > SILENT_S}

    def draw(
        self, name: str, incarnation: str, deaf_s: float, full: bool, wants: Iterable[QuotaDemand], now: float
    ) -> list[QuotaGrant]:
        """deaf_s: since it heard an answer. full: wants has a row of each part that it holds. Nothing is given
        to one that may not hear it, nor taken for told."""
        self.now = now
        if now - self.born > LEASE_S:
            self.unknown.clear()
        silent = self.silent(now)
        for pool in self.pools.values():
            if now - pool.at > 0.05:
                pool.fill(self.withheld(pool), silent, now)
        if self.incarnations.get(name, incarnation) != incarnation:  # what its earlier life was told ended with that
            self.gone(name)
        self.incarnations[name] = incarnation
        for late in [one for one, at in self.heard.items() if now - at > FORGET_S]:
            self.gone(late)
        if deaf_s > SILENT_S:
            return []
        wants = list(wants)
        if full and name in self.unknown:
            self.unknown.discard(name)
            for want in wants:
                if (told := self.pools.get(want.tenant)) is not None:
                    seat = told.seats.setdefault(name, Seat(at=now))
                    seat.used, seat.part, seat.told_at = want.isolated_units, want.share, now
                    told.told += want.share
        if now - self.heard.get(name, now) > SILENT_S:
            for pool in self.pools.values():
                pool.back(name)
        self.heard[name] = now
        silent = self.silent(now)
        return [self.give(name, want, silent, now) for want in wants]

    def give(self, name: str, asked: QuotaDemand, silent: Mapping[str, float], now: float) -> QuotaGrant:
        tenant, want, demand, used, _ = asked
        pool = self.pools.get(tenant)
        if pool is None:  # not limited here; a gateway with a newer configuration asks again
            return QuotaGrant(tenant, 0.0, 0.2, 0.0, 0.0)
        pool.fill(self.withheld(pool), silent, now)
        seat = pool.seats.setdefault(name, Seat(at=now))
        if name not in self.unknown:  # else it may have used it before this keeper was there
            pool.level -= max(0.0, used - seat.used)
        seat.used = max(seat.used, used)
        seat.count(min(max(0.0, demand), 1e6), now)
        total = held = 0.0
        for other, one in pool.seats.items():
            heard_at = self.heard.get(other, -1e9)
            if now - heard_at <= SILENT_S:
                total += one.asks(now)
            if other != name and now - heard_at <= LEASE_S:
                held += one.holds(heard_at)
        share = seat.asks(now) / total if total > 0 else 0.0
        if now - self.born < LEARN_S:  # not all have told their demand yet: the first would get it all
            share = min(share, 1 / max(1, len(self.heard)))
        seat.part = max(0.0, min(share, self.widest(), 1 - held - self.withheld(pool)))
        seat.told_at = now
        units = float(int(max(0.0, min(want, pool.level, max(1.0, pool.burst * share)))))
        pool.level -= units
        lack = max(0.0, 1 - pool.level)
        # Half of the time in which its part refills a unit: more would leave units, less asks for nothing.
        wait = 0.0 if units or want < 1 else max(lack, 0.5 / max(share, 0.02)) / pool.rate
        seat.reserve = RESERVE * seat.part * max(0.0, pool.level)
        return QuotaGrant(tenant, units, wait, seat.part, seat.reserve)


@dataclass(slots=True)
class LocalQuota:
    """What a gateway holds of one tenant's store, and what the keeper told of it."""

    level: float = 0.0
    shut_until: float = 0.0
    part: float = 0.0  # 0: none told yet
    reserve: float = 0.0  # units that a slice begins with when the keeper falls silent
    demand: float = 0.0  # since the keeper was told last
    pace: float = 0.0  # demand a second, decayed
    at: float = 0.0
    told_at: float = -1e9
    used: float = 0.0  # units used alone, in all this life
    used_told: float = 0.0

    def count(self, units: float, now: float) -> None:
        self.demand += units
        self.pace = faded(self.pace, now - self.at) + units * 0.693 / FADE_S
        self.at = now

    def left(self, heard_at: float, now: float) -> tuple[float, float]:
        """The part and the reserve that are its own while no keeper is heard, heard_at being when one was last."""
        if now - heard_at > LEASE_S:
            return 0.0, 0.0
        return faded(self.part, heard_at - self.told_at), faded(self.reserve, heard_at - self.told_at)

    def take(self, units: float) -> bool:
        if self.level < units:
            return False
        self.level -= units
        return True

    def want(self, waiting: float) -> float:
        """Units to ask for: for those that wait, and what its demand uses in STOCK_S."""
        return waiting + float(int(self.pace * STOCK_S))

    def hear(self, grant: QuotaGrant, now: float) -> None:
        self.level += grant.units
        self.part, self.reserve, self.told_at = grant.share, grant.reserve_units, now
        if grant.units > 0:
            self.shut_until = 0.0
        elif grant.wait_s > 0:
            self.shut_until = now + grant.wait_s


def wants_of(
    local_quotas: Mapping[str, LocalQuota], waiting: Mapping[str, int], heard_at: float, full: bool, now: float
) -> list[QuotaDemand]:
    """What a gateway asks for and tells, a row for each tenant of whom there is something to tell."""
    wants = []
    for tenant, local_quota in local_quotas.items():
        asks, (part, _) = waiting.get(tenant, 0), local_quota.left(heard_at, now)
        if (
            asks
            or local_quota.demand
            or local_quota.used > local_quota.used_told
            or full
            and (part > 0.005 or local_quota.used)
        ):
            want = local_quota.want(asks) if now >= local_quota.shut_until else 0.0
            wanted = max(0.0, want - local_quota.level)
            wants.append(QuotaDemand(tenant, wanted, local_quota.demand, local_quota.used, part))
            local_quota.demand = 0.0
    return wants
