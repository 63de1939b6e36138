"""What a gateway makes of the cores' news: backends, cores, gateways, the newest configuration. No I/O.

Each core is a view with a version of its own news; of two tellings of a backend the higher call_seq wins and gone
wins over all, so no order of news matters. Nothing is forgotten because a core is: only what is told to be gone, or
what every core in touch calls silent for long."""

from dataclasses import dataclass, field

from stoneyoke.consensus.ballot import Ballot
from stoneyoke.consensus.majority_read import newest_view
from stoneyoke.consensus.register_value import Proposal, ReplicaId, VoterSet
from stoneyoke.consensus.quorum import majority
from stoneyoke.consensus.message_rows import value_from_row
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.api.configuration import Version
from stoneyoke.transport.messages import InstanceRow, PullResponse

IN_TOUCH_S = 2.2  # more than a pull may be held, and what it takes to open a connection again
DROP_UNHEARD_S = 20.0  # silent by all cores in touch for so long, a backend is dropped
GONE_MEMORY_S = 300.0  # longer than any controller remembers (instance_registry)
GONE_MAX = 4096  # as many as a controller remembers


@dataclass(slots=True)
class ControllerView:
    """One core, as it told of itself last."""

    incarnation: str = ""
    seq: int = 0
    heard_at: float = -1e9
    last_pull: PullResponse | None = None
    phases: dict[str, int] = field(default_factory=dict)  # by instance, as this core has it
    membership_version: int = -1
    gateways: tuple[str, ...] = ()


@dataclass(slots=True)
class KnownInstance:
    """A backend as it is known here."""

    row: InstanceRow
    warm_at: float
    unheard_since: float | None = None  # since when no core in touch hears it


class InstanceDirectory:
    def __init__(self, seeds: tuple[str, ...]) -> None:
        self.controllers: dict[str, ControllerView] = {name: ControllerView() for name in seeds}
        self.instances: dict[str, KnownInstance] = {}
        self.gone_at: dict[str, float] = {}  # instances that never come back; when that was told
        self.revision = 0  # rises with each change that the choice of backend should hear of

    def add_controller(self, name: str) -> None:
        self.controllers.setdefault(name, ControllerView())

    def apply_pull(self, name: str, news: PullResponse, now: float) -> None:
        view = self.controllers.setdefault(name, ControllerView())
        if news.complete or news.incarnation != view.incarnation:
            view.phases = {}
        view.incarnation, view.seq, view.heard_at, view.last_pull = news.incarnation, news.seq, now, news
        if news.complete or news.membership_version != view.membership_version:
            view.membership_version, view.gateways = news.membership_version, tuple(news.gateways)
        for other in news.controllers:
            self.controllers.setdefault(other, ControllerView())
        for row in news.instances:
            view.phases[row.instance] = row.phase
            self.merge_row(row, now)

    def merge_row(self, row: InstanceRow, now: float) -> None:
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
        """It is gone for good: told so, or another one answers at its address."""
        self.gone_at[instance] = now
        if self.instances.pop(instance, None):
            self.revision += 1

    def in_touch(self, now: float) -> list[ControllerView]:
        return [one for one in self.controllers.values() if now - one.heard_at < IN_TOUCH_S]

    def sweep(self, now: float) -> None:
        """Doubts, and what ends them; called now and then."""
        near = [one for one in self.in_touch(now) if one.last_pull and one.last_pull.instances_synced]
        voters = len(self.voters().members)
        if near and len(near) >= min(majority(voters or 1), voters or 1):
            for name, instance_known in list(self.instances.items()):
                heard = any(one.phases.get(name, Phase.SILENT) in (Phase.READY, Phase.DRAINING) for one in near)
                if heard == (instance_known.unheard_since is None):
                    continue
                if heard:
                    instance_known.unheard_since = None
                    self.revision += 1
                elif instance_known.unheard_since is None:
                    instance_known.unheard_since = now
                    self.revision += 1
        for name, instance_known in list(self.instances.items()):
            if instance_known.unheard_since is not None and now - instance_known.unheard_since > DROP_UNHEARD_S:
                del self.instances[name]
                self.revision += 1
        over = len(self.gone_at) - GONE_MAX
        for name in [
            one for at, one in enumerate(self.gone_at) if at < over or now - self.gone_at[one] > GONE_MEMORY_S
        ]:
            del self.gone_at[name]  # in the order in which they went

    # ---- cores and gateways ----

    def controllers_holding(self, version: Version, zone: str) -> list[str]:
        """Cores that hold this version or a higher one, those of a zone first."""
        held = [
            name
            for name, one in self.controllers.items()
            if one.last_pull and Version(*one.last_pull.version) >= version
        ]
        return sorted(held, key=lambda name: (news := self.controllers[name].last_pull) is None or news.zone != zone)

    def register_views(self, now: float | None = None) -> dict[ReplicaId, Proposal]:
        """What each controller, by its disk, last told of the register; now: only of those that are in touch and have
        settled."""
        told = [one for one in self.controllers.values() if one.last_pull]
        if now is not None:
            told = [
                one
                for one in told
                if now - one.heard_at < IN_TOUCH_S and one.last_pull and one.last_pull.instances_synced
            ]
        return {
            ReplicaId(*one.last_pull.replica): Proposal(
                Ballot(*one.last_pull.view_ballot), value_from_row(one.last_pull.view)
            )
            for one in told
            if one.last_pull
        }

    def voters(self) -> VoterSet:
        """Who votes, by the newest value told."""
        newest = max(self.register_views().values(), key=lambda view: view.ballot, default=None)
        return newest.value.voters if newest else VoterSet()

    def newest(self) -> tuple[Version, str]:
        """The highest version that any core has told of, and who."""
        told = [(Version(*one.last_pull.version), name) for name, one in self.controllers.items() if one.last_pull]
        return max(told, default=(Version(), ""))

    def caught_up(self, now: float) -> Version | None:
        """The version that is sure to be no older than what was acknowledged; None: too few voters are heard. They
        have all instances too: a drain is acknowledged once a majority of them knows."""
        newest = newest_view(self.register_views(now))
        return newest.value.version if newest else None

    def gateways(self, now: float) -> list[str]:
        """Gateways whose beats cores in touch have heard, sorted."""
        return sorted({name for one in self.in_touch(now) for name in one.gateways})

    def lease_holder(self, now: float) -> str:
        """Who holds the duty of the quotas, by most cores in touch."""
        said = [
            one.last_pull.lease_holder for one in self.in_touch(now) if one.last_pull and one.last_pull.lease_holder
        ]
        own = [
            name
            for name, one in self.controllers.items()
            if now - one.heard_at < IN_TOUCH_S and one.last_pull and one.last_pull.lease_holder == name
        ]
        if own:  # its own word is the newest
            return max(own, key=lambda name: self.controllers[name].heard_at)
        return max(sorted(set(said)), key=said.count) if said else ""

    # ---- backends ----

    def unheard_instances(self, service: str) -> frozenset[str]:
        """Backends that no core hears. No more than half of a service: else it is the cores that don't hear."""
        all_of = [one for one in self.instances.values() if one.row.service == service]
        silent = frozenset(one.row.instance for one in all_of if one.unheard_since is not None)
        return silent if 2 * len(silent) <= len(all_of) else frozenset()
