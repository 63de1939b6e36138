"""Hot paths of quotas: the allocator at the lease holder, and the admission decisions of a gateway."""

from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.routes import Tenant
from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.meters import cpu_seconds, cpu_seconds_once, measure_heap, megabytes, sample_indexes
from stoneyoke.lab.simulation.bounds import BOUNDS
from stoneyoke.limits.local_quota import LocalQuota, build_demands
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.limits.token_bucket import SECOND
from stoneyoke.transport.messages import QuotaDemand, QuotaRequest, QuotaResponse, pack

TENANTS_PER_REQUEST = 100  # 1.7 million requests per second over 3,800 gateways are 112 each in a quarter of a second
CALLS = 200  # number of decisions that are timed together


def allocate_quotas(size: int) -> list[Figure]:
    """Measures a quota request of one gateway at a lease holder that allocates the quotas of this number of tenants."""
    plans = [{"label": f"tenant-{index:07d}", "rate_per_s": 33.0, "burst_size": 33.0} for index in range(size)]
    demands = [
        QuotaDemand(f"tenant-{index:07d}", 2.0, 2.0, 0.0, 0.0) for index in sample_indexes(size, TENANTS_PER_REQUEST)
    ]

    def make_allocator() -> QuotaAllocator:
        allocator = QuotaAllocator(BOUNDS, 0.0)
        allocator.set_tenants(plans)
        return allocator

    request = QuotaRequest(
        name="gateway-0001", incarnation="0123456789ab", since_answer_ms=250, complete=False, demands=demands
    )
    allocator, allocator_heap = measure_heap(make_allocator)
    now = 0.0

    def request_quotas() -> None:
        nonlocal now
        now += 0.25
        allocator.allocate(request, now)

    def request_again() -> None:
        nonlocal now
        now += 0.00001
        allocator.allocate(request, now)

    grants = allocator.allocate(request, now)
    response = QuotaResponse(ok=True, grants=grants)
    return [
        Figure("stores held", "MB", megabytes(allocator_heap.retained)),
        Figure("one draw of 100 tenants, both ways", "B", len(pack(1, request) + pack(1, response))),
        Figure("one draw of 100 tenants, 0.25 s after the last", "s", cpu_seconds(request_quotas)),
        Figure("one draw of 100 tenants, right after another", "s", cpu_seconds(request_again)),
    ]


def decide_requests(size: int) -> list[Figure]:
    """Measures a gateway that has admitted requests of this number of tenants."""
    admission = Admission(5, 0, BOUNDS)
    tenants = [Tenant(f"tenant-{index:07d}", 1, 33.0, 33.0) for index in range(size)]

    def first() -> None:
        for one in tenants:
            admission.arrival(one, 2 * SECOND)

    (_, first_s), later = cpu_seconds_once(first), [tenants[index] for index in sample_indexes(size, CALLS)]

    def decide() -> None:
        for one in later:
            arrival = admission.arrival(one, 2 * SECOND)
            admission.try_admit(arrival, admission.local_quotas[one.label], SECOND)

    quotas, quotas_heap = measure_heap(lambda: {f"tenant-{index:07d}": LocalQuota() for index in range(size)})
    return [
        Figure("first request of each tenant", "s", first_s),
        Figure("one decision", "s", cpu_seconds(decide) / len(later)),
        Figure("wants of a quiet round", "s", cpu_seconds(lambda: build_demands(quotas, {}, 0.0, False, 1.0))),
        Figure("local quotas held", "MB", megabytes(quotas_heap.retained)),
    ]
