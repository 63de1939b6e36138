"""The next voters, the sizes of majorities and read quorums, and the register's records on disk."""

from configurations import example
from ward import each, test

from stoneyoke.api.configuration import Version, read_configuration
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.quorum import majority, read_quorum
from stoneyoke.consensus.record_formats import (
    legacy_register,
    promise_record,
    read_promise,
    read_register,
    register_record,
)
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet
from stoneyoke.consensus.voter_set import MemberReport, next_voters

A, B, C, D, E = (ReplicaId(name, "first") for name in "abcde")
LOST_AFTER_S = 2.0


def report(silent=None, leaving=(), learners=()):
    return MemberReport(silent or {}, frozenset(leaving), tuple(learners))


def version_of(number):
    return read_configuration(example(number)).version


@test("of read_quorum({voters}) voters one has what a majority of {voters} acknowledged; one fewer may all lack it")
def _(voters=each(1, 2, 3, 4, 5, 6, 7, 8, 9)):
    assert majority(voters) + read_quorum(voters) == voters + 1


@test("a voter that doesn't respond, shuts down or lost its disk is replaced by a learner, and by nothing else")
def _():
    abc = (A, B, C)
    assert next_voters(abc, report({C: 9.0}), 3, LOST_AFTER_S) == abc
    assert next_voters(abc, report({C: 1.0}, learners=[D]), 3, LOST_AFTER_S) == abc
    assert next_voters(abc, report({C: 2.1}, learners=[D, E]), 3, LOST_AFTER_S) == (A, B, D)
    assert next_voters(abc, report(leaving=[A], learners=[D]), 3, LOST_AFTER_S) == (B, C, D)
    assert next_voters(abc, report({C: 2.1}, leaving=[D], learners=[D]), 3, LOST_AFTER_S) == abc
    wiped = ReplicaId("c", "5e")
    assert next_voters(abc, report(learners=[D, wiped]), 3, LOST_AFTER_S) == (A, B, wiped)


@test("voters are added up to the configured number, never to an even one")
def _():
    abc = (A, B, C)
    assert next_voters(abc, report(learners=[D]), 5, LOST_AFTER_S) == abc
    assert next_voters(abc, report(learners=[D, E]), 5, LOST_AFTER_S) == (A, B, C, D, E)
    assert next_voters((A,), report(learners=[B]), 3, LOST_AFTER_S) == (A,)
    assert next_voters((A,), report(learners=[B, C]), 3, LOST_AFTER_S) == abc
    assert next_voters((A, B), report(learners=[C, D]), 3, LOST_AFTER_S) == abc
    five = (A, B, C, D, E)
    others = [ReplicaId(name, "5e") for name in "fg"]
    assert next_voters(five, report({D: 3.0, E: 4.0}, learners=others), 5, LOST_AFTER_S) == (A, B, C, *others)


@test("the register is read from its records as it was written, and from those of the previous release")
def _():
    version = version_of(5)
    accepted = Proposal(Ballot(7, "a/1"), RegisterValue(VoterSet(3, (A, B, D)), (A, B, C), version, example(5)))
    assert read_register(register_record(accepted)) == accepted
    assert read_promise(promise_record(Ballot(9, "b/2"))) == Ballot(9, "b/2")
    old = {b"number": b"2", b"names": b"a,b,c", b"standing": b"1", b"promised": b'[0, ""]', b"pending": b"null"}
    migrated = legacy_register(old, {b"body": example(5)}, version)
    assert migrated.value == RegisterValue(VoterSet(2, (A, B, C)), (), version, example(5))
    later = legacy_register(old, {b"body": example(6)}, version_of(6))
    assert later.ballot > migrated.ballot  # so that the replica with the highest version wins
    assert legacy_register(old | {b"standing": b"0"}, None, Version()) is None
