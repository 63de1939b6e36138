"""The composition of a simulated fleet, its cost over a span of simulated time, and the figures computed from it."""

from dataclasses import dataclass

from stoneyoke.lab.capacity.figures import Figure

SETTLE_S = (
    3.5  # after the gateways have started; by then the membership, the voters and the lease holder no longer change
)
NOISE_SHARE = 0.2  # of the steady load; a smaller difference in processor time is indistinguishable from noise


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """The composition of a fleet, and how long it is measured.

    Attributes:
        gateways: The number of gateways.
        controllers: The number of controllers.
        instances: The number of backends that send heartbeats.
        routes: The number of routes in the configuration.
        tenants: The number of tenants in the configuration.
        changes_per_minute: New configurations per minute while the steady load is measured.
        regions: The number of regions, over which the machines are spread evenly.
        settle_s: Simulated seconds after all gateways are ready that count as part of the start.
        window_s: Simulated seconds for which the steady load is measured.
        events: Whether a configuration change, a drain and the start of one more gateway are measured, too.
    """

    gateways: int = 10
    controllers: int = 3
    instances: int = 30
    routes: int = 20
    tenants: int = 8
    changes_per_minute: int = 0
    regions: int = 1
    settle_s: float = SETTLE_S
    window_s: float = 4.0
    events: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """The cost of a span of simulated time.

    Attributes:
        seconds: The length of the span.
        completed_s: Simulated seconds until the measured work was complete.
        gateways_cpu_s: Processor seconds of all gateways.
        busiest_controller_cpu_s: Processor seconds of the busiest controller.
        gateways_bytes: Bytes that all gateways sent and received.
        busiest_controller_bytes: Bytes that the busiest controller sent and received.
        gateway_messages: Messages that all gateways sent and received.
        controller_messages: Messages that the busiest controller sent and received.
        between_regions_bytes: Bytes sent from one region to another.
    """

    seconds: float
    completed_s: float
    gateways_cpu_s: float
    busiest_controller_cpu_s: float
    gateways_bytes: int
    busiest_controller_bytes: int
    gateway_messages: int
    controller_messages: int
    between_regions_bytes: int


def steady_figures(cost: Cost, gateways: int) -> list[Figure]:
    """Returns the load per second of a fleet without events."""
    seconds = cost.seconds
    return [
        Figure("steady: a gateway's wire", "B/s", cost.gateways_bytes / gateways / seconds),
        Figure("steady: a gateway's messages", "1/s", cost.gateway_messages / gateways / seconds),
        Figure("steady: a gateway's processor", "s/s", cost.gateways_cpu_s / gateways / seconds),
        Figure("steady: busiest controller's wire", "B/s", cost.busiest_controller_bytes / seconds),
        Figure("steady: busiest controller's messages", "1/s", cost.controller_messages / seconds),
        Figure("steady: busiest controller's processor", "s/s", cost.busiest_controller_cpu_s / seconds),
        Figure("steady: between regions", "B/s", cost.between_regions_bytes / seconds),
    ]


def event_figures(event: str, cost: Cost, steady: Cost | None, gateways: int) -> list[Figure]:
    """Returns the cost of an event beyond the steady load.

    Args:
        event: The name of the event in the figures.
        cost: The cost of the event and of its consequences.
        steady: The steady load; None for the start of the fleet, which is measured before it.
        gateways: The number of gateways.
    """
    steady_spans = cost.seconds / steady.seconds if steady else 0.0
    usual = steady or cost
    gateways_bytes = max(0.0, cost.gateways_bytes - steady_spans * usual.gateways_bytes)
    controller_bytes = max(0.0, cost.busiest_controller_bytes - steady_spans * usual.busiest_controller_bytes)
    figures = [
        Figure(f"{event}: until all have it", "s", cost.completed_s),
        Figure(f"{event}: a gateway's wire", "B", gateways_bytes / gateways),
        Figure(f"{event}: busiest controller's wire", "B", controller_bytes),
    ]
    usual_cpu_s = steady_spans * usual.gateways_cpu_s
    if cost.gateways_cpu_s - usual_cpu_s > NOISE_SHARE * usual_cpu_s:
        cpu_s = (cost.gateways_cpu_s - usual_cpu_s) / gateways
        figures.append(Figure(f"{event}: a gateway's processor", "s", cpu_s))
    usual_cpu_s = steady_spans * usual.busiest_controller_cpu_s
    if cost.busiest_controller_cpu_s - usual_cpu_s > NOISE_SHARE * usual_cpu_s:
        cpu_s = cost.busiest_controller_cpu_s - usual_cpu_s
        figures.append(Figure(f"{event}: busiest controller's processor", "s", cpu_s))
    return figures
