import random

from configurations import example
from ward import test

from stoneyoke.api.calls import Acknowledged, Rejected
from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.controlplane.configuration_service import apply_replacements, outcome_of
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.controlplane.heartbeat_ring import watchers
from stoneyoke.controlplane.instance_registry import InstanceRegistry, Phase
from stoneyoke.transport.messages import InstanceRow
from stoneyoke.controlplane.leases import HOLDER_TTL_FRACTION, LEASE_TTL_S, GrantRequest, LeaseGranter, LeaseHolder
from stoneyoke.consensus.quorum import read_quorum, majority
from stoneyoke.consensus.record_formats import (
    promise_record,
    legacy_register,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.voter_set import MemberReport, next_voters
from stoneyoke.lab.simulation.seeded_defects import seeded

A, B, C, D, E = (ReplicaId(name, "first") for name in "abcde")
LOST_S = 2.0


def report(silent=None, leaving=(), learners=()):
    return MemberReport(silent or {}, frozenset(leaving), tuple(learners))


@test("of read_quorum(n) voters one holds what majority(n) acknowledged; one fewer may miss it")
def _():
    for n in range(1, 10):
        assert majority(n) + read_quorum(n) == n + 1


def ordered(number, change=None):
    return read_configuration(example(number, change))


@test("the highest number ordered wins, an older one changes nothing, and one number keeps its first content")
def _():
    found = RegisterValue(VoterSet(1, (A, B, C)), version=ordered(5).version, body=example(5))
    other = ordered(5, lambda c: c.update(limits=None))
    assert apply_replacements((ordered(4), other), found) is found
    assert apply_replacements((ordered(7), ordered(6)), found).version == ordered(7).version
    first, second = ordered(8), ordered(8, lambda c: c.update(limits=None))
    assert apply_replacements((first, second), found).body == first.body
    assert apply_replacements((second, first), found).body == second.body


@test(
    "an order sent again is acknowledged, one that is overtaken too, and only another content of its number conflicts"
)
def _():
    chosen = RegisterValue(VoterSet(1, (A, B, C)), version=ordered(5).version, body=example(5))
    assert outcome_of(ordered(5), chosen) == Acknowledged() == outcome_of(ordered(4), chosen)
    conflict = outcome_of(ordered(5, lambda c: c.update(limits=None)), chosen)
    assert isinstance(conflict, Rejected) and conflict.status == 409 and conflict.path == "generation"
    assert outcome_of(ordered(6), chosen) is None


@test("a voter that is silent, leaves or lost its disk gives its place to a learner, and to nobody else")
def _():
    abc = (A, B, C)
    assert next_voters(abc, report({C: 9.0}), 3, LOST_S) == abc
    assert next_voters(abc, report({C: 1.0}, learners=[D]), 3, LOST_S) == abc
    assert next_voters(abc, report({C: 2.1}, learners=[D, E]), 3, LOST_S) == (A, B, D)
    assert next_voters(abc, report(leaving=[A], learners=[D]), 3, LOST_S) == (B, C, D)
    assert next_voters(abc, report({C: 2.1}, leaving=[D], learners=[D]), 3, LOST_S) == abc
    wiped = ReplicaId("c", "5e")
    assert next_voters(abc, report(learners=[D, wiped]), 3, LOST_S) == (A, B, wiped)


@test("voters are added up to their wanted number, never to an even one")
def _():
    abc = (A, B, C)
    assert next_voters(abc, report(learners=[D]), 5, LOST_S) == abc
    assert next_voters(abc, report(learners=[D, E]), 5, LOST_S) == (A, B, C, D, E)
    assert next_voters((A,), report(learners=[B]), 3, LOST_S) == (A,)
    assert next_voters((A,), report(learners=[B, C]), 3, LOST_S) == abc
    assert next_voters((A, B), report(learners=[C, D]), 3, LOST_S) == abc
    five = (A, B, C, D, E)
    others = [ReplicaId(name, "5e") for name in "fg"]
    assert next_voters(five, report({D: 3.0, E: 4.0}, learners=others), 5, LOST_S) == (A, B, C, *others)


@test("the register comes back from its records as it was written, and from those of the release before")
def _():
    version = ordered(5).version
    accepted = Proposal(Ballot(7, "a/1"), RegisterValue(VoterSet(3, (A, B, D)), (A, B, C), version, example(5)))
    assert read_register(register_record(accepted)) == accepted
    assert read_promise(promise_record(Ballot(9, "b/2"))) == Ballot(9, "b/2")
    old = {b"number": b"2", b"names": b"a,b,c", b"standing": b"1", b"promised": b'[0, ""]', b"pending": b"null"}
    held = legacy_register(old, {b"body": example(5)}, version)
    assert held.value == RegisterValue(VoterSet(2, (A, B, C)), (), version, example(5))
    later = legacy_register(old, {b"body": example(6)}, ordered(6).version)
    assert later.ballot > held.ballot  # of the copies the highest version goes first
    assert legacy_register(old | {b"standing": b"0"}, None, Version()) is None


def ask(lease_name, holder, incarnation, round_number, ttl_s=LEASE_TTL_S):
    return GrantRequest(
        lease_name=lease_name, holder=holder, incarnation=incarnation, ttl_s=ttl_s, round_number=round_number
    )


@test("a duty has one holder at most, whatever is lost, late, restarted or asked again")
def _():
    for seed in range(300):
        random_source = random.Random(seed)
        names = ("a", "b", "c")
        grantors = {name: LeaseGranter(0.0, True) for name in names}
        tenures = {name: LeaseHolder() for name in names}
        incarnations = dict.fromkeys(names, 0)
        late, told, now = [], [], 0.0  # messages under way, and answers
        for _ in range(400):
            now += random_source.expovariate(20)
            who = random_source.choice(names)
            if random_source.random() < 0.02:
                grantors[who] = LeaseGranter(now, False)
            if random_source.random() < 0.02:
                tenures[who], incarnations[who] = LeaseHolder(), incarnations[who] + 1
                continue
            if random_source.random() < 0.3:
                tenures[who].start_round(now)
                for voter in names:
                    if random_source.random() < 0.7:
                        asked_at = now + random_source.random() * 0.3
                        late.append((asked_at, who, voter, now, incarnations[who], tenures[who].round_number))
            for item in sorted(one for one in late if one[0] <= now):
                late.remove(item)
                _, asker, voter, began, incarnation, number = item
                ok = grantors[voter].request(ask("role", asker, f"{asker}-{incarnation}", number), now).granted
                if random_source.random() < 0.8:
                    told.append(
                        (now + random_source.choice((0.0, 0.05, 1.5)) * random_source.random(), asker, voter, ok, began)
                    )
            for item in sorted(one for one in told if one[0] <= now):
                told.remove(item)
                _, candidate, voter, granted, round_started_at = item
                if granted:
                    tenures[candidate].record_grant(voter, names, round_started_at)
            holders = [name for name in names if tenures[name].is_held(now)]
            assert len(holders) <= 1, f"{seed} {now} {holders}"
    assert HOLDER_TTL_FRACTION < 1


def late_release_changes_nothing():
    """A release of an older round comes after a newer grant: the grant stands."""
    granter = LeaseGranter(0.0, True)
    granter.request(ask("quotas", "a", "life", 2), 1.0)
    granter.request(ask("quotas", "a", "life", 1, ttl_s=0.0), 1.1)
    return not granter.request(ask("quotas", "b", "other", 1), 1.2).granted


def restarted_voter_waits():
    """It may have granted in the life before: it grants nothing until that has run out."""
    granter = LeaseGranter(0.0, False)
    request = ask("quotas", "b", "other", 1)
    early = granter.request(request, 0.9 * LEASE_TTL_S)
    return not early.granted and granter.request(request, LEASE_TTL_S).granted


@test("a late release and a restart free no lease that still runs; each defect of these is seen")
def _():
    for holds, defect in (
        (late_release_changes_nothing, "gives_back_late"),
        (restarted_voter_waits, "grants_after_start"),
    ):
        assert holds()
        with seeded(defect):
            assert not holds(), defect


def row(instance="i-1", seq=1, phase=Phase.READY, address="10.0.0.1:80", service="tide"):
    return InstanceRow(instance, address, service, "east", "v1", 2, int(phase), seq, 0.0)


@test("the order in which beats are heard does not matter, and what is gone stays gone")
def _():
    told = [row(seq=1), row(seq=2), row(seq=3, phase=Phase.DRAINING), row(seq=3, phase=Phase.GONE)]
    for seed in range(50):
        register, mixed = InstanceRegistry(5.0), told * 2
        random.Random(seed).shuffle(mixed)
        for one in mixed:
            register.merge(one, 1.0)
        assert register.records["i-1"].row.phase == Phase.GONE
        assert not register.merge(row(seq=9), 2.0) and register.records["i-1"].row.phase == Phase.GONE
    register = InstanceRegistry(5.0)
    assert register.merge(told[2], 1.0) and not register.merge(told[1], 1.1)
    assert register.records["i-1"].row.phase == Phase.DRAINING


@test("a beat that tells nothing new is no news; silence is, and so is a beat after it")
def _():
    register = InstanceRegistry(5.0)
    assert register.merge(row(seq=1), 0.0) and not register.merge(row(seq=2), 1.0)
    seq = register.seq
    register.sweep(5.5)
    assert register.changes_since(seq, 5.5) == []
    register.sweep(6.5)
    assert [one.phase for one in register.changes_since(seq, 6.5)] == [Phase.SILENT]
    assert register.merge(row(seq=3), 7.0) and register.records["i-1"].row.phase == Phase.READY


@test("a beat told again wakes a silent backend, never a gone one, and counts only forwards")
def _():
    register = InstanceRegistry(5.0)
    register.merge(row(seq=3), 0.0)
    assert not register.refresh("i-1", 3, 1.0) and not register.refresh("i-2", 9, 1.0)
    assert not register.refresh("i-1", 4, 4.0)
    register.sweep(8.0)
    assert register.records["i-1"].row.phase == Phase.READY  # heard at 4
    register.sweep(10.0)
    assert register.records["i-1"].row.phase == Phase.SILENT
    assert register.refresh("i-1", 5, 11.0) and register.records["i-1"].row.phase == Phase.READY
    register.leave("i-1", 12.0)
    assert not register.refresh("i-1", 9, 13.0) and register.records["i-1"].row.phase == Phase.GONE


@test("a new backend at an address makes the one before silent, not the other way round")
def _():
    register = InstanceRegistry(5.0)
    register.merge(row("i-1", 9), 0.0)
    register.merge(row("i-2", 1, service="quay"), 1.0)
    register.merge(row("i-1", 10), 1.1)  # late
    assert register.records["i-2"].row.phase == Phase.READY


@test("a gateway's watchers are the next cores on the ring, the same for all who work it out")
def _():
    cores = [f"10.0.0.{at}" for at in range(7)]
    for name in ("edge-1", "edge-2", "edge-3"):
        assert watchers(name, cores) == watchers(name, reversed(cores)) and len(set(watchers(name, cores))) == 2
    assert len({tuple(watchers(f"edge-{at}", cores)) for at in range(50)}) > 3
