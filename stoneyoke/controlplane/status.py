"""A controller's status report, as JSON for operators and for stoneyokectl. No I/O."""

import json
from dataclasses import dataclass
from typing import TypedDict

from stoneyoke.consensus.register_value import VoterSet
from stoneyoke.consensus.replica import Replica
from stoneyoke.controlplane.cluster_view import ClusterView
from stoneyoke.controlplane.gateway_tracker import GatewayTracker
from stoneyoke.controlplane.instance_registry import InstanceRecord, InstanceRegistry, Phase
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.controlplane.quota_lease import QuotaLease


@dataclass(eq=False, repr=False, kw_only=True)
class StatusSources:
    """The parts of a controller that its status is read from."""

    name: str
    cluster: ClusterView
    replica: Replica
    peers: Peers
    lease: QuotaLease
    gateways: GatewayTracker
    registry: InstanceRegistry


class BallotStatus(TypedDict):
    """Ballot counters of this controller's replica; None: there is no such proposal."""

    promised: int
    accepted: int | None
    chosen: int | None


class VotersStatus(TypedDict):
    """The newest voter set known to this controller; members as address/disk."""

    number: int
    members: list[str]


class ControllerStatus(TypedDict):
    """Another controller. silent_s: seconds since its last response to a pull."""

    disk: str | None
    version: str | None
    votes: bool
    silent_s: float


class GatewayStatus(TypedDict):
    """A gateway. silent_s: seconds since its last pull from this controller."""

    version: str
    silent_s: float
    ready: bool


class BackendStatus(TypedDict):
    """An instance. silent_s: seconds since its last heartbeat that this controller knows of."""

    service: str
    address: str
    phase: str
    zone: str
    silent_s: float


class Status(TypedDict):
    """The whole report.

    Attributes:
        in_touch: the same as has_quorum; its former name, which stays for one release.
        keeper: the same as lease_holder; its former name, which stays for one release.
    """

    name: str
    address: str
    disk: str
    version: str
    votes: bool
    ballot: BallotStatus
    voters: VotersStatus
    in_touch: bool
    has_quorum: bool
    keeper: str
    lease_holder: str
    controllers: dict[str, ControllerStatus]
    gateways: dict[str, GatewayStatus]
    backends: dict[str, BackendStatus]


def status_json(sources: StatusSources, now: float) -> bytes:
    """Returns the report as JSON; durations are in seconds."""
    return json.dumps(read_status(sources, now), indent=1).encode()


def read_status(sources: StatusSources, now: float) -> Status:
    """Returns the report, from the state of the controller's parts."""
    replica, lease_holder, has_quorum = sources.replica, sources.lease.known_holder(), sources.cluster.has_quorum()
    voters = replica.voters()
    return Status(
        name=sources.name,
        address=sources.cluster.own_address,
        disk=replica.identity.disk,
        version=str(replica.version()),
        votes=replica.is_voter(),
        ballot=_ballot_status(replica),
        voters=VotersStatus(number=voters.number, members=[f"{one.address}/{one.disk}" for one in voters.members]),
        in_touch=has_quorum,
        has_quorum=has_quorum,
        keeper=lease_holder,
        lease_holder=lease_holder,
        controllers={name: _controller_status(peer, voters, now) for name, peer in sources.peers.items()},
        gateways={
            name: GatewayStatus(version=str(pull.version), silent_s=round(now - pull.pulled_at, 2), ready=pull.ready)
            for name, pull in sources.gateways.last_pulls.items()
        },
        backends={name: _backend_status(record, now) for name, record in sources.registry.records.items()},
    )


def status_gauges(sources: StatusSources, now: float) -> dict[str, float]:
    """Returns the report's figures as gauges: counts, and the longest time since a controller's last response."""
    report = read_status(sources, now)
    phases = [backend["phase"] for backend in report["backends"].values()]
    silences = [controller["silent_s"] for controller in report["controllers"].values()]
    return {
        "has_quorum": float(report["has_quorum"]),
        "votes": float(report["votes"]),
        "holds_quota_lease": float(sources.lease.is_held()),
        "configuration_version": float(sources.replica.version().number),
        "ballot_promised": float(report["ballot"]["promised"]),
        "voters": float(len(report["voters"]["members"])),
        "controllers_known": float(len(silences)),
        "controller_silence_seconds_max": max(silences, default=0.0),
        "gateways_known": float(len(report["gateways"])),
        "gateways_ready": float(sum(gateway["ready"] for gateway in report["gateways"].values())),
        "backend_instances": float(len(phases)),
        "backend_instances_ready": float(phases.count(Phase.READY.name.lower())),
    }


def _ballot_status(replica: Replica) -> BallotStatus:
    view, chosen = replica.view(), replica.chosen
    return BallotStatus(
        promised=replica.acceptor.promised.counter,
        accepted=view.ballot.counter if view else None,
        chosen=chosen.ballot.counter if chosen else None,
    )


def _controller_status(peer: Peer, voters: VoterSet, now: float) -> ControllerStatus:
    return ControllerStatus(
        disk=peer.replica.disk if peer.replica else None,
        version=str(peer.view.value.version) if peer.view else None,
        votes=peer.replica in voters.members,
        silent_s=round(now - peer.last_response_at, 2),
    )


def _backend_status(record: InstanceRecord, now: float) -> BackendStatus:
    return BackendStatus(
        service=record.row.service,
        address=record.row.address,
        phase=Phase(record.row.phase).name.lower(),
        zone=record.row.zone,
        silent_s=round(now - record.last_heartbeat_at, 2),
    )
