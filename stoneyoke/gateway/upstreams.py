"""The services behind a gateway: each service has its own decision logic, and all share one connection pool.

Changes of instances and gateways that controllers report are passed to every decision logic as events.
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

# An instance reports only its remaining warm-up time. Its start is computed as if every instance warms up this long.
WARM_UP_US = 3_000_000
# An operator's latency target is three to four times the processing time of a request. The decision logic limits
# concurrency so that a service's mean response time stays at a third of the soft deadline. With the target itself as
# the soft deadline, that third would be the bare processing time, with no room for queueing: a trial with factor 1
# rejected a third of one zone's requests on a day without faults (journal 61a76ece).
SOFT_DEADLINE_FACTOR = 2
RANKS_MAX = 8  # ranks of tenants and routes that differ in weight; all higher ranks weigh the same
# Fraction of the system's slack for retries that the gateways use. The rest covers restarts, and gateways that disagree
# on the number of gateways.
RETRY_BUDGET_FRACTION = 0.5
ATTEMPTS_MAX = 1000  # upper bound for all routes; each route sets its own, lower limit
MISDIRECTED_REQUEST = 421


class Upstream:
    """A service to which this gateway forwards requests.

    Attributes:
        service: The operator's name for the service.
        runtime: Runs the service's decision logic.
        methods: The index of the decision logic's method for each kind of route that was requested. It is never
            pruned: a process sees few kinds.
    """

    def __init__(self, service: str, parameters: GatewayParameters, clock: Clock, metrics: Metrics) -> None:
        """Creates the decision logic of a service, without instances."""
        self.service = service
        self.runtime = Runtime(parameters, clock, metrics)
        self.methods: dict[tuple[bool, int, int, int], int] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Settings that the decision logics of all services share.

    Attributes:
        zones: The names of all zones. A zone's position is its index.
        zone: This gateway's zone.
        seed: The random seed of the decision logics.
        bounds: The operators' bounds on retries, quotas and times.
    """

    zones: tuple[str, ...]
    zone: str
    seed: int
    bounds: ServiceBounds


class Upstreams:
    """All services that were requested or have instances.

    Attributes:
        upstreams: The services by name.
        indices: The index of each instance, by which the decision logics and the connection pool identify it.
        instances: The instances in the directory, by index.
        fleet: The number of gateways that share the retry budget, and this gateway's index.
        directory_revision: The revision of the instance directory that the services were last updated to.
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
            backends: The connections to backends. It calls `accepts_work` before it sends a request.
            instance_directory: The instances that controllers have reported.
            settings: Settings that the decision logics of all services share.
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
        """Whether new requests may be sent to an instance: it is listed, and neither draining nor gone."""
        known = self.instances.get(backend)
        if known is None or known.row.phase == Phase.DRAINING:
            return False
        return known.row.instance not in self.instance_directory.gone_at

    def zone_index(self, name: str) -> int:
        """Returns the index of a zone; an unknown zone is appended."""
        if name not in self.zones:
            self.zones.append(name)
        return self.zones.index(name)

    def parameters(self, methods: tuple[Method, ...]) -> GatewayParameters:
        """Returns the parameters of a service's decision logic, with this gateway's part of the retry budget."""
        ratio, window = self.bounds.retry_ratio, self.bounds.retry_window_s
        slack = self.bounds.retry_slack_attempts * RETRY_BUDGET_FRACTION / self.fleet.size
        return GatewayParameters(
            seed=self.seed,
            gateways=self.fleet.size,
            own_index=self.fleet.own_index,
            zone=self.zone_index(self.zone),
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
        """Returns the service of this name, which is created at its first request or instance."""
        upstream = self.upstreams.get(service)
        if upstream is None:
            initial_methods = (
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
            upstream = self.upstreams[service] = Upstream(
                service, self.parameters(initial_methods), self.clock, self.metrics
            )
            self.send_endpoints(upstream)
        return upstream

    def method_index(self, upstream: Upstream, route: Route) -> int:
        """Returns the index of the decision logic's method for this kind of route; a new kind adds a method."""
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
        """Updates the retry budget of every service if the number of gateways or this gateway's index has changed."""
        if fleet != self.fleet:
            self.fleet = fleet
            for upstream in self.upstreams.values():
                upstream.runtime.dispatch(
                    ParametersChanged(self.parameters(upstream.runtime.gateway.parameters.methods))
                )

    def refresh(self) -> None:
        """Passes the instances to every service if the directory has changed."""
        if self.directory_revision == self.instance_directory.revision:
            return
        self.directory_revision = self.instance_directory.revision
        self.update_instances()
        self.remove_unlisted()
        for service in {known.row.service for known in self.instances.values()}:
            self.get(service)
        for upstream in self.upstreams.values():
            self.send_endpoints(upstream)

    def update_instances(self) -> None:
        """Assigns an index to each instance of the directory and sets its address in the connection pool."""
        self.instances = {}
        for known in self.instance_directory.instances.values():
            index = self.indices.acquire(known.row.instance)
            self.instances[index] = known
            host, _, port = known.row.address.rpartition(":")
            self.backends.set_address(index, (host, int(port)))

    def remove_unlisted(self) -> None:
        """Closes connections to instances that left the directory, and frees each index once no service uses it."""
        for index in list(self.indices.index_by_id.values()):
            if index not in self.instances:
                self.backends.remove(index)
                if not any(upstream.runtime.is_known_backend(index) for upstream in self.upstreams.values()):
                    self.indices.release(index)

    def send_endpoints(self, upstream: Upstream) -> None:
        """Passes its instances to a service, and marks as ejected those whose heartbeats no controller receives."""
        now = self.clock.now()
        entries = [
            self.endpoint(index, known, now)
            for index, known in self.instances.items()
            if known.row.service == upstream.service
        ]
        upstream.runtime.endpoints_changed(EndpointsChanged(True, False, entries))
        silent = self.instance_directory.silent_instances(upstream.service)
        ejected_backends = frozenset(self.indices.index_by_id[name] for name in silent)
        upstream.runtime.dispatch(PeerEvidence(ejected_backends, frozenset()))

    def endpoint(self, index: int, known: KnownInstance, now: int) -> Endpoint:
        """Converts an instance to an endpoint of the decision logic."""
        warm_up_left_us = int(known.warmed_up_at * 1_000_000 - now)
        started_us = now + warm_up_left_us - WARM_UP_US if warm_up_left_us > 0 else 0
        state = BackendState.DRAINING if known.row.phase == Phase.DRAINING else BackendState.READY
        return Endpoint(index, self.zone_index(known.row.zone), 0, started_us, state)


def classify_response(answer: Message | None) -> AttemptOutcome:
    """Returns the outcome of an attempt from the backend's response; None: the connection ended without a response.

    Only the Not-Run header and status 421 prove that the backend did not run the request. A 2xx response counts as
    BROKEN if it has no Server-Stamp, more than one, or a Not-Run header.

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
    if answer.status in (408, 429, 503):  # by their definition it did not run, but only Not-Run proves that
        return AttemptOutcome.BROKEN
    return AttemptOutcome.ERROR if answer.status >= 500 else AttemptOutcome.OK
