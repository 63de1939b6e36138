"""What a simulated fleet is made of, what a span of its time costs, and the figures that follow."""

from dataclasses import dataclass

from stoneyoke.lab.capacity.figures import Figure

SETTLE_S = 3.5  # after the first load; by then the membership, the voters and the lease holder are settled
NOISE_SHARE = 0.2  # of the steady load; less processor time than that is not distinct from noise


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """What a fleet is made of.

    Attributes:
        gateways: How many there are.
        controllers: How many there are.
        instances: Backends that send heartbeats.
        routes: Of the configuration.
        tenants: Of the configuration.
        changes_per_minute: New configurations while the steady load is measured.
        regions: Over which the machines are spread evenly.
        settle_s: Simulated time after the start of all gateways that counts as part of the start.
        window_s: Simulated time in which the steady load is measured.
        events: Whether a change, a drain and a new gateway are measured, too.
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
    """What a span of simulated time cost.

    Attributes:
        seconds: Its length.
        completed_s: Simulated time until all had what they waited for.
        gateways_cpu_s: Processor time of all gateways.
        busiest_controller_cpu_s: Processor time of the busiest controller.
        gateways_bytes: Bytes in and out of all gateways.
        busiest_controller_bytes: Bytes in and out of the busiest controller.
        gateway_messages: Messages in and out of all gateways.
        controller_messages: Messages in and out of the busiest controller.
        between_regions_bytes: Bytes from one region to another.
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
    """Returns the load of a fleet in which nothing special happens, a second."""
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
    """Returns what an event cost beyond the steady load.

    Args:
        event: Its name in the figures.
        cost: Of the event and of what it set off.
        steady: The steady load; None for the start of the fleet, when it is not known yet.
        gateways: How many there are.
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
