"""A gateway's view of instances, controllers and other gateways, merged from the controllers' responses. No I/O.

Each controller numbers its own changes. Of two reports of an instance the one with the higher call_seq wins, and GONE
overrides any other phase, so the order of the responses does not matter. A later report does not undo a drain. An
instance increments call_seq with each call, so its drain never has a lower call_seq than an earlier report. The loss of
a controller removes no instance: an instance is removed only if it was reported gone, or if no reachable controller has
received its heartbeats for REMOVE_SILENT_S.
"""

from dataclasses import dataclass, field

from stoneyoke.api.configuration import Version
from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.majority_read import newest_view
from stoneyoke.consensus.message_rows import value_from_row
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.transport.messages import InstanceRow, PullResponse

# A controller counts as reachable this long after its last response. Longer than a controller may delay its response to
# a pull, plus the time to open a new connection.
REACHABLE_S = 2.2
REMOVE_SILENT_S = 20.0  # an instance is removed once no reachable controller has received its heartbeats for this long
NEVER_S = -1e9
GONE_TTL_S = 300.0  # gone instances are remembered longer than by any controller (instance_registry)
GONE_MAX = 4096  # the most gone instances that are remembered, as many as by a controller


@dataclass(slots=True)
class ControllerView:
    """The state of one controller, according to its last response.

    Attributes:
        incarnation: Identifies its process.
        seq: The sequence number of its newest change that this gateway has.
        last_response_at: When it last responded, in seconds of the clock.
        last_pull: Its last response; None before the first.
        phases: The phase of each instance at this controller.
        membership_version: The version of the sets of gateways and controllers that it has reported.
        gateways: The gateways whose heartbeats it has received.
    """

    incarnation: str = ""
    seq: int = 0
    last_response_at: float = NEVER_S
    last_pull: PullResponse | None = None
    phases: dict[str, int] = field(default_factory=dict)
    membership_version: int = -1
    gateways: tuple[str, ...] = ()


@dataclass(slots=True)
class KnownInstance:
    """One instance of a service.

    Attributes:
        row: The newest report of the instance.
        warmed_up_at: When its warm-up is complete, in seconds of the clock.
        silent_since: Since when no reachable controller receives its heartbeats; None while one does.
    """

    row: InstanceRow
    warmed_up_at: float
    silent_since: float | None = None


class InstanceDirectory:
    """Merges the reports of all controllers.

    Attributes:
        controllers: The state of each controller, by its address.
        instances: Instances that are not gone, by name.
        gone_at: Instances that are permanently removed, with the time at which this was learned, the oldest first.
        revision: Incremented with each change that can affect the choice of a backend.
    """

    def __init__(self, seeds: tuple[str, ...]) -> None:
        """Starts with the addresses of some controllers, from which the others are learned."""
        self.controllers: dict[str, ControllerView] = {name: ControllerView() for name in seeds}
        self.instances: dict[str, KnownInstance] = {}
        self.gone_at: dict[str, float] = {}
        self.revision = 0

    def add_controller(self, name: str) -> None:
        """Adds a controller by its address."""
        self.controllers.setdefault(name, ControllerView())

    def apply_pull(self, name: str, answer: PullResponse, now: float) -> None:
        """Merges a controller's response to a pull."""
        view = self.controllers.setdefault(name, ControllerView())
        if answer.complete or answer.incarnation != view.incarnation:
            view.phases = {}
        view.incarnation, view.seq, view.last_response_at, view.last_pull = answer.incarnation, answer.seq, now, answer
        if answer.complete or answer.membership_version != view.membership_version:
            view.membership_version, view.gateways = answer.membership_version, tuple(answer.gateways)
        for other in answer.controllers:
            self.controllers.setdefault(other, ControllerView())
        for row in answer.instances:
            view.phases[row.instance] = row.phase
            self.merge_row(row, now)

    def merge_row(self, row: InstanceRow, now: float) -> None:
        """Merges one report of an instance, unless a newer report is known."""
        if row.instance in self.gone_at:
            return
        if row.phase == Phase.GONE:
            self.mark_gone(row.instance, now)
            return
        old = self.instances.get(row.instance)
        if old and row.call_seq < old.row.call_seq:
            return
        # Draining is permanent: the instance never accepts requests again.
        phase = max(row.phase, old.row.phase) if old and old.row.phase == Phase.DRAINING else row.phase
        row = row._replace(phase=Phase.READY if phase == Phase.SILENT else phase)
        if old and old.row._replace(call_seq=0, warmup_left_s=0.0) == row._replace(call_seq=0, warmup_left_s=0.0):
            old.row = row
            return
        self.instances[row.instance] = KnownInstance(row, now + row.warmup_left_s)
        self.revision += 1

    def mark_gone(self, instance: str, now: float) -> None:
        """Removes an instance permanently: it was reported gone, or a different instance responded at its address."""
        self.gone_at[instance] = now
        if self.instances.pop(instance, None):
            self.revision += 1

    def in_touch(self, now: float) -> list[ControllerView]:
        """Returns the controllers that have responded in the last REACHABLE_S seconds."""
        return [view for view in self.controllers.values() if now - view.last_response_at < REACHABLE_S]

    def sweep(self, now: float) -> None:
        """Marks instances whose heartbeats no controller receives, and removes stale entries.

        Called several times a second.
        """
        synced = [view for view in self.in_touch(now) if view.last_pull and view.last_pull.instances_synced]
        voters = len(self.voters().members) or 1
        if synced and len(synced) >= min(majority(voters), voters):
            self.mark_silent(synced, now)
        for name, known in list(self.instances.items()):
            if known.silent_since is not None and now - known.silent_since > REMOVE_SILENT_S:
                del self.instances[name]
                self.revision += 1
        self.expire_gone(now)

    def mark_silent(self, synced: list[ControllerView], now: float) -> None:
        """Updates for each instance since when none of these controllers receives its heartbeats."""
        for name, known in self.instances.items():
            is_alive = any(view.phases.get(name, Phase.SILENT) in (Phase.READY, Phase.DRAINING) for view in synced)
            was_alive = known.silent_since is None
            if is_alive != was_alive:
                known.silent_since = None if is_alive else now
                self.revision += 1

    def expire_gone(self, now: float) -> None:
        """Drops records of gone instances that are older than GONE_TTL_S, and the oldest beyond GONE_MAX."""
        excess = len(self.gone_at) - GONE_MAX
        outdated = [
            name
            for number, (name, gone_at) in enumerate(self.gone_at.items())
            if number < excess or now - gone_at > GONE_TTL_S
        ]
        for name in outdated:
            del self.gone_at[name]

    # ---- controllers and gateways ----

    def controllers_with_version(self, version: Version, zone: str) -> list[str]:
        """Returns the controllers that have this version or a higher one, those of the given zone first."""
        held = [
            name
            for name, one in self.controllers.items()
            if one.last_pull and Version(*one.last_pull.version) >= version
        ]
        return sorted(
            held, key=lambda name: (answer := self.controllers[name].last_pull) is None or answer.zone != zone
        )

    def register_views(self, now: float | None = None) -> dict[ReplicaId, Proposal]:
        """Returns the value of the replicated register that each replica reported last.

        Args:
            now: Includes only controllers that are reachable at this time and know every acknowledged drain; None: all.
        """
        reporting = [one for one in self.controllers.values() if one.last_pull]
        if now is not None:
            reporting = [
                one
                for one in reporting
                if now - one.last_response_at < REACHABLE_S and one.last_pull and one.last_pull.instances_synced
            ]
        return {
            ReplicaId(*one.last_pull.replica): Proposal(
                Ballot(*one.last_pull.view_ballot), value_from_row(one.last_pull.view)
            )
            for one in reporting
            if one.last_pull
        }

    def voters(self) -> VoterSet:
        """Returns the voter set of the newest register value that was reported."""
        newest = max(self.register_views().values(), key=lambda view: view.ballot, default=None)
        return newest.value.voters if newest else VoterSet()

    def newest(self) -> tuple[Version, str]:
        """Returns the highest version that any controller has reported, and that controller's address."""
        reporting = [(Version(*one.last_pull.version), name) for name, one in self.controllers.items() if one.last_pull]
        return max(reporting, default=(Version(), ""))

    def caught_up(self, now: float) -> Version | None:
        """Returns a version at least as new as any acknowledged one; None: too few voters are reachable to tell.

        These voters also know every acknowledged drain, because a drain is acknowledged once a majority of the voters
        knows it.
        """
        newest = newest_view(self.register_views(now))
        return newest.value.version if newest else None

    def gateways(self, now: float) -> list[str]:
        """Returns the gateways whose heartbeats the reachable controllers have received, sorted by name."""
        return sorted({name for one in self.in_touch(now) for name in one.gateways})

    def lease_holder(self, now: float) -> str:
        """Returns the address of the quota lease holder; "" if it is not known.

        A controller's report that it holds the lease itself overrides the reports of others. Among the latter, the most
        frequent one counts.
        """
        reported = [
            one.last_pull.lease_holder for one in self.in_touch(now) if one.last_pull and one.last_pull.lease_holder
        ]
        own = [
            name
            for name, one in self.controllers.items()
            if now - one.last_response_at < REACHABLE_S and one.last_pull and one.last_pull.lease_holder == name
        ]
        if own:  # the holder's own report is newer than what other controllers have learned of it
            return max(own, key=lambda name: self.controllers[name].last_response_at)
        return max(sorted(set(reported)), key=reported.count) if reported else ""

    # ---- instances ----

    def silent_instances(self, service: str) -> frozenset[str]:
        """Returns the instances of a service whose heartbeats no reachable controller receives.

        Returns an empty set if these are more than half of the service: a network partition between the controllers and
        the instances is then more likely than a failure of the instances.
        """
        listed = [one for one in self.instances.values() if one.row.service == service]
        silent = frozenset(one.row.instance for one in listed if one.silent_since is not None)
        return silent if 2 * len(silent) <= len(listed) else frozenset()
