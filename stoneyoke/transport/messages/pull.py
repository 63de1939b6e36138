"""Messages by which gateways and controllers pull a controller's state and fetch the configuration."""

from dataclasses import dataclass

from stoneyoke.transport.messages.consensus import BallotRow, MemberRow, ValueRow, VersionRow
from stoneyoke.transport.messages.instances import InstanceRow

GATEWAY_KIND = "gateway"
CONTROLLER_KIND = "controller"


@dataclass(frozen=True, slots=True, kw_only=True)
class PullRequest:
    """Asks a controller for its changes since (`incarnation`, `seq`) of that controller.

    Attributes:
        name: Name of the caller's process.
        ip: The caller's IP address.
        kind: `GATEWAY_KIND` or `CONTROLLER_KIND`.
        zone: The caller's zone.
        incarnation: Incarnation of the controller that the caller knows; empty for none.
        seq: Sequence number in that incarnation up to which the caller has the controller's changes.
        version: Version of the configuration in force at the caller.
        ready: Whether the caller, if it is a gateway, is ready for traffic.
        heartbeat: Whether the controller is one of those that monitor the caller for failures.
        wait_ms: How long the controller may delay the response while nothing has changed, in milliseconds.
        own_incarnation: Incarnation of the caller's process.
        membership_version: Version of the controller's membership that the caller has.
    """

    name: str
    ip: str
    kind: str
    zone: str
    incarnation: str
    seq: int
    version: VersionRow
    ready: bool
    heartbeat: bool
    wait_ms: int
    own_incarnation: str
    membership_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PullResponse:
    """The part of a controller's state that the caller lacks.

    Attributes:
        incarnation: The controller's incarnation.
        seq: The controller's sequence number, up to which `instances` has all changes.
        complete: Whether `instances` holds all instances, not only those that have changed.
        instances: Instances that have changed since the request's `seq`.
        replica: The controller as a member of the register.
        view_ballot: Ballot of `view`.
        view: Newest value of the register that the controller knows, chosen or not, without its text.
        chosen_ballot: Ballot of the newest value that the controller knows to be chosen.
        version: Version of that value's configuration, which may be put in force.
        instances_synced: Whether the controller knows every acknowledged drain (see `controlplane/startup_sync.py`).
        lease_holder: Address of the quota lease holder; empty if not known.
        leaving: Whether the controller is shutting down.
        zone: The controller's zone.
        membership_version: Increases with each change of the controllers and gateways that the controller knows.
        controllers: The addresses of these controllers; empty if the caller has this version of the membership.
        gateways: Names of the gateways whose heartbeats the controller has received; empty in the same case.
    """

    incarnation: str
    seq: int
    complete: bool
    instances: list[InstanceRow]
    replica: MemberRow
    view_ballot: BallotRow
    view: ValueRow
    chosen_ballot: BallotRow
    version: VersionRow
    instances_synced: bool
    lease_holder: str
    leaving: bool
    zone: str
    membership_version: int
    controllers: list[str]
    gateways: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchRequest:
    """Asks for the newest chosen configuration."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchResponse:
    """The newest chosen configuration.

    `body` is the operator's text, deflated, because gateways' links have little bandwidth and all gateways fetch at
    once.
    """

    version: VersionRow
    body: bytes
