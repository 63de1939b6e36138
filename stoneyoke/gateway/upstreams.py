"""The services behind a gateway: one decision logic for each, over one pool of connections.

What controllers report of instances and gateways is handed on to every decision logic as its own events.
"""

from dataclasses import dataclass

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.control.events import Endpoint, EndpointsChanged, ParametersChanged, PeerEvidence
from stoneyoke.control.parameters import (
    AttemptOutcome,
    BackendState,
    DeduplicationScope,
    GatewayParameters,
    Idempotency,
    Method,
    Plan,
)
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.gateway.control_client import GatewayFleet
from stoneyoke.gateway.instance_directory import InstanceDirectory, KnownInstance
from stoneyoke.gateway.routes import Route
from stoneyoke.net.backends import Backends
from stoneyoke.net.message_reader import Message
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.runtime import Runtime

WARM_UP_US = 3_000_000  # an instance reports how much longer it warms up; all are taken to need this in all
# Operators' latency targets are three to four times the work. The decisions hold a service's mean time at a third of
# the soft deadline, so the target itself as soft deadline would leave the work alone. With factor 1 a third of one
# zone's requests was refused on a calm day (journal 61a76ece).
SOFT_DEADLINE_FACTOR = 2
RANKS_MAX = 8  # of tenants and routes; all beyond weigh the same
# Of the system's slack for retries. The rest covers gateways that count each other differently, and restarts.
RETRY_BUDGET_FRACTION = 0.5
ATTEMPTS_MAX = 1000  # each route sets its own
MISDIRECTED_REQUEST = 421


class Upstream:
    """A service as this gateway serves it.

    Attributes:
        service: The operator's name for it.
        runtime: Its decision logic.
        methods: The number of each kind of route that was asked for. A process sees few kinds.
    """

    def __init__(self, service: str, parameters: GatewayParameters, clock: Clock, metrics: Metrics) -> None:
        """Starts the decision logic of a service, without instances."""
        self.service = service
        self.runtime = Runtime(parameters, clock, metrics)
        self.methods: dict[tuple[bool, int, int, int], int] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """What the decisions of every service share.

    Attributes:
        zones: All zones by name; their order gives their numbers.
        zone: This gateway's zone.
        seed: The seed of the decisions.
        bounds: The figures of the service's rules.
    """

    zones: tuple[str, ...]
    zone: str
    seed: int
    bounds: ServiceBounds


class Upstreams:
    """All services that were asked for or have instances.

    Attributes:
        upstreams: The services by name.
        indices: The number of each instance, as the decisions and the connection pool have it.
        instances: The instances that are listed, by that number.
        fleet: How many gateways share the retry budget.
        directory_revision: The revision of the instance directory that the services have.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        backends: Backends,
        instance_directory: InstanceDirectory,
        settings: UpstreamSettings,
    ) -> None:
        """Starts without services.

        Args:
            clock: The process's clock.
            metrics: The process's counters.
            backends: The connections to backends; asks here whether a backend takes new work.
            instance_directory: The instances that controllers have reported.
            settings: What the decisions of every service share.
        """
        self.clock, self.metrics, self.backends, self.instance_directory = clock, metrics, backends, instance_directory
        self.zones, self.zone, self.seed = list(settings.zones), settings.zone, settings.seed
        self.bounds = settings.bounds
        self.upstreams: dict[str, Upstream] = {}
        self.indices = IdIndex[str]()
        self.instances: dict[int, KnownInstance] = {}
        self.fleet, self.directory_revision = GatewayFleet(), -1
        self.backends.accepts_new_work = self.accepts_work

    def accepts_work(self, backend: int) -> bool:
        """Whether an instance may be sent new requests, by what is known now."""
        known = self.instances.get(backend)
        if known is None or known.row.phase == Phase.DRAINING:
            return False
        return known.row.instance not in self.instance_directory.gone_at

    def zone_of(self, name: str) -> int:
        """A zone's number; a new zone gets the next one."""
        if name not in self.zones:
            self.zones.append(name)
        return self.zones.index(name)

    def parameters(self, methods: tuple[Method, ...]) -> GatewayParameters:
        """The parameters of a service's decisions, with this gateway's part of the retry budget."""
        ratio, window = self.bounds.retry_ratio, self.bounds.retry_window_s
        slack = self.bounds.retry_slack_attempts * RETRY_BUDGET_FRACTION / self.fleet.size
        return GatewayParameters(
            seed=self.seed,
            gateways=self.fleet.size,
            own_index=self.fleet.own_index,
            zone=self.zone_of(self.zone),
            methods=methods,
            plans=tuple(
                Plan(rate=0.0, burst=0.0, price=1 / (1 + rank), concurrency_max=0, ceiling_rate=0.0, ceiling_burst=0.0)
                for rank in range(RANKS_MAX)
            ),
            attempts_max=ATTEMPTS_MAX,
            can_cancel_attempts=True,
            has_counter=False,
            clients_mark_retries=False,
            sends_retry_after=True,
            settles_units=False,
            must_subscribe=False,
            units_max=1.0,
            cold_share=0.5,
            warm_up_us=WARM_UP_US,
            overload_factor=4.0,
            overload_window_us=1_000_000,
            retry_budget_ratio=0.8 * ratio,
            retry_budget_per_s=0.5 * slack / window,
            retry_budget_depth=max(1.0, 0.5 * slack),
        )

    def get(self, service: str) -> Upstream:
        """The service of this name; made at its first request or instance."""
        upstream = self.upstreams.get(service)
        if upstream is None:
            first = (
                Method(
                    idempotency=Idempotency.IDEMPOTENT,
                    deduplication_scope=DeduplicationScope.CELL,
                    soft_deadline_us=1_000_000,
                    deadline_us=10_000_000,
                    deduplication_window_us=0,
                    utility=1.0,
                    attempts_max=1,
                ),
            )
            upstream = self.upstreams[service] = Upstream(service, self.parameters(first), self.clock, self.metrics)
            self.send_endpoints(upstream)
        return upstream

    def method_number(self, upstream: Upstream, route: Route) -> int:
        """The number by which the decisions of a service know requests of this kind of route."""
        kind = (
            route.is_idempotent,
            route.target_us,
            route.timeout_us,
            min(route.rank, RANKS_MAX) * 10_000 + route.attempts_max,
        )
        number = upstream.methods.get(kind)
        if number is None:
            parameters = upstream.runtime.gateway.parameters
            method = Method(
                idempotency=Idempotency.IDEMPOTENT if route.is_idempotent else Idempotency.NON_IDEMPOTENT,
                deduplication_scope=DeduplicationScope.CELL,
                soft_deadline_us=SOFT_DEADLINE_FACTOR * route.target_us,
                deadline_us=route.timeout_us,
                deduplication_window_us=0,
                utility=1 / (1 + min(route.rank, RANKS_MAX)),
                attempts_max=route.attempts_max,
            )
            number = upstream.methods[kind] = len(parameters.methods)
            upstream.runtime.dispatch(ParametersChanged(self.parameters((*parameters.methods, method))))
        return number

    def set_fleet(self, fleet: GatewayFleet) -> None:
        """Tells every service how many gateways there are, if that has changed."""
        if fleet != self.fleet:
            self.fleet = fleet
            for upstream in self.upstreams.values():
                upstream.runtime.dispatch(
                    ParametersChanged(self.parameters(upstream.runtime.gateway.parameters.methods))
                )

    def refresh(self) -> None:
        """Tells every service of its instances, if anything has changed in the directory."""
        if self.directory_revision == self.instance_directory.revision:
            return
        self.directory_revision = self.instance_directory.revision
        self.update_instances()
        self.release_unlisted()
        for service in {known.row.service for known in self.instances.values()}:
            self.get(service)
        for upstream in self.upstreams.values():
            self.send_endpoints(upstream)

    def update_instances(self) -> None:
        """Numbers the instances of the directory and sets their addresses."""
        self.instances = {}
        for known in self.instance_directory.instances.values():
            index = self.indices.acquire(known.row.instance)
            self.instances[index] = known
            host, _, port = known.row.address.rpartition(":")
            self.backends.set_address(index, (host, int(port)))

    def release_unlisted(self) -> None:
        """Closes connections to instances that are listed no more; frees their numbers once no service uses them."""
        for index in list(self.indices.index_by_id.values()):
            if index not in self.instances:
                self.backends.remove(index)
                if not any(upstream.runtime.knows_backend(index) for upstream in self.upstreams.values()):
                    self.indices.release(index)

    def send_endpoints(self, upstream: Upstream) -> None:
        """Tells one service of its instances, and of those that no controller hears."""
        now = self.clock.now()
        entries = [
            self.endpoint(index, known, now)
            for index, known in self.instances.items()
            if known.row.service == upstream.service
        ]
        upstream.runtime.endpoints_changed(EndpointsChanged(True, False, entries))
        unheard = self.instance_directory.unheard_instances(upstream.service)
        ejected_backends = frozenset(self.indices.index_by_id[name] for name in unheard)
        upstream.runtime.dispatch(PeerEvidence(ejected_backends, frozenset()))

    def endpoint(self, index: int, known: KnownInstance, now: int) -> Endpoint:
        """An instance in the terms of the decisions."""
        warm_up_left_us = int(known.warm_at * 1_000_000 - now)
        started_us = now + warm_up_left_us - WARM_UP_US if warm_up_left_us > 0 else 0
        state = BackendState.DRAINING if known.row.phase == Phase.DRAINING else BackendState.READY
        return Endpoint(index, self.zone_of(known.row.zone), 0, started_us, state)


def classify_response(answer: Message | None) -> AttemptOutcome:
    """What a backend's answer tells of its attempt; None: the connection ended without one.

    Only Not-Run and 421 prove that the request has not run. A success without its stamp, with two of them, or with
    Not-Run is none.

    Source: PROTOCOL, Answers and Backends.
    """
    if answer is None:
        return AttemptOutcome.BROKEN
    says_not_run = b"not-run" in answer.headers
    if 200 <= answer.status < 300:
        has_one_stamp = bool(answer.headers.get(b"server-stamp")) and b"server-stamp" not in answer.repeated
        return AttemptOutcome.OK if has_one_stamp and not says_not_run else AttemptOutcome.BROKEN
    if says_not_run or answer.status == MISDIRECTED_REQUEST:
        return AttemptOutcome.REJECTED
    if answer.status in (408, 429, 503):  # they promise that it has not run, which only Not-Run proves
        return AttemptOutcome.BROKEN
    return AttemptOutcome.ERROR if answer.status >= 500 else AttemptOutcome.OK
