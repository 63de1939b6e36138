from ward import test

from stoneyoke.api.configuration import Version
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.gateway.instance_directory import REACHABLE_S, REMOVE_SILENT_S, InstanceDirectory
from stoneyoke.transport.messages import BallotRow, InstanceRow, MemberRow, PullResponse, ValueRow, VersionRow

VOTERS = ("a", "b", "c")


def pull_response(  # noqa: PLR0913 -- fields of a message, by keyword, each with a default
    number=1,
    rows=(),
    complete=False,
    disk="first",
    instances_synced=True,
    seq=1,
    lease_holder="",
    membership_version=1,
    gateways=(),
    incarnation="l",
    name="a",
    voters_number=1,
    voters=VOTERS,
    previous=(),
):
    """Returns a response of the controller `name`.

    Its newest value has configuration `number` and voter set `voters_number`, and its ballot increases with both.
    """
    members = [MemberRow(one, "first") for one in voters]
    before = [MemberRow(one, "first") for one in previous]
    ballot = BallotRow(number + 10 * voters_number, "p")
    version = VersionRow(number, b"x")
    return PullResponse(
        incarnation=incarnation,
        seq=seq,
        complete=complete,
        instances=list(rows),
        replica=MemberRow(name, disk),
        view_ballot=ballot,
        view=ValueRow(voters_number, members, before, version, b""),
        chosen_ballot=ballot,
        version=version,
        instances_synced=instances_synced,
        lease_holder=lease_holder,
        leaving=False,
        zone="east",
        membership_version=membership_version,
        controllers=[],
        gateways=list(gateways),
    )


def row(seq=1, phase=Phase.READY, instance="i-1"):
    return InstanceRow(instance, "10.0.0.9:80", "tide", "east", "v1", 2, int(phase), seq, 0.0)


@test("a gateway is not caught up from one controller, but from a majority of synced voters")
def _():
    directory = InstanceDirectory(("a", "b", "c"))
    assert directory.caught_up(0.0) is None
    directory.apply_pull("a", pull_response(3), 0.0)
    assert directory.caught_up(0.1) is None
    directory.apply_pull("b", pull_response(5, name="b", disk="5e"), 0.1)
    assert directory.caught_up(0.1) is None  # with another disk it is another member, and not a voter
    directory.apply_pull("b", pull_response(5, name="b", instances_synced=False), 0.1)
    assert directory.caught_up(0.1) is None  # it may lack an acknowledged drain
    directory.apply_pull("b", pull_response(5, name="b"), 0.1)
    assert directory.caught_up(0.1) == Version(5, b"x") and directory.newest()[1] == "b"
    assert directory.caught_up(0.1 + REACHABLE_S) is None


@test("only the newest voters count, and during a voter change a majority of both voter sets is needed")
def _():
    directory = InstanceDirectory(("a", "d"))
    directory.apply_pull("a", pull_response(3), 0.0)
    directory.apply_pull("d", pull_response(3, name="d"), 0.0)
    assert directory.caught_up(0.0) is None
    directory.apply_pull("d", pull_response(3, name="d", voters_number=2, voters=("a", "c", "d")), 0.0)
    assert directory.caught_up(0.0) == Version(3, b"x")
    directory.apply_pull(
        "d", pull_response(3, name="d", voters_number=3, voters=("a", "d", "e"), previous=("b", "c", "d")), 0.0
    )
    assert directory.caught_up(0.0) is None  # of the previous voters, only d is reachable
    directory.apply_pull("c", pull_response(3, name="c", voters_number=2, voters=("a", "c", "d")), 0.0)
    assert directory.caught_up(0.0) == Version(3, b"x")


@test("a drain reported by one controller overrides reports of others, and an instance that is gone stays gone")
def _():
    directory = InstanceDirectory(("a", "b"))
    directory.apply_pull("a", pull_response(rows=[row(5, Phase.DRAINING)]), 0.0)
    directory.apply_pull("b", pull_response(name="b", rows=[row(4)]), 0.1)
    directory.apply_pull("b", pull_response(name="b", rows=[row(6)]), 0.2)
    assert directory.instances["i-1"].row.phase == Phase.DRAINING
    directory.apply_pull("a", pull_response(rows=[row(6, Phase.GONE)]), 0.3)
    directory.apply_pull("b", pull_response(name="b", rows=[row(9)]), 0.4)
    assert not directory.instances


@test("an instance that is silent at all reachable controllers is marked, then removed, but only if any is reachable")
def _():
    directory = InstanceDirectory(("a", "b", "c"))
    for name in "abc":
        directory.apply_pull(name, pull_response(name=name, rows=[row(), row(instance="i-2")]), 0.0)
    for name in "ab":
        directory.apply_pull(name, pull_response(name=name, rows=[row(phase=Phase.SILENT)], seq=2), 1.0)
    directory.sweep(1.0)
    assert not directory.silent_instances("tide")  # c still receives its heartbeats
    directory.apply_pull("c", pull_response(name="c", rows=[row(phase=Phase.SILENT)], seq=2), 1.1)
    directory.sweep(1.2)
    assert directory.silent_instances("tide") == {"i-1"}
    directory.sweep(1.2 + REMOVE_SILENT_S + REACHABLE_S)
    assert set(directory.instances) == {"i-2"}
    directory.sweep(90.0)  # no controller is reachable
    assert set(directory.instances) == {"i-2"}


@test("if more than half of a service is silent, a network partition is assumed and no instance is marked")
def _():
    directory = InstanceDirectory(("a",))
    directory.apply_pull("a", pull_response(rows=[row(), row(instance="i-2")], voters=("a",)), 0.0)
    directory.apply_pull(
        "a", pull_response(complete=True, incarnation="new", voters=("a",)), 1.0
    )  # restarted: it knows no instance yet
    directory.sweep(1.0)
    assert directory.silent_instances("tide") == frozenset() and len(directory.instances) == 2


@test("the lease holder's own report overrides others'; gateways stay until the membership version changes")
def _():
    directory = InstanceDirectory(("a", "b", "c"))
    for name in "ab":
        directory.apply_pull(name, pull_response(name=name, lease_holder="a", gateways=["edge-1"]), 0.0)
    assert directory.lease_holder(0.1) == "a" and directory.gateways(0.1) == ["edge-1"]
    directory.apply_pull("c", pull_response(name="c", lease_holder="c", gateways=["edge-2"]), 0.2)
    assert directory.lease_holder(0.2) == "c"
    directory.apply_pull("c", pull_response(name="c", lease_holder="c"), 0.3)
    assert directory.gateways(0.3) == ["edge-1", "edge-2"]
    directory.apply_pull("c", pull_response(name="c", lease_holder="c", membership_version=2), 0.4)
    assert directory.gateways(0.4) == ["edge-1"]
