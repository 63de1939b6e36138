"""Pull responses of a controller for measurements, which contain only the rows of instances."""

from stoneyoke.controlplane.instance_registry import InstanceRegistry
from stoneyoke.transport.messages import BallotRow, InstanceRow, MemberRow, PullResponse, ValueRow, VersionRow


def pull_response(registry: InstanceRegistry, rows: list[InstanceRow], complete: bool) -> PullResponse:
    """Returns a pull response with the rows of instances; all its other parts are empty."""
    no_ballot = BallotRow(0, "")
    no_version = VersionRow(0, b"")
    return PullResponse(
        incarnation="life",
        seq=registry.seq,
        complete=complete,
        instances=list(rows),
        replica=MemberRow("", ""),
        view_ballot=no_ballot,
        view=ValueRow(0, [], [], no_version, b""),
        chosen_ballot=no_ballot,
        version=no_version,
        instances_synced=True,
        lease_holder="",
        leaving=False,
        zone="",
        membership_version=1,
        controllers=[],
        gateways=[],
    )
