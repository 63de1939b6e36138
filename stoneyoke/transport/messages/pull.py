"""Messages by which gateways and controllers follow a controller's state, and fetch the configuration."""

from dataclasses import dataclass

from stoneyoke.transport.messages.consensus import BallotRow, MemberRow, ValueRow, VersionRow
from stoneyoke.transport.messages.instances import InstanceRow

GATEWAY_KIND = "gateway"
CONTROLLER_KIND = "controller"


@dataclass(frozen=True, slots=True, kw_only=True)
class PullRequest:
    """Asks a controller for what has changed since (`incarnation`, `seq`) of that controller.

    Attributes:
        name: Name of the asking process.
        ip: Its address.
        kind: `GATEWAY_KIND` or `CONTROLLER_KIND`.
        zone: Its zone.
        incarnation: Incarnation of the asked controller that the asker knows; empty for none.
        seq: Sequence number of that incarnation up to which the asker has its changes.
        version: Version of the configuration in force at the asker.
        ready: Whether the asking gateway takes traffic.
        heartbeat: Whether the asked controller is one of those that watch the asker for failures.
        wait_ms: How long the controller may hold the request while nothing has changed.
        own_incarnation: Incarnation of the asking process.
        membership_version: Version of the asked controller's membership that the asker has.
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
    """What a controller knows, as far as the asker lacks it.

    Attributes:
        incarnation: The controller's incarnation.
        seq: Its sequence number, up to which `instances` has all changes.
        complete: Whether `instances` holds all instances, not only those that have changed.
        instances: Instances that have changed since the request's `seq`.
        replica: The controller as a member of the register.
        view_ballot: Ballot of `view`.
        view: Newest value of the register that the controller knows, chosen or not, without its text.
        chosen_ballot: Ballot of the newest value that the controller knows to be chosen.
        version: Version of that value's configuration: the one that may be put in force.
        instances_synced: Whether the controller knows every acknowledged drain (see `controlplane/startup_sync.py`).
        lease_holder: Address of the holder of the quota lease; empty if not known.
        leaving: Whether the controller was told to end.
        zone: Its zone.
        membership_version: Rises with each change of the controllers and gateways that the controller knows.
        controllers: Their addresses; empty if the asker has this version of the membership.
        gateways: Names of the gateways whose heartbeats the controller has heard; empty as above.
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

    `body` is the operator's text, deflated: gateways' links are thin, and all gateways fetch at once.
    """

    version: VersionRow
    body: bytes
