import random

from ward import test

from stoneyoke.controlplane.leases import STOP, TTL_S, LeaseGranter, LeaseHolder
from stoneyoke.controlplane.quorum import copies, majority
from stoneyoke.controlplane.instance_registry import Phase, InstanceRegistry, Row
from stoneyoke.controlplane.heartbeat_ring import watchers
from stoneyoke.controlplane.replica import VoterSet, ReplicaStatus, Replica
from stoneyoke.api.configuration import Version

ABC = VoterSet(1, ("a", "b", "c"))


def core(own, number=0, standing=True, crew=ABC):
    word = Replica(own)
    word.found(crew, standing, Version(number), b"x" if number else b"")
    return word


def votes(**numbers):
    return {name: ReplicaStatus(Version(number), ABC, True) for name, number in numbers.items()}


@test("of copies(n) voters one holds what majority(n) acknowledged; one fewer may miss it")
def _():
    for n in range(1, 10):
        assert majority(n) + copies(n) == n + 1


@test("a configuration is acknowledged once a majority of the voters holds it")
def _():
    word = core("a", 5)
    assert not word.kept(Version(5), {}) and not word.kept(Version(5), votes(b=4))
    assert word.kept(Version(5), votes(b=6)) and word.kept(Version(5), votes(b=1, c=5))


@test("who does not vote, or votes in another crew, counts for nothing")
def _():
    word = core("a", 5)
    assert not word.kept(Version(5), {"b": ReplicaStatus(Version(5), ABC, False)})
    assert not word.kept(Version(5), {"b": ReplicaStatus(Version(5), VoterSet(2, ABC.names), True)})
    assert not word.kept(Version(5), {"x": ReplicaStatus(Version(5), ABC, True)})
    assert not core("d", 5).kept(Version(5), votes(b=5))


@test("an empty disk does not vote until it has copied from enough others, its own copy aside")
def _():
    wiped = core("a", 0, standing=False)
    assert not wiped.may_stand(votes(b=3))  # c may hold what a and c had acknowledged
    assert not wiped.may_stand(votes(b=3, c=4))
    wiped.hold(Version(4), b"x")
    assert wiped.may_stand(votes(b=3, c=4))
    assert not wiped.may_stand(votes(b=3)) and not wiped.may_stand(
        {**votes(b=3), "x": ReplicaStatus(Version(9), ABC, True)}
    )


@test("five voters: an empty one needs three others")
def _():
    five = VoterSet(1, tuple("abcde"))
    wiped = Replica("a")
    wiped.found(five, False, Version(9), b"x")
    said = {name: ReplicaStatus(Version(1), five, True) for name in "bcd"}
    assert wiped.may_stand(said)
    said.pop("d")
    assert not wiped.may_stand(said)


@test("reading back takes enough voters that none stale suffices")
def _():
    word = core("a", 3)
    assert word.newest({}) is None and word.newest(votes(b=7)) == Version(7)
    assert core("d", 9, standing=False).newest(votes(b=1)) is None


@test("a number or list that is older changes nothing")
def _():
    word = core("a", 5)
    word.hold(Version(4), b"old")
    assert word.version == Version(5) and word.learn_crew(votes(b=9)) is None
    newer = VoterSet(2, ("a", "b", "d"))
    assert word.learn_crew({"d": ReplicaStatus(Version(1), newer, True)}) == newer


@test("a duty has one holder at most, whatever is lost, late, restarted or asked again")
def _():
    for seed in range(300):
        chance = random.Random(seed)
        names = ("a", "b", "c")
        grantors = {name: LeaseGranter(0.0, True) for name in names}
        tenures = {name: LeaseHolder() for name in names}
        lives = dict.fromkeys(names, 0)
        late, told, now = [], [], 0.0  # messages under way, and answers
        for _ in range(400):
            now += chance.expovariate(20)
            who = chance.choice(names)
            if chance.random() < 0.02:
                grantors[who] = LeaseGranter(now, False)
            if chance.random() < 0.02:
                tenures[who], lives[who] = LeaseHolder(), lives[who] + 1
                continue
            if chance.random() < 0.3:
                tenures[who].ask(now)
                for voter in names:
                    if chance.random() < 0.7:
                        asked_at = now + chance.random() * 0.3
                        late.append((asked_at, who, voter, now, lives[who], tenures[who].number))
            for item in sorted(one for one in late if one[0] <= now):
                late.remove(item)
                _, asker, voter, began, life, number = item
                ok, _, _ = grantors[voter].ask("duty", asker, f"{asker}-{life}", TTL_S, now, number)
                if chance.random() < 0.8:
                    told.append((now + chance.choice((0.0, 0.05, 1.5)) * chance.random(), asker, voter, ok, began))
            for item in sorted(one for one in told if one[0] <= now):
                told.remove(item)
                tenures[item[1]].answer(item[2], item[3], names, item[4], now)
            holders = [name for name in names if tenures[name].holds(now)]
            assert len(holders) <= 1, f"{seed} {now} {holders}"
    assert STOP < 1


def row(instance="i-1", seq=1, phase=Phase.READY, address="10.0.0.1:80", service="tide"):
    return Row(instance, address, service, "east", "v1", 2, int(phase), seq, 0.0)


@test("the order in which beats are heard does not matter, and what is gone stays gone")
def _():
    told = [row(seq=1), row(seq=2), row(seq=3, phase=Phase.DRAINING), row(seq=3, phase=Phase.GONE)]
    for seed in range(50):
        register, mixed = InstanceRegistry(5.0), told * 2
        random.Random(seed).shuffle(mixed)
        for one in mixed:
            register.hear(one, 1.0)
        assert register.records["i-1"].row.phase == Phase.GONE
        assert not register.hear(row(seq=9), 2.0) and register.records["i-1"].row.phase == Phase.GONE
    register = InstanceRegistry(5.0)
    assert register.hear(told[2], 1.0) and not register.hear(told[1], 1.1)
    assert register.records["i-1"].row.phase == Phase.DRAINING


@test("a beat that tells nothing new is no news; silence is, and so is a beat after it")
def _():
    register = InstanceRegistry(5.0)
    assert register.hear(row(seq=1), 0.0) and not register.hear(row(seq=2), 1.0)
    seq = register.seq
    register.sweep(5.5)
    assert register.since(seq, 5.5) == []
    register.sweep(6.5)
    assert [one.phase for one in register.since(seq, 6.5)] == [Phase.SILENT]
    assert register.hear(row(seq=3), 7.0) and register.records["i-1"].row.phase == Phase.READY


@test("a beat told again wakes a silent backend, never a gone one, and counts only forwards")
def _():
    register = InstanceRegistry(5.0)
    register.hear(row(seq=3), 0.0)
    assert not register.again("i-1", 3, 1.0) and not register.again("i-2", 9, 1.0)
    assert not register.again("i-1", 4, 4.0)
    register.sweep(8.0)
    assert register.records["i-1"].row.phase == Phase.READY  # heard at 4
    register.sweep(10.0)
    assert register.records["i-1"].row.phase == Phase.SILENT
    assert register.again("i-1", 5, 11.0) and register.records["i-1"].row.phase == Phase.READY
    register.leave("i-1", 12.0)
    assert not register.again("i-1", 9, 13.0) and register.records["i-1"].row.phase == Phase.GONE


@test("a new backend at an address makes the one before silent, not the other way round")
def _():
    register = InstanceRegistry(5.0)
    register.hear(row("i-1", 9), 0.0)
    register.hear(row("i-2", 1, service="quay"), 1.0)
    register.hear(row("i-1", 10), 1.1)  # late
    assert register.records["i-2"].row.phase == Phase.READY


@test("a gateway's watchers are the next cores on the ring, the same for all who work it out")
def _():
    cores = [f"10.0.0.{at}" for at in range(7)]
    for name in ("edge-1", "edge-2", "edge-3"):
        assert watchers(name, cores) == watchers(name, reversed(cores)) and len(set(watchers(name, cores))) == 2
    assert len({tuple(watchers(f"edge-{at}", cores)) for at in range(50)}) > 3
