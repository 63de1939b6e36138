"""The decision logic of the consensus protocol: acceptor, round, change of voters, read, views."""

from dataclasses import replace

from ward import raises, test

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.acceptor import Acceptor
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.majority_read import MajorityRead, newest_view
from stoneyoke.consensus.proposal_round import Phase, ProposalRound
from stoneyoke.consensus.register_value import Proposal, RegisterValue, ReplicaId, VoterSet, initial_value
from stoneyoke.consensus.voter_groups import needed_groups

A, B, C, D = (ReplicaId(name, "first") for name in "abcd")
INITIAL = initial_value("cab")
INITIAL_VALUE = INITIAL.value
BALLOT_1, BALLOT_2, BALLOT_3 = (Ballot(number, "a.0") for number in (1, 2, 3))
VALUE_1, VALUE_2 = (replace(INITIAL_VALUE, version=Version(number, b"x"), body=b"x") for number in (1, 2))
JOINT_VALUE = RegisterValue(VoterSet(2, (A, B, D)), INITIAL_VALUE.voters.members)


def with_value_1(found):
    return replace(found, version=VALUE_1.version, body=VALUE_1.body)


def with_voters_abd(found):
    return replace(found, voters=JOINT_VALUE.voters)


def start_round(change=with_value_1, ballot=BALLOT_2, known=INITIAL, chosen_voters_number=1):
    return ProposalRound(ballot=ballot, known=known, chosen_voters_number=chosen_voters_number, change=change)


def report_promises(proposal_round, *voters, accepted=INITIAL):
    for voter in voters:
        proposal_round.on_promised(voter, accepted)
    return proposal_round


# ---- acceptor ----


@test("an acceptor refuses ballots below the one promised, and promises and accepts the same one again")
def _():
    acceptor = Acceptor()
    acceptor.promise(BALLOT_2)
    assert acceptor.may_promise(BALLOT_2) and acceptor.may_promise(BALLOT_3) and not acceptor.may_promise(BALLOT_1)
    assert acceptor.may_accept(BALLOT_2) and not acceptor.may_accept(BALLOT_1)


@test("accepting a proposal promises its ballot")
def _():
    acceptor = Acceptor()
    acceptor.accept(Proposal(BALLOT_2, VALUE_1))
    assert (
        acceptor.promised == BALLOT_2 and acceptor.accepted_ballot() == BALLOT_2 and not acceptor.may_promise(BALLOT_1)
    )


@test("an acceptor read from disk has promised the ballot that it accepted; an older promise changes nothing")
def _():
    acceptor = Acceptor(BALLOT_1, Proposal(BALLOT_2, VALUE_1))
    assert acceptor.promised == BALLOT_2
    acceptor.promise(BALLOT_1)
    assert acceptor.promised == BALLOT_2
    assert Acceptor(BALLOT_3, Proposal(BALLOT_2, VALUE_1)).promised == BALLOT_3


@test("an acceptor is behind a chosen proposal only if it has accepted an older one, or none")
def _():
    assert Acceptor().is_behind(INITIAL) and Acceptor().accepted_ballot() == NO_BALLOT
    assert Acceptor(BALLOT_3, Proposal(BALLOT_1, VALUE_1)).is_behind(Proposal(BALLOT_2, VALUE_2))
    assert not Acceptor(NO_BALLOT, Proposal(BALLOT_2, VALUE_1)).is_behind(Proposal(BALLOT_2, VALUE_1))
    assert not Acceptor(NO_BALLOT, Proposal(BALLOT_2, VALUE_1)).is_behind(Proposal(BALLOT_1, VALUE_2))


# ---- round ----


@test("a round needs a majority to prepare and one to be chosen")
def _():
    proposal_round = report_promises(start_round(), A)
    assert proposal_round.phase is Phase.PREPARE and proposal_round.addresses_to_ask() == {"a", "b", "c"}
    report_promises(proposal_round, A)
    assert proposal_round.phase is Phase.PREPARE
    report_promises(proposal_round, C)
    assert proposal_round.phase is Phase.ACCEPT and proposal_round.proposed_value == VALUE_1
    proposal_round.on_accepted(B)
    proposal_round.on_accepted(B)
    assert proposal_round.phase is Phase.ACCEPT
    with raises(AssertionError):
        proposal_round.chosen_proposal()
    proposal_round.on_accepted(A)
    assert proposal_round.chosen_proposal() == Proposal(BALLOT_2, VALUE_1)


@test("responses of replicas that don't vote, or of a member with another disk, don't count")
def _():
    proposal_round = report_promises(start_round(), A, D, ReplicaId("b", "new"))
    assert proposal_round.phase is Phase.PREPARE
    report_promises(proposal_round, B)
    for voter in (A, D, ReplicaId("b", "new")):
        proposal_round.on_accepted(voter)
    assert proposal_round.phase is Phase.ACCEPT


@test("a round builds on the value found with the highest ballot, not on the one that its process knew")
def _():
    proposal_round = start_round(change=lambda found: found, ballot=BALLOT_3, known=Proposal(BALLOT_1, VALUE_1))
    proposal_round.on_promised(A, Proposal(BALLOT_1, VALUE_1))
    proposal_round.on_promised(B, Proposal(BALLOT_2, VALUE_2))
    assert proposal_round.proposed_value == VALUE_2 and proposal_round.newest_found() == Proposal(BALLOT_2, VALUE_2)


@test("a response that arrives late, or for a lost round, changes nothing")
def _():
    proposal_round = report_promises(start_round(change=lambda found: found), A, B)
    proposal_round.on_promised(C, Proposal(BALLOT_1, VALUE_1))
    assert proposal_round.proposed_value == INITIAL_VALUE
    early = start_round()
    early.on_accepted(A)
    assert not early.acceptances
    early.on_refused(BALLOT_3)
    report_promises(early, A, B)
    assert early.phase is Phase.LOST and early.highest_refusal == BALLOT_3 and early.proposed_value is None


@test("a refusal after the value is chosen changes nothing")
def _():
    proposal_round = report_promises(start_round(), A, B)
    proposal_round.on_accepted(A)
    proposal_round.on_accepted(B)
    proposal_round.on_refused(BALLOT_3)
    assert proposal_round.phase is Phase.CHOSEN and proposal_round.highest_refusal == NO_BALLOT


# ---- change of voters ----


@test("a change of voters is chosen by a majority of both sets")
def _():
    proposal_round = report_promises(start_round(with_voters_abd), A, B)
    assert proposal_round.proposed_value == JOINT_VALUE and proposal_round.addresses_to_ask() == {"a", "b", "c", "d"}
    proposal_round.on_accepted(A)
    proposal_round.on_accepted(D)
    assert proposal_round.phase is Phase.ACCEPT
    proposal_round.on_accepted(C)
    assert proposal_round.phase is Phase.CHOSEN
    other = report_promises(start_round(with_voters_abd), A, B)
    other.on_accepted(B)
    other.on_accepted(C)
    assert other.phase is Phase.ACCEPT


@test("a round that finds newer voters also needs a majority of these")
def _():
    proposal_round = start_round(ballot=BALLOT_3)
    proposal_round.on_promised(B, INITIAL)
    proposal_round.on_promised(C, Proposal(BALLOT_2, JOINT_VALUE))
    assert proposal_round.phase is Phase.PREPARE and "d" in proposal_round.addresses_to_ask()
    proposal_round.on_promised(D, Proposal(BALLOT_2, JOINT_VALUE))
    assert proposal_round.phase is Phase.ACCEPT


@test("a change of voters that isn't known to be chosen stays joint, and no other one is begun on top of it")
def _():
    other = VoterSet(3, (A, D))
    proposal_round = start_round(lambda found: replace(found, voters=other, version=VALUE_1.version), ballot=BALLOT_3)
    report_promises(proposal_round, A, B, accepted=Proposal(BALLOT_2, JOINT_VALUE))
    assert proposal_round.proposed_value == replace(JOINT_VALUE, version=VALUE_1.version)


@test("a change of voters that is known to be chosen is no longer joint, and the next one builds on it")
def _():
    known = Proposal(BALLOT_2, JOINT_VALUE)
    proposal_round = start_round(ballot=BALLOT_3, known=known, chosen_voters_number=2)
    assert proposal_round.addresses_to_ask() == {"a", "b", "d"}
    report_promises(proposal_round, A, D, accepted=known)
    assert proposal_round.proposed_value == with_value_1(RegisterValue(JOINT_VALUE.voters))
    following = VoterSet(3, (A, D))
    after = start_round(lambda found: replace(found, voters=following), BALLOT_3, known, 2)
    report_promises(after, A, D, accepted=known)
    assert after.proposed_value == RegisterValue(following, JOINT_VALUE.voters.members)


@test("the previous voters are required until the new ones are known to be chosen")
def _():
    assert needed_groups(JOINT_VALUE, 1) == (JOINT_VALUE.voters.members, JOINT_VALUE.previous)
    assert needed_groups(JOINT_VALUE, 2) == (JOINT_VALUE.voters.members,)


# ---- reads ----


@test("a read returns only a value that a majority has accepted")
def _():
    read = MajorityRead(INITIAL, 1)
    read.on_response(A, Proposal(BALLOT_1, VALUE_1))
    assert not read.has_quorum() and read.chosen_proposal() is None
    read.on_response(B, INITIAL)
    assert read.has_quorum() and read.chosen_proposal() is None
    read.on_response(C, Proposal(BALLOT_1, VALUE_1))
    assert read.chosen_proposal() == Proposal(BALLOT_1, VALUE_1)


@test("a read of a change of voters needs a majority of both sets")
def _():
    read = MajorityRead(INITIAL, 1)
    changed = Proposal(BALLOT_1, JOINT_VALUE)
    read.on_response(A, changed)
    read.on_response(D, changed)
    assert read.addresses_to_ask() == {"a", "b", "c", "d"} and not read.has_quorum() and read.chosen_proposal() is None
    read.on_response(C, changed)
    assert read.chosen_proposal() == changed


@test("the responses of empty disks count for the quorum, but prove no value")
def _():
    read = MajorityRead(INITIAL, 1)
    read.on_response(A, None)
    read.on_response(B, None)
    assert read.has_quorum() and read.chosen_proposal() is None


# ---- views ----


@test(
    "the newest view is known once no majority can lack it, for a joint value also no majority of the previous voters"
)
def _():
    changed = Proposal(BALLOT_2, JOINT_VALUE)
    assert newest_view({}) is None
    assert newest_view({A: INITIAL}) is None
    assert newest_view({A: INITIAL, D: INITIAL}) is None
    assert newest_view({A: INITIAL, B: Proposal(BALLOT_1, VALUE_1)}) == Proposal(BALLOT_1, VALUE_1)
    assert newest_view({A: changed, D: changed}) is None
    assert newest_view({A: changed, D: changed, C: INITIAL}) == changed


@test("the initial value is the same whatever the order of the seeds")
def _():
    assert initial_value(("c", "b", "a", "a")) == INITIAL and INITIAL.ballot == NO_BALLOT
    assert INITIAL.value.voters == VoterSet(1, (A, B, C))
