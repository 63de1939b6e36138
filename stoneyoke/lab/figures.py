"""The figures of a run, from the ledger alone, and whether the run is a valid measurement of the gateways."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from stoneyoke.lab.client_try import ClientTry, Interval
from stoneyoke.lab.ledger_index import LedgerIndex
from stoneyoke.lab.ledger_rows import GatewayUse
from stoneyoke.lab.quota_bucket import CustomerBuckets
from stoneyoke.lab.rules import REJECTED_STATUSES, TIMING_SLACK_US

# A process of the laboratory may itself have been the bottleneck if its event loop was later than this in more than 2%
# of its measurements. With 20 measurements or fewer that isn't decided.
MAX_LAG_MS = 100.0
MAX_LATE_SHARE = 0.02
MIN_LAG_SAMPLES = 20
MAX_LATENCY_US = 60_000_000
FAILING_KINDS = ("hang", "black_hole")  # faults during which a backend responds to no request with success
DETECTION_US = 1_000_000  # time that gateways have to detect such a fault; attempts at the backend count after it
THIRDS = 3


def void_reason(index: LedgerIndex) -> str:
    """Returns why the run is no valid measurement of the gateways; empty if it is one."""
    for process, lags_ms in index.lags_ms.items():
        late = sum(lag_ms > MAX_LAG_MS for lag_ms in lags_ms)
        if len(lags_ms) > MIN_LAG_SAMPLES and late > MAX_LATE_SHARE * len(lags_ms):
            samples = f"{late} of {len(lags_ms)} looks"
            return f"{process} was the limit: its event loop was over {MAX_LAG_MS:g} ms late in {samples}"
    return ""


def figures(index: LedgerIndex) -> dict[str, float]:
    """Returns all figures. Shares are from 0 to 1, times in ms, memory in MB, CPU in ms per try."""
    return goodput_figures(index) | try_figures(index) | resource_figures(index)


# ---- goodput ----


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferedRequest:
    """A request that a client sends according to the plan."""

    inside_quota: bool
    customer: int
    method: int
    gateway: int
    at_us: int
    value: float  # of a response in time: the product of utility, units and price


def offered_requests(index: LedgerIndex) -> dict[int, OfferedRequest]:
    """Returns all requests of the plan, by number."""
    quotas = CustomerBuckets()
    offered: dict[int, OfferedRequest] = {}
    for arrival in index.plan.arrivals:
        plan = index.scenario.plan[index.plan.customers[arrival.customer].plan]
        method = index.methods[arrival.method]
        offered[arrival.number] = OfferedRequest(
            inside_quota=quotas.take(arrival.customer, method.units, plan.rate, plan.burst, arrival.at_us),
            customer=arrival.customer,
            method=arrival.method,
            gateway=arrival.gateway,
            at_us=arrival.at_us,
            value=method.utility * method.units * plan.price,
        )
    return offered


def served_in_time(index: LedgerIndex, offered: dict[int, OfferedRequest]) -> set[int]:
    """Returns the numbers of the requests that were served within their method's latency target."""
    served_at_us: dict[int, int] = {}
    for client_try in index.tries.values():
        if client_try.status == 200 and client_try.answered_at_us <= client_try.deadline_us + TIMING_SLACK_US:
            served_at_us.setdefault(client_try.number, client_try.answered_at_us)
    in_time = set()
    for number, at_us in served_at_us.items():
        request = offered.get(number)
        if request and at_us <= request.at_us + index.methods[request.method].soft_ms * 1000 + TIMING_SLACK_US:
            in_time.add(number)
    return in_time


def goodput_figures(index: LedgerIndex) -> dict[str, float]:
    """Returns which share of the value inside quotas was served in time: in total, by method, plan, zone and third."""
    offered = offered_requests(index)
    in_time = served_in_time(index, offered)
    scenario, customers = index.scenario, index.plan.customers
    gateway_names, end_us = scenario.gateway_names(), scenario.seconds * 1e6
    by_all = goodput_by(offered, in_time, lambda _: "all")
    by_method = goodput_by(offered, in_time, lambda request: request.method)
    by_plan = goodput_by(offered, in_time, lambda request: customers[request.customer].plan)
    by_zone = goodput_by(offered, in_time, lambda request: gateway_names[request.gateway].split("/")[0])
    by_third = goodput_by(offered, in_time, lambda request: int(THIRDS * request.at_us / end_us))
    return {
        "goodput": by_all["all"],
        **{f"goodput {method.name}": by_method[number] for number, method in enumerate(index.methods)},
        **{f"goodput {plan.name}": by_plan[number] for number, plan in enumerate(scenario.plan)},
        **{f"goodput zone {zone}": by_zone[zone] for zone in scenario.zones()},
        **{f"goodput third {third + 1}": by_third[third] for third in range(THIRDS)},
    }


def goodput_by(
    offered: dict[int, OfferedRequest], in_time: set[int], group_key: Callable[[OfferedRequest], int | str]
) -> dict[int | str, float]:
    """Returns the goodput of each group of requests; 1 for a group without requests inside quotas."""
    offered_value: dict[int | str, float] = defaultdict(float)
    served_value: dict[int | str, float] = defaultdict(float)
    for request in offered.values():
        if request.inside_quota:
            offered_value[group_key(request)] += request.value
    for number in in_time:
        if offered[number].inside_quota:
            served_value[group_key(offered[number])] += offered[number].value
    goodput: dict[int | str, float] = defaultdict(lambda: 1.0)
    goodput.update({group: round(served_value[group] / value, 4) for group, value in offered_value.items() if value})
    return goodput


# ---- tries and attempts ----


def try_figures(index: LedgerIndex) -> dict[str, float]:
    """Returns counts and shares of tries and attempts, and the latency of tries."""
    tries = index.tries.values()
    try_count = max(1, len(tries))
    attempts = sum(len(client_try.attempts) for client_try in tries)
    crossed = sum(crossed_zones(client_try) for client_try in tries)
    latency = latency_histogram(tries)
    return {
        "tries": len(tries),
        "unmet": len(index.unsent),
        "refused": round(sum(one.status in REJECTED_STATUSES for one in tries) / try_count, 4),
        "aborted": round(sum(one.status not in (200, *REJECTED_STATUSES) for one in tries) / try_count, 4),
        "beyond quota": share_beyond_quota(index),
        "crossed zones": round(crossed / attempts, 4) if attempts else 0.0,
        "call-outs a try": round(attempts / try_count, 4),
        "counter calls a try": round(index.counter_calls / try_count, 4),
        "ms p50": latency.get_value_at_percentile(50) / 1000,
        "ms p99": latency.get_value_at_percentile(99) / 1000,
        "to sick s": attempts_at_failing_per_s(index),
    }


def crossed_zones(client_try: ClientTry) -> int:
    """Returns how many attempts of a try went to another zone than its gateway's."""
    zone = client_try.gateway.split("/")[0]
    return sum(attempt.backend.split("/")[0] != zone for attempt in client_try.attempts)


def latency_histogram(tries: Iterable[ClientTry]) -> HdrHistogram:
    """Returns the latencies of the served tries, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for client_try in tries:
        if client_try.status == 200:
            histogram.record_value(max(1, client_try.answered_at_us - client_try.sent_at_us))
    return histogram


def share_beyond_quota(index: LedgerIndex) -> float:
    """Returns which share of the units that reached backends was beyond the customers' quotas."""
    sent = beyond = 0.0
    for _, units, inside in units_sent(index):
        sent += units
        beyond += units * (not inside)
    return round(beyond / sent, 4) if sent else 0.0


def units_sent(index: LedgerIndex) -> Iterable[tuple[int, float, bool]]:
    """Yields for each try that reached a backend its time, its units, and whether these were inside the quota."""
    quotas = CustomerBuckets()
    for client_try in index.first_attempts():
        plan, units = index.scenario.plan[index.plan_of(client_try)], index.units(client_try)
        at_us = client_try.attempts[0].at_us
        yield at_us, units, quotas.take(client_try.customer, units, plan.rate, plan.burst, at_us)


def attempts_at_failing_per_s(index: LedgerIndex) -> float:
    """Returns the attempts per second at a backend that hangs or fails every request.

    Only attempts at least DETECTION_US after the start of the fault and before its end count.
    """
    failing = failing_intervals(index)
    seconds = sum(max(0, end_us - start_us) for rows in failing.values() for start_us, end_us in rows) / 1e6
    attempts = sum(
        any(start_us <= attempt.at_us < end_us for start_us, end_us in failing.get(attempt.backend, ()))
        for client_try in index.tries.values()
        for attempt in client_try.attempts
    )
    return round(attempts / seconds, 3) if seconds else 0.0


def failing_intervals(index: LedgerIndex) -> dict[str, list[Interval]]:
    """Returns the intervals in which each backend hung or failed every request, without the time to detect that."""
    started_at_us: dict[tuple[int, str], int] = {}
    found: dict[str, list[Interval]] = defaultdict(list)
    for fault in index.faults:
        for backend in fault.processes if fault.kind in FAILING_KINDS else ():
            if fault.begins:
                started_at_us[fault.number, backend] = fault.at_us
            elif (fault.number, backend) in started_at_us:
                start_us = started_at_us.pop((fault.number, backend)) + DETECTION_US
                found[backend].append(Interval(start_us, fault.at_us))
    end_us = int(index.scenario.seconds * 1e6)
    for (_, backend), at_us in started_at_us.items():
        found[backend].append(Interval(at_us + DETECTION_US, end_us))
    return found


# ---- resources ----


def resource_figures(index: LedgerIndex) -> dict[str, float]:
    """Returns how much data the links received and which resources the gateways used."""
    scenario = index.scenario
    uses = [row for rows in index.uses.values() for row in rows]
    cpu_s = sum(cpu_seconds(rows) for rows in index.uses.values())
    return {
        "link MB": round(index.bytes_carried / 1e6, 2),
        "peer bytes s": round(index.datagram_bytes / scenario.seconds / scenario.gateways.count, 1),
        "peer messages s": round(index.datagrams / scenario.seconds / scenario.gateways.count, 2),
        "memory MB most": round(max((row.memory_bytes for row in uses), default=0) / 1e6, 1),
        "descriptors most": max((row.descriptors for row in uses), default=0),
        "cpu ms a try": round(1000 * cpu_s / max(1, len(index.tries)), 3),
        "crashes": len(index.crashes),
    }


def cpu_seconds(rows: list[GatewayUse]) -> float:
    """Returns the CPU seconds that a gateway used. Where the value falls, it has restarted and counts from 0."""
    total_s = last_s = 0.0
    for row in rows:
        total_s += row.cpu_s - last_s if row.cpu_s >= last_s else row.cpu_s
        last_s = row.cpu_s
    return total_s
