"""A controller: makes the parts of the control plane, starts them, and dispatches calls to them."""

from stoneyoke.api.calls import (
    ApiCall,
    ApiResult,
    Document,
    Heartbeat,
    Leave,
    ReadConfiguration,
    ReadStatus,
    ReplaceConfiguration,
)
from stoneyoke.consensus.ballot import NO_BALLOT
from stoneyoke.consensus.replica import Replica
from stoneyoke.consensus.replication import Replication
from stoneyoke.consensus.voter_set import voter_count
from stoneyoke.controlplane.chosen_configuration import ChosenConfiguration
from stoneyoke.controlplane.cluster_view import ReplicatedClusterView
from stoneyoke.controlplane.configuration_service import ConfigurationService
from stoneyoke.controlplane.controller_context import BackgroundTasks, ChangeNotifier, ControllerContext
from stoneyoke.controlplane.discovery_service import DiscoveryService
from stoneyoke.controlplane.gateway_tracker import GatewayTracker
from stoneyoke.controlplane.lease_voter import LeaseVoter
from stoneyoke.controlplane.membership import Membership
from stoneyoke.controlplane.message_router import MessageRouter
from stoneyoke.controlplane.peer_follower import PeerFollower
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.controlplane.pull_service import PullService
from stoneyoke.controlplane.quota_lease import QuotaLease
from stoneyoke.controlplane.settings import ControllerEnvironment, ControllerSettings
from stoneyoke.controlplane.status import StatusSources, status_gauges, status_json
from stoneyoke.transport.messages import Message

INCARNATION_BITS = 48


class Controller:
    """One controller's parts and their lifecycle.

    `start` makes the parts that need the state on disk; no message or call may be passed in before it returns.
    """

    discovery: DiscoveryService
    lease: QuotaLease
    membership: Membership
    follower: PeerFollower
    router: MessageRouter

    def __init__(self, settings: ControllerSettings, environment: ControllerEnvironment) -> None:
        """Makes the parts that don't need the state on disk; does no I/O."""
        self.settings, self.clock = settings, environment.clock
        random_source = environment.random_source
        self.incarnation = f"{random_source.getrandbits(INCARNATION_BITS):012x}"
        self.started_at = self.clock()
        self.tasks = BackgroundTasks()
        self.context = ControllerContext(
            clock=self.clock, random_source=random_source, tasks=self.tasks, changes=ChangeNotifier()
        )
        self.configuration = ChosenConfiguration()
        self.peers = Peers(settings.ip, settings.port, environment.dial, self.clock, self._on_new_peer)
        self.gateways = GatewayTracker(self.peers, self.context)
        self.replica = Replica(settings.ip, environment.store, environment.run_blocking, self._on_chosen)
        proposer = f"{settings.ip}/{self.incarnation}"
        self.replication = Replication(self.replica, self.peers, proposer, self.tasks.spawn, random_source)
        self.cluster = ReplicatedClusterView(self.replica, self.peers)
        self.configurations = ConfigurationService(self.replication, self.cluster)

    # ---- lifecycle ----

    async def start(self) -> None:
        """Loads the replica from disk, makes the other parts and starts them.

        Raises:
            StorageError: the disk can't be used.
            InvalidRecord: a record on disk is whole but can't be decoded.
        """
        await self.replica.load(self.settings.seeds, self.settings.first_start, self.context.random_source)
        is_first_start = self.settings.first_start and self.replica.acceptor.promised == NO_BALLOT
        self.discovery = self._make_discovery(is_first_start)
        self.lease = self._make_lease(is_first_start)
        self.membership = self._make_membership()
        self.follower = PeerFollower(
            settings=self.settings,
            incarnation=self.incarnation,
            peers=self.peers,
            replication=self.replication,
            discovery=self.discovery,
            context=self.context,
        )
        self.router = self._make_router()
        self.add_peers(*self.settings.seeds, *self.replica.voters().addresses())
        for work in (
            self.discovery.run_forwarding(),
            self.discovery.run_sweeper(),
            self.gateways.run_sweeper(),
            self.lease.run(),
            self.membership.run(),
        ):
            self.tasks.spawn(work)

    def _make_discovery(self, is_first_start: bool) -> DiscoveryService:
        # Every instance sends a heartbeat within the silence time-out, so after one time-out all have sent one.
        discovery = DiscoveryService(
            self.cluster,
            self.context,
            silence_timeout_s=self.settings.silence_timeout_s,
            heartbeat_round_s=self.settings.silence_timeout_s,
        )
        if is_first_start:
            discovery.mark_first_start()
        return discovery

    def _make_lease(self, is_first_start: bool) -> QuotaLease:
        return QuotaLease(
            replica=self.replica,
            peers=self.peers,
            incarnation=self.incarnation,
            bounds=self.settings.bounds,
            voter=LeaseVoter(self.replica, first_start=is_first_start, clock=self.clock),
            gateways=self.gateways,
            configuration=self.configuration,
            context=self.context,
        )

    def _make_membership(self) -> Membership:
        return Membership(
            replication=self.replication,
            peers=self.peers,
            holds_lease=self.lease.is_held,
            size=voter_count(self.settings.losses),
            catch_up_s=self.settings.bounds.catch_up_s,
            context=self.context,
        )

    def _make_router(self) -> MessageRouter:
        pulls = PullService(
            settings=self.settings,
            incarnation=self.incarnation,
            replica=self.replica,
            discovery=self.discovery,
            lease=self.lease,
            membership=self.membership,
            gateways=self.gateways,
            follower=self.follower,
            context=self.context,
        )
        return MessageRouter(
            pulls=pulls,
            replication=self.replication,
            discovery=self.discovery,
            lease=self.lease,
            configuration=self.configuration,
        )

    async def transfer_vote(self, timeout_s: float) -> None:
        """Transfers this controller's vote to a learner, if there is one, before a shutdown.

        Args:
            timeout_s: the method returns after this many seconds at the latest.
        """
        self.context.changes.notify()
        await self.membership.transfer_vote(timeout_s)

    def has_quorum(self) -> bool:
        """Returns whether a majority of the voters is reachable."""
        return self.cluster.has_quorum()

    # ---- events from the parts ----

    def add_peers(self, *addresses: str) -> None:
        """Adds controllers by address, for example when the settings were reloaded."""
        self.follower.add_peers(*addresses)

    def _on_new_peer(self, address: str, peer: Peer) -> None:
        self.follower.start_following(address, peer)

    def _on_chosen(self) -> None:
        """Handles a newer chosen value of the replica: updates the configuration and the known peers."""
        chosen = self.replica.chosen
        if chosen:
            self.configuration.update(chosen)
            self.add_peers(*chosen.value.voters.addresses())
        self.context.changes.notify()

    # ---- messages and calls from other processes ----

    async def handle_message(self, message: Message) -> Message | None:
        """Returns the response to a message of a gateway or another controller; None if the message is no request."""
        return await self.router.dispatch(message)

    async def handle_call(self, call: ApiCall) -> ApiResult:
        """Returns the result of a call of an instance or an operator."""
        match call:
            case Heartbeat():
                return await self.discovery.heartbeat(call)
            case Leave():
                return await self.discovery.leave(call)
            case ReplaceConfiguration(configuration):
                return await self.configurations.replace(configuration)
            case ReadConfiguration():
                return await self.configurations.read()
            case ReadStatus():
                return Document(self.status())

    def status(self) -> bytes:
        """Returns the status report as JSON."""
        return status_json(self._status_sources(), self.clock())

    def gauges(self) -> dict[str, float]:
        """Returns the status report's gauges by name."""
        return status_gauges(self._status_sources(), self.clock())

    def _status_sources(self) -> StatusSources:
        return StatusSources(
            name=self.settings.name,
            cluster=self.cluster,
            replica=self.replica,
            peers=self.peers,
            lease=self.lease,
            gateways=self.gateways,
            registry=self.discovery.registry,
        )
