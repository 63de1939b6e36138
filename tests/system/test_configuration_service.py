"""The result of replacing the configuration, given a chosen value."""

from configurations import example
from ward import test

from stoneyoke.api.calls import Acknowledged, Rejected
from stoneyoke.api.configuration import read_configuration
from stoneyoke.consensus.register_value import RegisterValue, ReplicaId, VoterSet
from stoneyoke.controlplane.configuration_service import apply_replacements, outcome_of

VOTERS = VoterSet(1, tuple(ReplicaId(name, "first") for name in "abc"))


def configuration(number, change=None):
    return read_configuration(example(number, change))


def other_content(configuration):
    configuration.update(limits=None)


def register_with(number):
    return RegisterValue(VOTERS, version=configuration(number).version, body=example(number))


@test("the highest number wins, a lower one changes nothing, and the content of a number never changes")
def _():
    found = register_with(5)
    assert apply_replacements((configuration(4), configuration(5, other_content)), found) is found
    assert apply_replacements((configuration(7), configuration(6)), found).version == configuration(7).version
    first, second = configuration(8), configuration(8, other_content)
    assert apply_replacements((first, second), found).body == first.body
    assert apply_replacements((second, first), found).body == second.body


@test("a replacement that is sent again, or is older than the chosen configuration, is acknowledged")
def _():
    chosen = register_with(5)
    assert outcome_of(configuration(5), chosen) == Acknowledged()
    assert outcome_of(configuration(4), chosen) == Acknowledged()


@test("other content under the chosen number is a conflict, and a higher number is undecided")
def _():
    chosen = register_with(5)
    conflict = outcome_of(configuration(5, other_content), chosen)
    assert isinstance(conflict, Rejected) and conflict.status == 409 and conflict.field == "generation"
    assert outcome_of(configuration(6), chosen) is None
