"""What a gateway knows of instances, controllers and other gateways, merged from the controllers' answers. No I/O.

Each controller numbers its own changes. Of two reports of an instance the one with the higher call_seq wins, and "gone"
wins over all, so the order of the answers does not matter. A drain is not undone by a later report. An instance counts
its calls up, so its drain never comes with a lower call_seq than an earlier report. Nothing is forgotten because a
controller is: only what was reported gone, or what every controller in touch has not heard for long.
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

IN_TOUCH_S = 2.2  # longer than a pull may be held, and a new connection takes
DROP_UNHEARD_S = 20.0  # an instance that no controller in touch has heard for so long is dropped
NEVER_S = -1e9
GONE_MEMORY_S = 300.0  # longer than any controller remembers (instance_registry)
GONE_MAX = 4096  # as many as a controller remembers


@dataclass(slots=True)
class ControllerView:
    """One controller, as its last answer describes it.

    Attributes:
        incarnation: Identifies its process.
        seq: The number of its newest change that is known here.
        heard_at: When it answered last, in seconds of the clock.
        last_pull: That answer; None before the first.
        phases: The phase of each instance, as this controller has it.
        membership_version: The number of the gateways and controllers that it has reported.
        gateways: The gateways whose heartbeats it has heard.
    """

    incarnation: str = ""
    seq: int = 0
    heard_at: float = NEVER_S
    last_pull: PullResponse | None = None
    phases: dict[str, int] = field(default_factory=dict)
    membership_version: int = -1
    gateways: tuple[str, ...] = ()


@dataclass(slots=True)
class KnownInstance:
    """One instance of a service.

    Attributes:
        row: The report in force.
        warm_at: When it has warmed up, in seconds of the clock.
        unheard_since: Since when no controller in touch hears it; None while one does.
    """

    row: InstanceRow
    warm_at: float
    unheard_since: float | None = None


class InstanceDirectory:
    """Merges what controllers report.

    Attributes:
        controllers: What is known of each controller, by its address.
        instances: Instances that may serve, by name.
        gone_at: Instances that never come back, and when that was learned, the oldest first.
        revision: Rises with each change that matters for the choice of a backend.
    """

    def __init__(self, seeds: tuple[str, ...]) -> None:
        """Starts with the addresses of some controllers; others are learned from these."""
        self.controllers: dict[str, ControllerView] = {name: ControllerView() for name in seeds}
        self.instances: dict[str, KnownInstance] = {}
        self.gone_at: dict[str, float] = {}
        self.revision = 0

    def add_controller(self, name: str) -> None:
        """Adds a controller by its address."""
        self.controllers.setdefault(name, ControllerView())

    def apply_pull(self, name: str, answer: PullResponse, now: float) -> None:
        """Takes in a controller's answer."""
        view = self.controllers.setdefault(name, ControllerView())
        if answer.complete or answer.incarnation != view.incarnation:
            view.phases = {}
        view.incarnation, view.seq, view.heard_at, view.last_pull = answer.incarnation, answer.seq, now, answer
        if answer.complete or answer.membership_version != view.membership_version:
            view.membership_version, view.gateways = answer.membership_version, tuple(answer.gateways)
        for other in answer.controllers:
            self.controllers.setdefault(other, ControllerView())
        for row in answer.instances:
            view.phases[row.instance] = row.phase
            self.merge_row(row, now)

    def merge_row(self, row: InstanceRow, now: float) -> None:
        """Takes in one report of an instance, unless a newer one is known."""
        if row.instance in self.gone_at:
            return
        if row.phase == Phase.GONE:
            self.mark_gone(row.instance, now)
            return
        old = self.instances.get(row.instance)
        if old and row.call_seq < old.row.call_seq:
            return
        # Draining is for good: an instance never takes work again.
        phase = max(row.phase, old.row.phase) if old and old.row.phase == Phase.DRAINING else row.phase
        row = row._replace(phase=Phase.READY if phase == Phase.SILENT else phase)
        if old and old.row._replace(call_seq=0, warmup_left_s=0.0) == row._replace(call_seq=0, warmup_left_s=0.0):
            old.row = row
            return
        self.instances[row.instance] = KnownInstance(row, now + row.warmup_left_s)
        self.revision += 1

    def mark_gone(self, instance: str, now: float) -> None:
        """Drops an instance for good: it was reported gone, or another one answers at its address."""
        self.gone_at[instance] = now
        if self.instances.pop(instance, None):
            self.revision += 1

    def in_touch(self, now: float) -> list[ControllerView]:
        """Controllers that have answered of late."""
        return [view for view in self.controllers.values() if now - view.heard_at < IN_TOUCH_S]

    def sweep(self, now: float) -> None:
        """Marks instances that no controller hears and drops what is out of date; called several times a second."""
        synced = [view for view in self.in_touch(now) if view.last_pull and view.last_pull.instances_synced]
        voters = len(self.voters().members) or 1
        if synced and len(synced) >= min(majority(voters), voters):
            self.mark_unheard(synced, now)
        for name, instance_known in list(self.instances.items()):
            if instance_known.unheard_since is not None and now - instance_known.unheard_since > DROP_UNHEARD_S:
                del self.instances[name]
                self.revision += 1
        self.forget_gone(now)

    def mark_unheard(self, synced: list[ControllerView], now: float) -> None:
        """Notes for each instance since when none of these controllers hears it."""
        for name, instance_known in self.instances.items():
            is_heard = any(view.phases.get(name, Phase.SILENT) in (Phase.READY, Phase.DRAINING) for view in synced)
            was_heard = instance_known.unheard_since is None
            if is_heard != was_heard:
                instance_known.unheard_since = None if is_heard else now
                self.revision += 1

    def forget_gone(self, now: float) -> None:
        """Forgets instances that left long ago, and the oldest of those that are too many."""
        excess = len(self.gone_at) - GONE_MAX
        outdated = [
            name
            for number, (name, gone_at) in enumerate(self.gone_at.items())
            if number < excess or now - gone_at > GONE_MEMORY_S
        ]
        for name in outdated:
            del self.gone_at[name]

    # ---- controllers and gateways ----

    def controllers_holding(self, version: Version, zone: str) -> list[str]:
        """Controllers that hold this version or a higher one, those of a zone first."""
        held = [
            name
            for name, one in self.controllers.items()
            if one.last_pull and Version(*one.last_pull.version) >= version
        ]
        return sorted(
            held, key=lambda name: (answer := self.controllers[name].last_pull) is None or answer.zone != zone
        )

    def register_views(self, now: float | None = None) -> dict[ReplicaId, Proposal]:
        """What each replica last reported of the replicated register.

        Args:
            now: Counts only controllers that are in touch at this time and have their instances in step; None: all.
        """
        reporting = [one for one in self.controllers.values() if one.last_pull]
        if now is not None:
            reporting = [
                one
                for one in reporting
                if now - one.heard_at < IN_TOUCH_S and one.last_pull and one.last_pull.instances_synced
            ]
        return {
            ReplicaId(*one.last_pull.replica): Proposal(
                Ballot(*one.last_pull.view_ballot), value_from_row(one.last_pull.view)
            )
            for one in reporting
            if one.last_pull
        }

    def voters(self) -> VoterSet:
        """Who votes, by the newest value that was reported."""
        newest = max(self.register_views().values(), key=lambda view: view.ballot, default=None)
        return newest.value.voters if newest else VoterSet()

    def newest(self) -> tuple[Version, str]:
        """The highest version that any controller has reported, and its address."""
        reporting = [(Version(*one.last_pull.version), name) for name, one in self.controllers.items() if one.last_pull]
        return max(reporting, default=(Version(), ""))

    def caught_up(self, now: float) -> Version | None:
        """The version that is sure to be no older than what was acknowledged; None: too few voters are heard.

        Those voters know every acknowledged drain too: it is acknowledged once a majority of them knows it.
        """
        newest = newest_view(self.register_views(now))
        return newest.value.version if newest else None

    def gateways(self, now: float) -> list[str]:
        """Gateways whose heartbeats the controllers in touch have heard, sorted."""
        return sorted({name for one in self.in_touch(now) for name in one.gateways})

    def lease_holder(self, now: float) -> str:
        """The controller that holds the lease of the quotas, by what most in touch report; "" if none is known."""
        reported = [
            one.last_pull.lease_holder for one in self.in_touch(now) if one.last_pull and one.last_pull.lease_holder
        ]
        own = [
            name
            for name, one in self.controllers.items()
            if now - one.heard_at < IN_TOUCH_S and one.last_pull and one.last_pull.lease_holder == name
        ]
        if own:  # what the holder says of itself is newer than what others have heard
            return max(own, key=lambda name: self.controllers[name].heard_at)
        return max(sorted(set(reported)), key=reported.count) if reported else ""

    # ---- instances ----

    def unheard_instances(self, service: str) -> frozenset[str]:
        """Instances of a service that no controller hears.

        Empty if they are more than half of the service: then the controllers are more likely cut off than the instances
        gone.
        """
        all_of = [one for one in self.instances.values() if one.row.service == service]
        silent = frozenset(one.row.instance for one in all_of if one.unheard_since is not None)
        return silent if 2 * len(silent) <= len(all_of) else frozenset()
