"""Hot paths of quotas: the allocator at the lease holder and the decisions of a gateway."""

from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.routes import Tenant
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.meters import heap, megabytes, processor_once_s, processor_s, sample_indexes
from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.limits.local_quota import LocalQuota, build_demands
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.limits.token_bucket import SECOND
from stoneyoke.transport.messages import QuotaDemand, QuotaRequest, QuotaResponse, pack

TENANTS_A_DRAW = 100  # 1.7 M requests a second over 3,800 gateways are 112 in a quarter second
CALLS = 200  # timed together


def allocate_quotas(size: int) -> list[Figure]:
    """Measures the draw of one gateway at the lease holder that allocates the quotas of so many tenants."""
    plans = [{"label": f"tenant-{index:07d}", "rate_per_s": 33.0, "burst_size": 33.0} for index in range(size)]
    demands = [QuotaDemand(f"tenant-{index:07d}", 2.0, 2.0, 0.0, 0.0) for index in sample_indexes(size, TENANTS_A_DRAW)]

    def make() -> QuotaAllocator:
        made = QuotaAllocator(BOUNDS, 0.0)
        made.set_tenants(plans)
        return made

    request = QuotaRequest(
        name="gateway-0001", incarnation="0123456789ab", since_answer_ms=250, complete=False, demands=demands
    )
    quotas, quotas_heap = heap(make)
    now = 0.0

    def draw() -> None:
        nonlocal now
        now += 0.25
        quotas.allocate(request, now)

    def quick_draw() -> None:
        nonlocal now
        now += 0.00001
        quotas.allocate(request, now)

    drawn = quotas.allocate(request, now)
    answered = QuotaResponse(ok=True, grants=drawn)
    return [
        Figure("stores held", "MB", megabytes(quotas_heap.held)),
        Figure("one draw of 100 tenants, both ways", "B", len(pack(1, request) + pack(1, answered))),
        Figure("one draw of 100 tenants, 0.25 s after the last", "s", processor_s(draw)),
        Figure("one draw of 100 tenants, right after another", "s", processor_s(quick_draw)),
    ]


def decide_requests(size: int) -> list[Figure]:
    """Measures a gateway that has admitted requests of so many tenants."""
    admission = Admission(5, 0, BOUNDS)
    tenants = [Tenant(f"tenant-{index:07d}", 1, 33.0, 33.0) for index in range(size)]

    def first() -> None:
        for one in tenants:
            admission.arrival(one, 2 * SECOND)

    (_, first_s), later = processor_once_s(first), [tenants[index] for index in sample_indexes(size, CALLS)]

    def decide() -> None:
        for one in later:
            arrival = admission.arrival(one, 2 * SECOND)
            admission.try_admit(arrival, admission.local_quotas[one.label], SECOND)

    quotas, quotas_heap = heap(lambda: {f"tenant-{index:07d}": LocalQuota() for index in range(size)})
    return [
        Figure("first request of each tenant", "s", first_s),
        Figure("one decision", "s", processor_s(decide) / len(later)),
        Figure("wants of a quiet round", "s", processor_s(lambda: build_demands(quotas, {}, 0.0, False, 1.0))),
        Figure("local quotas held", "MB", megabytes(quotas_heap.held)),
    ]
