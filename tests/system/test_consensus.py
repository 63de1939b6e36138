"""Acceptor, Round, Query and newest_view, one step at a time."""

from dataclasses import replace

from ward import raises, test

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import Ballot, NO_BALLOT
from stoneyoke.consensus.majority_read import MajorityRead, newest_view
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet, initial_value
from stoneyoke.consensus.voter_groups import needed_groups

A, B, C, D = (ReplicaId(name, "first") for name in "abcd")
FIRST = initial_value("cab")
VALUE = FIRST.value
ONE, TWO, THREE = (Ballot(number, "a.0") for number in (1, 2, 3))
R1, R2 = (replace(VALUE, version=Version(number, b"x"), body=b"x") for number in (1, 2))
JOINT = RegisterValue(VoterSet(2, (A, B, D)), VALUE.voters.members)


def to_r1(found):
    return replace(found, version=R1.version, body=R1.body)


def to_abd(found):
    return replace(found, voters=JOINT.voters)


def round_of(change=to_r1, ballot=TWO, known=FIRST, chosen_voters_number=1):
    return ProposalRound(ballot, known, chosen_voters_number, change)


def prepared(current, *voters, accepted=FIRST):
    for voter in voters:
        current.on_promised(voter, accepted)
    return current


# ---- acceptor ----


@test("an acceptor refuses ballots below the one promised, and takes the same one again")
def _():
    acceptor = Acceptor()
    acceptor.promise(TWO)
    assert acceptor.may_promise(TWO) and acceptor.may_promise(THREE) and not acceptor.may_promise(ONE)
    assert acceptor.may_accept(TWO) and not acceptor.may_accept(ONE)


@test("accepting a proposal promises its ballot")
def _():
    acceptor = Acceptor()
    acceptor.accept(Proposal(TWO, R1))
    assert acceptor.promised == TWO and acceptor.accepted_ballot() == TWO and not acceptor.may_promise(ONE)


@test("an acceptor read from disk has promised what it has accepted; an older promise lowers nothing")
def _():
    acceptor = Acceptor(ONE, Proposal(TWO, R1))
    assert acceptor.promised == TWO
    acceptor.promise(ONE)
    assert acceptor.promised == TWO
    assert Acceptor(THREE, Proposal(TWO, R1)).promised == THREE


@test("a chosen value is lacking only where an older one, or none, is accepted")
def _():
    assert Acceptor().is_behind(FIRST) and Acceptor().accepted_ballot() == NO_BALLOT
    assert Acceptor(THREE, Proposal(ONE, R1)).is_behind(Proposal(TWO, R2))
    assert not Acceptor(NO_BALLOT, Proposal(TWO, R1)).is_behind(Proposal(TWO, R1))
    assert not Acceptor(NO_BALLOT, Proposal(TWO, R1)).is_behind(Proposal(ONE, R2))


# ---- round ----


@test("a round needs a majority to prepare and one to be chosen")
def _():
    current = prepared(round_of(), A)
    assert current.phase is Phase.PREPARE and current.addresses_to_ask() == {"a", "b", "c"}
    prepared(current, A)
    assert current.phase is Phase.PREPARE
    prepared(current, C)
    assert current.phase is Phase.ACCEPT and current.proposed_value == R1
    current.on_accepted(B)
    current.on_accepted(B)
    assert current.phase is Phase.ACCEPT
    with raises(AssertionError):
        current.chosen_proposal()
    current.on_accepted(A)
    assert current.chosen_proposal() == Proposal(TWO, R1)


@test("whoever does not vote counts for nothing, nor a member with another disk")
def _():
    current = prepared(round_of(), A, D, ReplicaId("b", "new"))
    assert current.phase is Phase.PREPARE
    prepared(current, B)
    for voter in (A, D, ReplicaId("b", "new")):
        current.on_accepted(voter)
    assert current.phase is Phase.ACCEPT


@test("a round builds on the highest value found, not on what it knew")
def _():
    current = round_of(change=lambda found: found, ballot=THREE, known=Proposal(ONE, R1))
    current.on_promised(A, Proposal(ONE, R1))
    current.on_promised(B, Proposal(TWO, R2))
    assert current.proposed_value == R2 and current.newest_found() == Proposal(TWO, R2)


@test("an answer that comes late, or of a lost round, changes nothing")
def _():
    current = prepared(round_of(change=lambda found: found), A, B)
    current.on_promised(C, Proposal(ONE, R1))
    assert current.proposed_value == VALUE
    early = round_of()
    early.on_accepted(A)
    assert not early.acceptances
    early.on_refused(THREE)
    prepared(early, A, B)
    assert early.phase is Phase.LOST and early.highest_refusal == THREE and early.proposed_value is None


@test("a refusal after the decision takes nothing back")
def _():
    current = prepared(round_of(), A, B)
    current.on_accepted(A)
    current.on_accepted(B)
    current.on_refused(THREE)
    assert current.phase is Phase.CHOSEN and current.highest_refusal == NO_BALLOT


# ---- change of voters ----


@test("a change of voters is chosen by a majority of both sets")
def _():
    current = prepared(round_of(to_abd), A, B)
    assert current.proposed_value == JOINT and current.addresses_to_ask() == {"a", "b", "c", "d"}
    current.on_accepted(A)
    current.on_accepted(D)
    assert current.phase is Phase.ACCEPT
    current.on_accepted(C)
    assert current.phase is Phase.CHOSEN
    other = prepared(round_of(to_abd), A, B)
    other.on_accepted(B)
    other.on_accepted(C)
    assert other.phase is Phase.ACCEPT


@test("a round that finds newer voters asks a majority of these too")
def _():
    current = round_of(ballot=THREE)
    current.on_promised(B, FIRST)
    current.on_promised(C, Proposal(TWO, JOINT))
    assert current.phase is Phase.PREPARE and "d" in current.addresses_to_ask()
    current.on_promised(D, Proposal(TWO, JOINT))
    assert current.phase is Phase.ACCEPT


@test("an undecided change stays joint, and no other one is begun on it")
def _():
    other = VoterSet(3, (A, D))
    current = round_of(lambda found: replace(found, voters=other, version=R1.version), ballot=THREE)
    prepared(current, A, B, accepted=Proposal(TWO, JOINT))
    assert current.proposed_value == replace(JOINT, version=R1.version)


@test("a change known to be chosen is joint no more, and the next one builds on it")
def _():
    known = Proposal(TWO, JOINT)
    current = round_of(ballot=THREE, known=known, chosen_voters_number=2)
    assert current.addresses_to_ask() == {"a", "b", "d"}
    prepared(current, A, D, accepted=known)
    assert current.proposed_value == to_r1(RegisterValue(JOINT.voters))
    following = VoterSet(3, (A, D))
    after = round_of(lambda found: replace(found, voters=following), THREE, known, 2)
    prepared(after, A, D, accepted=known)
    assert after.proposed_value == RegisterValue(following, JOINT.voters.members)


@test("the voters before are asked until those after are known to be chosen")
def _():
    assert needed_groups(JOINT, 1) == (JOINT.voters.members, JOINT.previous)
    assert needed_groups(JOINT, 2) == (JOINT.voters.members,)


# ---- reads ----


@test("a read takes a value that a majority holds, and only that")
def _():
    query = MajorityRead(FIRST, 1)
    query.on_reply(A, Proposal(ONE, R1))
    assert not query.has_quorum() and query.chosen_proposal() is None
    query.on_reply(B, FIRST)
    assert query.has_quorum() and query.chosen_proposal() is None
    query.on_reply(C, Proposal(ONE, R1))
    assert query.chosen_proposal() == Proposal(ONE, R1)


@test("a read of a change of voters needs a majority of both sets")
def _():
    query = MajorityRead(FIRST, 1)
    changed = Proposal(ONE, JOINT)
    query.on_reply(A, changed)
    query.on_reply(D, changed)
    assert (
        query.addresses_to_ask() == {"a", "b", "c", "d"} and not query.has_quorum() and query.chosen_proposal() is None
    )
    query.on_reply(C, changed)
    assert query.chosen_proposal() == changed


@test("an empty disk's answer counts for no value")
def _():
    query = MajorityRead(FIRST, 1)
    query.on_reply(A, None)
    query.on_reply(B, None)
    assert query.has_quorum() and query.chosen_proposal() is None


# ---- views ----


@test("views are enough when no majority can lack them, of the voters before a change too")
def _():
    changed = Proposal(TWO, JOINT)
    assert newest_view({}) is None
    assert newest_view({A: FIRST}) is None
    assert newest_view({A: FIRST, D: FIRST}) is None
    assert newest_view({A: FIRST, B: Proposal(ONE, R1)}) == Proposal(ONE, R1)
    assert newest_view({A: changed, D: changed}) is None
    assert newest_view({A: changed, D: changed, C: FIRST}) == changed


@test("the seeds' first value is the same whatever their order")
def _():
    assert FIRST == initial_value(("c", "b", "a", "a")) and FIRST.ballot == NO_BALLOT
    assert FIRST.value.voters == VoterSet(1, (A, B, C))
