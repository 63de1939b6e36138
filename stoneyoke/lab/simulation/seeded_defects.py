"""Defects seeded into the logic, one at a time, to see that trials or the exhaustive check find each of them. A defect
that nothing finds means that the trials are weak."""

import contextlib
import zlib
from collections.abc import Callable, Iterator
from typing import Any

from stoneyoke.controlplane import voter_set, leases, controller, instance_registry, replica
from stoneyoke.controlplane.quorum import copies
from stoneyoke.api.calls import Acknowledged
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.limits import shares
from stoneyoke.gateway import admission, config_sync, instance_directory
from stoneyoke.transport.messages import FetchResponse, FetchRequest

Patch = tuple[Any, str, Any]


def quorum_short() -> list[Patch]:
    """A majority that is one short."""

    def short(voters: int) -> int:
        return max(1, voters // 2)

    return [(replica, "majority", short), (controller, "majority", short)]


def copies_short() -> list[Patch]:
    """One answer too few before what was acknowledged counts as known."""

    def short(voters: int) -> int:
        return max(1, (voters + 1) // 2 - 1)

    return [(replica, "copies", short), (instance_directory, "copies", short)]


def wiped_votes() -> list[Patch]:
    """A core whose disk is empty votes at once."""
    real = replica.Replica.sure

    def sure(self: replica.Replica, crew_told: replica.VoterSet) -> bool:
        done = real(self, crew_told)
        self.standing = self.own in self.crew.names
        return done

    return [(replica.Replica, "sure", sure)]


def own_copy_counts() -> list[Patch]:
    """A core that lost its disk counts what it holds itself among the copies."""

    def may_stand(self: replica.Replica, votes: dict[str, replica.ReplicaStatus]) -> bool:
        newest = self.newest(votes | {self.own: replica.ReplicaStatus(self.version, self.crew, True)})
        return self.own in self.crew.names and not self.standing and newest is not None and self.version >= newest

    def newest(self: replica.Replica, votes: dict[str, replica.ReplicaStatus]) -> Version | None:
        heard = [votes[name].version for name in self.crew.names if name in votes and votes[name].standing]
        return max(heard) if heard and len(heard) >= copies(len(self.crew.names)) else None

    return [(replica.Replica, "may_stand", may_stand), (replica.Replica, "newest", newest)]


def ack_before_sync() -> list[Patch]:
    """A record counts before it is synced."""
    from stoneyoke.lab.simulation.network import SimulatedRecordStore

    return [(SimulatedRecordStore, "sync", lambda self, path: None)]


def no_folder_of_crew() -> list[Patch]:
    """Who votes is kept in memory only."""

    async def keep_crew(self: controller.Controller) -> None:
        self.changed()

    return [(controller.Controller, "keep_crew", keep_crew)]


def lease_unfenced() -> list[Patch]:
    """A holder believes in its lease for twice as long as voters do."""
    return [(leases, "STOP", 2.0)]


def grants_after_start() -> list[Patch]:
    """A voter that has just started grants at once."""
    real = leases.LeaseGranter.__init__

    def init(self: leases.LeaseGranter, now: float, fresh: bool) -> None:
        real(self, now, True)

    return [(leases.LeaseGranter, "__init__", init)]


def counts_from_answer() -> list[Patch]:
    """A holder counts its lease from when the grants came, not from before it asked."""
    real = leases.LeaseHolder.answer

    def answer(
        self: leases.LeaseHolder, voter: str, ok: bool, names: tuple[str, ...], began: float, now: float
    ) -> None:
        real(self, voter, ok, names, began, now)
        if self.until > now:
            self.until = now + leases.TTL_S

    return [(leases.LeaseHolder, "answer", answer)]


def alone_not_told() -> list[Patch]:
    """What gateways use alone is never counted."""
    real = shares.QuotaAllocator.give

    def give(self: shares.QuotaAllocator, name: str, wants: shares.Want, silent: Any, now: float) -> shares.Give:
        return real(self, name, (wants[0], wants[1], wants[2], 0.0, wants[4]), silent, now)

    return [(shares.QuotaAllocator, "give", give)]


def silent_not_lent() -> list[Patch]:
    """What silent gateways may be using is not taken off the store."""
    real = shares.Pool.fill

    def fill(self: shares.Pool, withheld: float, silent: Any, now: float) -> None:
        real(self, withheld, {}, now)

    return [(shares.Pool, "fill", fill)]


def new_keeper_trusts() -> list[Patch]:
    """A new keeper holds nothing back for gateways that it has not heard."""
    return [(shares.QuotaAllocator, "withheld", lambda self, pool: 0.0)]


def new_keeper_full() -> list[Patch]:
    """A new keeper's stores begin full."""
    return [(shares, "START", 20.0)]


def parts_over_one() -> list[Patch]:
    """Parts are told by demand alone, whatever others hold; each is floored at half of the even one."""
    real = shares.QuotaAllocator.give

    def give(self: shares.QuotaAllocator, name: str, wants: shares.Want, silent: Any, now: float) -> shares.Give:
        tenant, units, wait, part, reserve = real(self, name, wants, silent, now)
        return tenant, units, wait, max(part, 0.9), max(reserve, 10.0)

    return [(shares.QuotaAllocator, "give", give)]


def part_for_ever() -> list[Patch]:
    """A gateway's part has no end, though its keeper counts on one."""

    def left(self: shares.LocalQuota, heard_at: float, now: float) -> tuple[float, float]:
        return (self.part, self.reserve) if self.part else (0.5, 0.0)

    return [(shares.LocalQuota, "left", left)]


def pull_from_one() -> list[Patch]:
    """A gateway is caught up as soon as one core has answered."""

    def caught_up(self: instance_directory.InstanceDirectory, now: float) -> Any:
        heard = [one.news for one in self.sources.values() if one.news]
        return max((Version(*news.stamp) for news in heard), default=None)

    return [(instance_directory.InstanceDirectory, "caught_up", caught_up)]


def goes_back() -> list[Patch]:
    """A gateway takes whatever configuration it is told."""

    async def fetch(self: config_sync.ConfigSync, name: str) -> None:
        bill = await self.wires[name].call(FetchRequest(), 1.0)
        if isinstance(bill, FetchResponse) and bill.body:
            chart = read_configuration(zlib.decompress(bill.body))
            self.version = chart.version
            self.take(chart)

    async def pull(self: config_sync.ConfigSync, name: str) -> None:
        await real(self, name)
        news = self.roster.sources[name].news
        if news and news.stamp[0] and Version(*news.stamp) != self.version:
            await fetch(self, name)

    real = config_sync.ConfigSync.pull
    return [(config_sync.ConfigSync, "pull", pull)]


def drain_at_one() -> list[Patch]:
    """A drain is acknowledged once the core that was asked knows it, and told to nobody."""

    async def spread(self: controller.Controller, row: Any, instance: str) -> Any:
        return Acknowledged()

    async def beats(self: controller.Controller, rows: Any) -> None:
        pass

    return [(controller.Controller, "spread", spread), (controller.Controller, "tell_beats", beats)]


def drain_forgotten() -> list[Patch]:
    """A new tenant at a drained record's address makes it a silent one."""

    def evict(self: instance_registry.InstanceRegistry, row: Any, now: float) -> None:
        for other in self.records.values():
            if (
                other.row.address == row.address
                and other.row.instance != row.instance
                and (other.row.phase < instance_registry.Phase.GONE)
            ):
                other.row = other.row._replace(phase=int(instance_registry.Phase.SILENT))
                self.changed(other)

    return [(instance_registry.InstanceRegistry, "evict", evict)]


def empty_crew() -> list[Patch]:
    """A list of no voters is taken on."""

    async def replace(self: controller.Controller, chart: Any) -> Any:
        for peer in self.peers.values():
            if peer.vote and peer.vote.crew.number > self.word.crew.number:
                self.word.sure(replica.VoterSet(peer.vote.crew.number, ()))
        return await real(self, chart)

    real = controller.Controller.replace
    return [(controller.Controller, "replace", replace)]


def change_left() -> list[Patch]:
    """A change of voters that was left half way waits for whoever has the duty."""
    return [(controller, "UNRULED_S", 1e9)]


def votes_through_change() -> list[Patch]:
    """Who has accepted a new list of voters goes on voting under the old one."""
    return [(replica.Replica, "votes", replica.Replica.member)]


def accepts_any() -> list[Patch]:
    """A voter accepts lists of voters whatever it has promised, and rounds propose their own wish."""

    def accept(self: replica.Replica, number: int, ballot: Any, names: tuple[str, ...]) -> bool:
        if number != self.crew.number + 1 or not self.member():
            return False
        self.promised, self.pending = ballot, (ballot, names)
        return True

    return [
        (replica.Replica, "accept", accept),
        (voter_set, "to_propose", lambda wish, replies: wish),
        (controller, "to_propose", lambda wish, replies: wish),
    ]


def takes_part_again() -> list[Patch]:
    """A core that lost its disk takes part in changes of voters at once."""
    from stoneyoke.lab.simulation import exhaustive

    return [(controller, "ABSTAIN_S", 0.0), (exhaustive, "ABSTAINS", False)]


def gives_back_late() -> list[Patch]:
    """A round of asking for a duty has no number: a late one that gives back undoes a newer grant."""
    real = leases.LeaseGranter.ask

    def ask(self: leases.LeaseGranter, duty: str, holder: str, life: str, ttl_s: float, now: float, number: int) -> Any:
        return real(self, duty, holder, life, ttl_s, now, 0)

    return [(leases.LeaseGranter, "ask", ask)]


def first_whole() -> list[Patch]:
    """Each gateway that falls silent begins with what all together may."""
    return [(admission, "FIRST", 6.0), (shares, "FIRST", 6.0)]


SEEDED_DEFECTS: dict[str, Callable[[], list[Patch]]] = {
    make.__name__: make
    for make in (
        quorum_short,
        copies_short,
        wiped_votes,
        own_copy_counts,
        ack_before_sync,
        no_folder_of_crew,
        lease_unfenced,
        grants_after_start,
        counts_from_answer,
        alone_not_told,
        silent_not_lent,
        new_keeper_trusts,
        new_keeper_full,
        parts_over_one,
        part_for_ever,
        pull_from_one,
        goes_back,
        drain_at_one,
        drain_forgotten,
        empty_crew,
        change_left,
        votes_through_change,
        accepts_any,
        takes_part_again,
        gives_back_late,
        first_whole,
    )
}


@contextlib.contextmanager
def seeded(name: str) -> Iterator[None]:
    """The logic with this defect; with none where the name is empty."""
    patches = SEEDED_DEFECTS[name]() if name else []
    before = [(home, field, getattr(home, field)) for home, field, _ in patches]
    for home, field, other in patches:
        setattr(home, field, other)
    try:
        yield
    finally:
        for home, field, other in before:
            setattr(home, field, other)
