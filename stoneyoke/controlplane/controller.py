"""A controller at work: puts the parts of the control plane together and passes messages and calls on to them."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, ParamSpec, TypeVar

from loguru import logger

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.api.calls import (
    Answer,
    Asked,
    Document,
    Heartbeat,
    Leave,
    ReadConfiguration,
    ReadStatus,
    ReplaceConfiguration,
)
from stoneyoke.api.configuration import Configuration, Version, read_configuration
from stoneyoke.api.schema import InvalidField
from stoneyoke.consensus.ballot import NO_BALLOT, Ballot
from stoneyoke.consensus.message_rows import EMPTY_VALUE, ballot_row, member_row, value_row, version_row
from stoneyoke.consensus.replica import RecordStorage, Replica
from stoneyoke.consensus.replication import Replication
from stoneyoke.consensus.voter_set import voter_count
from stoneyoke.controlplane.configuration_service import ConfigurationService
from stoneyoke.controlplane.discovery_service import DiscoveryService, Surroundings
from stoneyoke.controlplane.heartbeat_ring import HeartbeatWatch
from stoneyoke.controlplane.membership import Membership
from stoneyoke.controlplane.peers import Peer, Peers
from stoneyoke.controlplane.quota_lease import QuotaLease
from stoneyoke.controlplane.status import status_text
from stoneyoke.limits.quota_allocator import FORGET_S
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import (
    AcceptRequest,
    ChosenNotice,
    FetchRequest,
    FetchResponse,
    InstanceRefresh,
    InstanceUpdate,
    LeaseRequest,
    Message,
    PrepareRequest,
    PullRequest,
    PullResponse,
    QueryRequest,
    QuotaRequest,
    QuotaResponse,
    ValueRequest,
)
from stoneyoke.transport.messages.pull import CONTROLLER_KIND
from stoneyoke.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 0.7
PULL_HOLD_S = 0.25  # how long a controller may hold another's pull
MAX_PULL_HOLD_S = 2.0  # the same for a gateway's
PULL_INTERVAL_S = 0.05  # between two pulls
UNREACHABLE_PAUSE_S = 0.15  # after a peer that did not answer
GATEWAY_TIMEOUT_S = 10.0  # a gateway silent for so long is forgotten
SWEEP_INTERVAL_S = 0.25

P = ParamSpec("P")
R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class GatewaySeen:
    """A gateway's last pull: the version in force there, when, whether it is ready."""

    version: Version
    at: float
    ready: bool


class Controller:
    """port: of the controllers' own protocol. silent_s: a backend without a heartbeat for so long counts as silent.
    bounds: the operators' figures by name. losses: of machines with a disk that are to be borne at once. clock: of
    steady seconds; only lengths of time are ever used."""

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        zone: str,
        store: RecordStorage,
        seeds: tuple[str, ...],
        *,
        first_start: bool,
        silent_s: float,
        bounds: ServiceBounds,
        losses: int,
        clock: Callable[[], float] = time.monotonic,
        dial: Callable[[tuple[str, int]], PeerClient] = PeerClient,
        random_source: random.Random | None = None,
    ) -> None:
        self.name, self.ip, self.zone, self.clock = name, ip, zone, clock
        self.seeds, self.first_start, self.bounds = seeds, first_start, bounds
        self.silent_s, self.losses = silent_s, losses
        self.random_source = random_source or random.SystemRandom()
        self.incarnation, self.started_at = f"{self.random_source.getrandbits(48):012x}", clock()
        self.tasks: set[asyncio.Future[Any]] = set()  # kept until they are done
        self.change_event = asyncio.Event()  # set and renewed when others should hear of something
        self.membership_version = 0  # rises with each change of the controllers and gateways known
        self.gateways_seen: dict[str, GatewaySeen] = {}
        self.watch = HeartbeatWatch(GATEWAY_TIMEOUT_S)
        self.configuration: Configuration | None = None  # the newest that is chosen
        self.compressed: tuple[Ballot, bytes] = (NO_BALLOT, b"")  # its text, deflated
        self.peers = Peers(ip, port, dial, clock, self.start_following)
        self.replica = Replica(ip, store, lambda *call: self.blocking(*call), self.on_chosen)
        proposer = f"{ip}/{self.incarnation}"
        self.replication = Replication(self.replica, self.peers, proposer, self.spawn, self.random_source)
        self.configurations = ConfigurationService(self.replication, self.has_quorum)
        self.discovery: DiscoveryService
        self.lease: QuotaLease
        self.membership: Membership

    async def start(self) -> None:
        """Raises StorageError or InvalidRecord if the disk can't be used."""
        await self.replica.load(self.seeds, self.first_start, self.random_source)
        fresh = self.first_start and self.replica.acceptor.promised == NO_BALLOT
        surroundings = Surroundings(
            own_address=self.ip,
            voters=lambda: self.replica.voters().addresses(),
            peers=self.peers.links,
            has_quorum=self.has_quorum,
            clock=self.clock,
            changed=self.notify_change,
            spawn=self.spawn,
        )
        self.discovery = DiscoveryService(surroundings, silent_s=self.silent_s, heartbeat_round_s=self.silent_s)
        if fresh:
            self.discovery.mark_first_start()
        self.lease = QuotaLease(
            self.replica,
            self.peers,
            self.incarnation,
            bounds=self.bounds,
            first_start=fresh,
            gateways=self.gateways,
            changed=self.notify_change,
            clock=self.clock,
            spawn=self.spawn,
            random_source=self.random_source,
        )
        self.membership = Membership(
            self.replication,
            self.peers,
            holds_lease=self.lease.is_held,
            clock=self.clock,
            size=voter_count(self.losses),
            catch_up_s=self.bounds.catch_up_s,
            random_source=self.random_source,
        )
        self.add_peers(*self.seeds, *self.replica.voters().addresses())
        for work in (
            self.discovery.run_forwarding(),
            self.discovery.run_sweeper(),
            self.run_sweeper(),
            self.lease.run(),
            self.membership.run(),
        ):
            self.spawn(work)

    async def leave(self, within_s: float) -> None:
        """Gives its vote to a learner, if there is one; returns then, or when the time is up."""
        self.notify_change()
        await self.membership.leave(within_s)

    def spawn(self, work: Coroutine[Any, Any, R]) -> asyncio.Task[R]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def blocking(self, work: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
        return await asyncio.get_running_loop().run_in_executor(None, lambda: work(*args, **kwargs))

    def notify_change(self) -> None:
        """Whoever waits for news is answered."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def on_chosen(self) -> None:
        """A newer value of the register is known to be chosen."""
        chosen = self.replica.chosen
        if chosen and chosen.value.body and chosen.value.version != self.configuration_version():
            try:
                self.configuration = read_configuration(chosen.value.body)
            except InvalidField as bad:
                logger.error("the configuration that is chosen can't be read: {}", bad)
        if chosen:
            self.add_peers(*chosen.value.voters.addresses())
        self.notify_change()

    def configuration_version(self) -> Version:
        return self.configuration.version if self.configuration else Version()

    # ---- other controllers ----

    def add_peers(self, *addresses: str) -> None:
        if self.peers.add_peers(*addresses):
            self.membership_version += 1

    def start_following(self, address: str, peer: Peer) -> None:
        peer.tasks.append(self.spawn(self.follow(address, peer)))

    async def follow(self, address: str, peer: Peer) -> None:
        """Pulls what another controller knows, for as long as this process lives."""
        while True:
            try:
                await self.pull(address, peer)
                await asyncio.sleep(PULL_INTERVAL_S)
            except PeerUnreachable:
                await asyncio.sleep(UNREACHABLE_PAUSE_S)
            except Exception:
                logger.exception("following {} failed", address)
                await asyncio.sleep(1.0)

    async def pull(self, address: str, peer: Peer) -> None:
        request = PullRequest(
            name=self.name,
            ip=self.ip,
            kind=CONTROLLER_KIND,
            zone=self.zone,
            incarnation=peer.incarnation,
            seq=peer.seq,
            version=version_row(self.replica.version()),
            ready=True,
            heartbeat=False,
            wait_ms=int(PULL_HOLD_S * 1000),
            own_incarnation=self.incarnation,
            membership_version=-1,
        )
        begun_at = self.clock()
        news = await peer.link.call(request, CALL_TIMEOUT_S + PULL_HOLD_S)
        if not isinstance(news, PullResponse):
            raise PeerUnreachable("an answer of another kind")
        peer.record_response(news, self.clock())
        self.discovery.merge_rows(news.instances)
        self.discovery.record_pull(address, news.instances_synced, begun_at)
        self.add_peers(*news.controllers)
        if peer.chosen_ballot > (self.replica.chosen.ballot if self.replica.chosen else NO_BALLOT):
            await self.replication.catch_up(address, peer.chosen_ballot)

    def has_quorum(self) -> bool:
        """More than half of the voters, this controller included, are heard."""
        return self.peers.majority_reachable(self.replica.voters().members, self.replica.identity)

    def gateways(self) -> list[str]:
        """Those that were there of late, by this controller's word or another's: they may hold parts of quotas."""
        now = self.clock()
        seen = {name for name, one in self.gateways_seen.items() if now - one.at < FORGET_S}
        told = {name for peer in self.peers.values() if now - peer.last_heard_at < FORGET_S for name in peer.gateways}
        return sorted(seen | told)

    async def run_sweeper(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self.watch.expire(self.clock()):
                self.membership_version += 1
                self.notify_change()

    # ---- what other processes ask ----

    async def handle_message(self, message: Message) -> Message | None:
        """The answer to another process's message; None: nothing is said."""
        match message:
            case PullRequest():
                return await self.answer_pull(message)
            case FetchRequest():
                return self.answer_fetch()
            case PrepareRequest():
                return await self.replication.handle_prepare(message)
            case AcceptRequest():
                return await self.replication.handle_accept(message)
            case QueryRequest():
                return self.replication.handle_query()
            case ValueRequest():
                return self.replication.handle_value_request(message)
            case ChosenNotice():
                return await self.replication.handle_chosen_notice(message)
            case InstanceUpdate():
                return self.discovery.handle_update(message)
            case InstanceRefresh():
                return self.discovery.handle_refresh(message)
            case LeaseRequest():
                return self.lease.answer_request(message)
            case QuotaRequest():
                return self.allocate_quota(message)
        return None

    async def answer_pull(self, asked: PullRequest) -> PullResponse:
        if asked.kind == CONTROLLER_KIND:
            self.add_peers(asked.ip)
        else:
            self.record_gateway(asked)
        change_event = self.change_event
        if asked.wait_ms > 0 and self.is_up_to_date(asked):
            try:
                async with asyncio.timeout(min(asked.wait_ms / 1000, MAX_PULL_HOLD_S)):
                    await change_event.wait()
            except TimeoutError:
                pass
        return self.pull_response(asked)

    def record_gateway(self, asked: PullRequest) -> None:
        now = self.clock()
        self.gateways_seen[asked.name] = GatewaySeen(Version(*asked.version), now, asked.ready)
        if asked.heartbeat and self.watch.record_heartbeat(asked.name, now):
            self.membership_version += 1
            self.notify_change()

    def is_up_to_date(self, asked: PullRequest) -> bool:
        """Whether there is nothing new for the asker."""
        current = asked.incarnation == self.incarnation and asked.seq >= self.discovery.registry.seq
        rolled = asked.membership_version == self.membership_version or asked.kind == CONTROLLER_KIND
        return current and rolled and self.replica.version() <= Version(*asked.version)

    def pull_response(self, asked: PullRequest) -> PullResponse:
        known, view, chosen = asked.incarnation == self.incarnation, self.replica.view(), self.replica.chosen
        rows = self.discovery.registry.changes_since(asked.seq if known else 0, self.clock())
        controllers: list[str] = []
        gateways: list[str] = []
        if not known or asked.membership_version != self.membership_version:
            controllers, gateways = [self.ip, *self.peers], list(self.watch.last_heard_at)
        return PullResponse(
            incarnation=self.incarnation,
            seq=self.discovery.registry.seq,
            complete=not known,
            instances=rows,
            replica=member_row(self.replica.identity),
            view_ballot=ballot_row(view.ballot if view else NO_BALLOT),
            view=value_row(view.value if view else EMPTY_VALUE, with_body=False),
            chosen_ballot=ballot_row(chosen.ballot if chosen else NO_BALLOT),
            version=version_row(self.replica.version()),
            instances_synced=self.discovery.synced(),
            lease_holder=self.lease.holder_known(),
            leaving=self.membership.leaving,
            zone=self.zone,
            membership_version=self.membership_version,
            controllers=controllers,
            gateways=gateways,
        )

    def answer_fetch(self) -> FetchResponse:
        chosen = self.replica.chosen
        if chosen is None:
            return FetchResponse(version=version_row(Version()), body=b"")
        if self.compressed[0] != chosen.ballot or not self.compressed[1]:
            self.compressed = (chosen.ballot, zlib.compress(chosen.value.body, 6))
        return FetchResponse(version=version_row(chosen.value.version), body=self.compressed[1])

    def allocate_quota(self, asked: QuotaRequest) -> QuotaResponse:
        allocator = self.lease.allocator
        if not allocator or not self.lease.is_held():
            return QuotaResponse(ok=False, grants=[])
        allocator.plans(self.configuration.tenants or [] if self.configuration else [])
        since_answer_s = asked.since_answer_ms / 1000
        grants = allocator.draw(
            asked.name, asked.incarnation, since_answer_s, asked.complete, asked.demands, self.clock()
        )
        return QuotaResponse(ok=True, grants=grants)

    # ---- what backends and operators ask ----

    async def handle_call(self, asked: Asked) -> Answer:
        match asked:
            case Heartbeat():
                return await self.discovery.heartbeat(asked)
            case Leave():
                return await self.discovery.leave(asked)
            case ReplaceConfiguration(configuration):
                return await self.configurations.replace(configuration)
            case ReadConfiguration():
                return await self.configurations.read()
            case ReadStatus():
                return Document(status_text(self))
