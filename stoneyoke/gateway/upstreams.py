"""One module of decisions for each service, all over one pool of connections: its terms, its fleet, its doubts."""

import time
import zlib

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.control.events import EndpointsChanged, PeerEvidence, Endpoint, ParametersChanged
from stoneyoke.control.parameters import (
    Idempotency,
    DeduplicationScope,
    Method,
    AttemptOutcome,
    Plan,
    BackendState,
    GatewayParameters,
)
from stoneyoke.net.backends import Backends
from stoneyoke.net.message_reader import Message
from stoneyoke.gateway.control_client import GatewayFleet
from stoneyoke.gateway.instance_directory import KnownInstance, InstanceDirectory
from stoneyoke.gateway.routes import Route
from stoneyoke.runtime.clock import Clock
from stoneyoke.runtime.runtime import Runtime
from stoneyoke.runtime.metrics import Metrics

WARM_UP_US = 3_000_000  # backends say how much longer they are slow; all are taken to begin this long before
# Aims here are three to four times the work; the module holds a fleet's mean time at a third of the soft deadline,
# which would be the work itself. (Aims as they are: a third of one zone's calm day was refused, 61a76ece.)
SOFT_DEADLINE_FACTOR = 2
RANKS_MAX = 8  # of tenants and routes; beyond, all weigh the same
RETRY_BUDGET_FRACTION = 0.5  # of the system's slack for further tries: the rest is for lists that differ and restarts


class Upstream:
    """A service as this gateway serves it."""

    def __init__(self, service: str, parameters: GatewayParameters, clock: Clock, metrics: Metrics) -> None:
        self.service = service
        self.runtime = Runtime(parameters, clock, metrics)
        self.methods: dict[tuple[bool, int, int, int], int] = {}  # numbers; a life sees few kinds of routes


class Upstreams:
    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        backends: Backends,
        instance_directory: InstanceDirectory,
        zones: tuple[str, ...],
        zone: str,
        seed: int,
        bounds: ServiceBounds,
    ) -> None:
        self.clock, self.metrics, self.backends, self.instance_directory = clock, metrics, backends, instance_directory
        self.zones, self.zone, self.seed, self.bounds = list(zones), zone, seed, bounds
        self.upstreams: dict[str, Upstream] = {}
        self.indices = IdIndex[str]()  # backends, by instance
        self.instances: dict[int, KnownInstance] = {}  # listed backends, by index
        self.fleet, self.directory_revision = GatewayFleet(), -1
        self.backends.accepts_new_work = self.accepts_work

    def accepts_work(self, backend: int) -> bool:
        instance_known = self.instances.get(backend)
        return (
            instance_known is not None
            and instance_known.row.phase != Phase.DRAINING
            and (instance_known.row.instance not in self.instance_directory.gone_at)
        )

    def zone_of(self, name: str) -> int:
        if name not in self.zones:
            self.zones.append(name)
        return self.zones.index(name)

    def parameters(self, methods: tuple[Method, ...]) -> GatewayParameters:
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
            attempts_max=1000,
            can_cancel_attempts=True,
            has_counter=False,
            clients_mark_retries=False,
            advises_wait=True,
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
        """The number under which the module knows requests of this kind."""
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
        """How many gateways there are has changed."""
        if fleet != self.fleet:
            self.fleet = fleet
            for upstream in self.upstreams.values():
                upstream.runtime.dispatch(
                    ParametersChanged(self.parameters(upstream.runtime.gateway.parameters.methods))
                )

    def refresh(self) -> None:
        """Tells each module of its backends, if anything has changed."""
        if self.directory_revision == self.instance_directory.revision:
            return
        self.directory_revision = self.instance_directory.revision
        self.instances = {}
        for instance_known in self.instance_directory.instances.values():
            index = self.indices.acquire(instance_known.row.instance)
            self.instances[index] = instance_known
            host, _, port = instance_known.row.address.rpartition(":")
            self.backends.set_address(index, (host, int(port)))
        for index in list(self.indices.index_by_id.values()):
            if index not in self.instances:
                self.backends.remove(index)
                if not any(upstream.runtime.knows_backend(index) for upstream in self.upstreams.values()):
                    self.indices.release(index)
        for service in {instance_known.row.service for instance_known in self.instances.values()}:
            self.get(service)
        for upstream in self.upstreams.values():
            self.send_endpoints(upstream)

    def send_endpoints(self, upstream: Upstream) -> None:
        now = self.clock.now()
        entries = []
        for index, instance_known in self.instances.items():
            if instance_known.row.service == upstream.service:
                left = int(instance_known.warm_at * 1_000_000 - now)
                state = BackendState.DRAINING if instance_known.row.phase == Phase.DRAINING else BackendState.READY
                entries.append(
                    Endpoint(
                        index,
                        self.zone_of(instance_known.row.zone),
                        0,
                        now + left - WARM_UP_US if left > 0 else 0,
                        state,
                    )
                )
        upstream.runtime.endpoints_changed(EndpointsChanged(True, False, entries))
        doubted = self.instance_directory.unheard_instances(upstream.service)
        upstream.runtime.dispatch(
            PeerEvidence(frozenset(self.indices.index_by_id[one] for one in doubted), frozenset())
        )


def classify_answer(answer: Message | None) -> AttemptOutcome:
    """What a backend's answer tells (PROTOCOL, Answers and Backends). Only Not-Run and 421 say that it has not run;
    a success without its stamp, with two, or that says that it has not run is none."""
    if answer is None:
        return AttemptOutcome.BROKEN
    if 200 <= answer.status < 300:
        whole = answer.headers.get(b"server-stamp") and not answer.repeated & {b"server-stamp"}
        return AttemptOutcome.OK if whole and b"not-run" not in answer.headers else AttemptOutcome.BROKEN
    if b"not-run" in answer.headers or answer.status == 421:
        return AttemptOutcome.REJECTED
    if answer.status in (408, 429, 503):  # a promise that only Not-Run backs
        return AttemptOutcome.BROKEN
    return AttemptOutcome.ERROR if answer.status >= 500 else AttemptOutcome.OK


def seed_of(name: str) -> int:
    return zlib.crc32(name.encode()) + int.from_bytes(time.monotonic_ns().to_bytes(8, "big")[4:], "big")
