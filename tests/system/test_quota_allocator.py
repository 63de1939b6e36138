"""Quotas between gateways and the lease holder: units granted, shares used in isolation, and the rule for their sum."""

import random

from ward import each, test

from stoneyoke.api.bounds import ServiceBounds
from stoneyoke.gateway.admission import Admission
from stoneyoke.gateway.routes import Tenant
from stoneyoke.limits.local_quota import ASSUMED_GATEWAYS, LocalQuota, build_demands
from stoneyoke.limits.quota_allocator import QuotaAllocator
from stoneyoke.limits.quota_terms import SHARE_LEASE_S, SILENCE_TIMEOUT_S
from stoneyoke.limits.tenant_bucket import TenantBucket
from stoneyoke.limits.token_bucket import SECOND
from stoneyoke.transport.messages import QuotaDemand, QuotaGrant, QuotaRequest

BOUNDS = ServiceBounds(quota_window_s=5.0, quota_excess_ratio=0.1, quota_slack_units=20.0)
RATE, BURST = 30.0, 30.0
TENANT_ROWS = [{"label": "anna", "rate_per_s": RATE, "burst_size": BURST}]
TENANT = Tenant("anna", 0, RATE, BURST)
ALLOWED_IN_WINDOW = (RATE * 5 + BURST) * 1.1 + 20
STEP_S = 0.01
MESSAGE_INTERVAL_S = 0.25


class SimulatedFleet:
    """Gateways and a lease holder in simulated time, in steps of STEP_S."""

    def __init__(self, seed: int, gateways: int) -> None:
        self.random_source = random.Random(seed)
        self.now = 1000.0
        self.gateways = gateways
        self.admissions = [self.new_admission() for _ in range(gateways)]
        self.isolated = [False] * gateways
        self.incarnations = [0] * gateways
        self.complete = [True] * gateways
        self.allocator: QuotaAllocator | None = QuotaAllocator(BOUNDS, self.now)
        self.next_allocator_at: float | None = None
        self.last_message_at = [self.now - at * 0.03 for at in range(gateways)]
        self.sent_at: list[float] = []
        self.rejected = self.requests = 0

    def new_admission(self) -> Admission:
        admission = Admission(7, int(self.now * SECOND), BOUNDS)
        if self.now > 1003:  # a new incarnation assumes ASSUMED_GATEWAYS until it knows the number
            admission.set_gateway_count(ASSUMED_GATEWAYS)
        return admission

    def restart(self, at: int) -> None:
        self.admissions[at], self.complete[at] = self.new_admission(), True
        self.incarnations[at] += 1

    def lose_allocator(self, gap_s: float) -> None:
        self.next_allocator_at, self.allocator = self.now + gap_s, None

    def exchange(self, at: int, waiting: int) -> None:
        """Sends a gateway's message to the lease holder and applies the response."""
        if self.isolated[at] or self.allocator is None:
            self.complete[at] = True
            return
        admission = self.admissions[at]
        heard_at = admission.last_response_at / SECOND
        self.allocator.set_tenants(TENANT_ROWS)
        since_answer_s = min(60.0, self.now - heard_at)
        is_late = since_answer_s > SILENCE_TIMEOUT_S
        request = QuotaRequest(
            name=f"g{at}",
            incarnation=str(self.incarnations[at]),
            since_answer_ms=int(since_answer_s * 1000),
            complete=self.complete[at],
            demands=[] if is_late else self.demands(at, waiting),
        )
        grants = self.allocator.allocate(request, self.now)
        self.complete[at] = is_late
        for grant in grants:
            local_quota = admission.local_quotas[grant.tenant]
            local_quota.apply_grant(grant, self.now)
            local_quota.reported_isolated_units = local_quota.isolated_units
        admission.lease_holder_responded(int(self.now * SECOND))
        if is_late:
            self.exchange(at, waiting)

    def demands(self, at: int, waiting: int) -> list[QuotaDemand]:
        admission = self.admissions[at]
        waiting_by_tenant = {"anna": waiting} if waiting else {}
        return build_demands(
            admission.local_quotas, waiting_by_tenant, admission.last_response_at / SECOND, self.complete[at], self.now
        )

    def request(self, at: int) -> None:
        self.requests += 1
        admission = self.admissions[at]
        call, now = admission.arrival(TENANT, SECOND), int(self.now * SECOND)
        local_quota = admission.local_quotas["anna"]
        wait_us = admission.try_admit(call, local_quota, now)
        if wait_us is None:
            self.exchange(at, 1)
            wait_us = admission.admit_after_response(call, local_quota, now)
        if wait_us == 0:
            self.sent_at.append(self.now)
        else:
            self.rejected += 1

    def run(self, seconds: float, rate: float, weights: list[float]) -> None:
        """Sends requests of the tenant at so many a second, to gateways chosen at random by weight."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            if self.next_allocator_at and self.now >= self.next_allocator_at:
                expected = [f"g{at}" for at in range(self.gateways)]
                self.allocator, self.next_allocator_at = QuotaAllocator(BOUNDS, self.now, expected), None
            for at in range(self.gateways):
                if self.now - self.last_message_at[at] >= MESSAGE_INTERVAL_S:
                    self.last_message_at[at] = self.now
                    self.exchange(at, 0)
            while self.random_source.random() < rate * STEP_S / (1 + rate * STEP_S):
                self.request(self.random_source.choices(range(self.gateways), weights)[0])

    def clear_counts(self) -> None:
        self.rejected = self.requests = 0

    def most_sent_in_window(self) -> int:
        most, first = 0, 0
        for last, at in enumerate(self.sent_at):
            while at - self.sent_at[first] > BOUNDS.quota_window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


def new_allocator(expected: list[str] | None = None) -> QuotaAllocator:
    allocator = QuotaAllocator(BOUNDS, 0.0, expected or [])
    allocator.set_tenants(TENANT_ROWS)
    return allocator


def send_request(  # noqa: PLR0913 -- fields of a message, by keyword, each with a default
    allocator: QuotaAllocator,
    now: float,
    *demands: QuotaDemand,
    name: str = "a",
    incarnation: str = "1",
    since_answer_ms: int = 0,
    complete: bool = False,
) -> list[QuotaGrant]:
    request = QuotaRequest(
        name=name,
        incarnation=incarnation,
        since_answer_ms=since_answer_ms,
        complete=complete,
        demands=list(demands),
    )
    return allocator.allocate(request, now)


def demand(wanted: float = 0.0, counted: float = 0.0, isolated: float = 0.0, share: float = 0.0) -> QuotaDemand:
    return QuotaDemand("anna", wanted, counted, isolated, share)


@test("at ten times the quota no window exceeds the rule, and most of the quota is used (seed {seed})")
def _(seed: int = each(0, 1, 2)) -> None:
    fleet = SimulatedFleet(seed, 8)
    fleet.run(20, 10 * RATE, [1, 1, 1, 1, 1, 1, 1, 5])
    assert fleet.most_sent_in_window() <= ALLOWED_IN_WINDOW
    assert len(fleet.sent_at) > 0.9 * RATE * 20


UNEVEN_WEIGHTS = each([1.0] * 8, [20.0, 1, 1, 1, 1, 1, 1, 1], [1.0, 0, 0, 0, 0, 0, 0, 0])


@test("a tenant at half its quota is not rejected, however unevenly its gateways are loaded")
def _(weights: list[float] = UNEVEN_WEIGHTS) -> None:
    fleet = SimulatedFleet(4, 8)
    fleet.run(2, RATE / 2, weights)
    fleet.clear_counts()
    fleet.run(20, RATE / 2, weights)
    assert fleet.requests > 200
    assert fleet.rejected == 0


@test("at ten times the quota, isolation, restarts and changes of lease holder: no window exceeds the rule ({seed})")
def _(seed: int = each(*range(12))) -> None:
    fleet = SimulatedFleet(seed, 8)
    random_source = random.Random(seed + 100)
    for _ in range(12):
        fleet.run(random_source.uniform(0.3, 3), 10 * RATE, [random_source.choice((0.2, 1, 3)) for _ in range(8)])
        fault = random_source.randrange(4)
        if fault == 0:
            fleet.isolated = [random_source.random() < 0.3 for _ in range(8)]
        elif fault == 1:
            for at in random_source.sample(range(8), 4):
                fleet.restart(at)
        elif fault == 2 and fleet.allocator:
            fleet.lose_allocator(random_source.uniform(0.2, 1.7))
        else:
            fleet.isolated = [False] * 8
    assert fleet.most_sent_in_window() <= ALLOWED_IN_WINDOW


@test("an isolated gateway uses the share that it was granted by its demand, not the even one")
def _() -> None:
    fleet = SimulatedFleet(9, 8)
    weights = [8.0, 1, 1, 1, 1, 1, 1, 1]
    fleet.run(6, 0.6 * RATE, weights)
    fleet.lose_allocator(60)
    fleet.run(1.5, 0.6 * RATE, weights)
    fleet.clear_counts()
    fleet.run(8, 0.6 * RATE, weights)
    assert fleet.rejected < 0.1 * fleet.requests, f"{fleet.rejected} of {fleet.requests}"


@test("a demand for no units gets no wait; one that finds the bucket empty gets one")
def _() -> None:
    allocator = new_allocator()
    (grant,) = send_request(allocator, 0.1, demand(wanted=0.0, counted=9.0))
    assert (grant.units, grant.wait_s) == (0, 0)
    (grant,) = send_request(allocator, 0.1, demand(wanted=99.0, counted=9.0))
    assert grant.units > 0
    assert grant.wait_s == 0
    (grant,) = send_request(allocator, 0.1, demand(wanted=1.0, counted=9.0))
    assert grant.units == 0
    assert grant.wait_s > 0


@test("the first gateway that reports its demand to a new lease holder is not granted the whole rate")
def _() -> None:
    allocator = new_allocator([f"g{at}" for at in range(8)])
    (grant,) = send_request(allocator, 0.2, demand(wanted=1.0, counted=9.0), name="g0", complete=True)
    assert grant.share == 0  # the other gateways may have been granted all of it
    for at in range(1, 8):
        send_request(allocator, 0.3, demand(share=0.01), name=f"g{at}", complete=True)
    (grant,) = send_request(allocator, 0.4, demand(wanted=1.0, counted=9.0), name="g0")
    assert 0 < grant.share <= 1 / 8
    (grant,) = send_request(allocator, 1.2, demand(wanted=1.0, counted=9.0), name="g0")
    assert grant.share > 0.4


def allocator_with_two_gateways(now: float) -> tuple[QuotaAllocator, TenantBucket]:
    """Returns an allocator that two gateways, a and b, have requested units of evenly for eight seconds until now."""
    allocator = new_allocator()
    for at in range(40):
        for name in "ab":
            send_request(allocator, now - 0.2 * (39 - at), demand(wanted=1.0, counted=10.0), name=name)
    return allocator, allocator.buckets["anna"]


@test("what a silent gateway may use is debited, and what it did not use is returned")
def _() -> None:
    allocator, bucket = allocator_with_two_gateways(9.0)
    silent = bucket.gateways["b"]
    assert abs(silent.share - 0.5) < 0.05
    bucket.level = 0.0
    send_request(allocator, 10.0)
    assert abs(silent.debited_units - (silent.share * RATE + silent.reserve_units)) < 0.1
    assert abs(bucket.level - (RATE - silent.debited_units)) < 0.1
    debited, level = silent.debited_units, bucket.level
    send_request(allocator, 10.001, demand(isolated=4.0), name="b")
    assert abs(bucket.level - min(BURST, level + debited - 4.0)) < 0.1


@test("for a gateway whose process has ended nothing more is debited, and nothing is returned")
def _() -> None:
    allocator, bucket = allocator_with_two_gateways(9.0)
    bucket.level = 0.0
    send_request(allocator, 10.0)
    level = bucket.level
    send_request(allocator, 10.0, name="b", incarnation="2", complete=True)
    assert bucket.level == level
    assert "b" not in bucket.gateways
    send_request(allocator, 10.1)
    assert abs(bucket.level - level - 0.1 * RATE) < 0.01


@test("units used in isolation count once, though the gateway was never silent for the lease holder")
def _() -> None:
    allocator, bucket = allocator_with_two_gateways(9.0)
    level = bucket.level
    send_request(allocator, 9.0, demand(isolated=3.0), name="b")
    assert abs(bucket.level - (level - 3.0)) < 1e-6
    send_request(allocator, 9.0, demand(isolated=3.0), name="b")  # reported again
    assert abs(bucket.level - (level - 3.0)) < 1e-6


@test("a new lease holder withholds the rate that gateways may be using, until they report or their shares expire")
def _() -> None:
    allocator = new_allocator(["a", "b"])
    bucket = allocator.buckets["anna"]
    assert allocator.withheld_share(bucket) == 1
    report = demand(wanted=1.0, counted=1.0, share=0.3)
    # The gateway may not receive this response either, so its message does not count as a report yet.
    send_request(allocator, 0.1, report, since_answer_ms=5000, complete=True)
    assert allocator.withheld_share(bucket) == 1
    send_request(allocator, 0.2, report._replace(isolated_units=9.0), complete=True)
    assert abs(allocator.withheld_share(bucket) - 0.7) < 0.01
    send_request(allocator, SHARE_LEASE_S + 0.1)
    assert allocator.withheld_share(bucket) == 0


@test("a share expires with its lease, and decays while its gateway requests nothing")
def _() -> None:
    local_quota = LocalQuota(share=0.5, reserve_units=4.0, granted_at=10.0)
    assert local_quota.isolated_allowance(10.0, 10.0 + SHARE_LEASE_S - 1) == (0.5, 4.0)
    assert local_quota.isolated_allowance(10.0, 10.1 + SHARE_LEASE_S) == (0.0, 0.0)
    assert local_quota.isolated_allowance(12.0, 13.0) == (0.25, 2.0)


@test("customers that return early get longer retry times, and a rejection states the bucket's wait with jitter")
def _() -> None:
    admission = Admission(7, 0, BOUNDS)
    call = admission.arrival(TENANT, SECOND)
    local_quota = admission.local_quotas["anna"]
    admission.lease_holder_responded(1 * SECOND)
    local_quota.apply_grant(QuotaGrant("anna", units=0.0, wait_s=0.5, share=0.2, reserve_units=0.0), 1.0)
    waits = [admission.try_admit(call, local_quota, 1 * SECOND) or 0 for _ in range(30)]
    assert 0.5 * SECOND <= waits[0] <= 1.5 * SECOND + 1
    assert min(waits[10:19]) >= 1.0 * SECOND  # doubled
    assert min(waits[20:]) >= 4.9 * SECOND  # then blocked


@test("a local quota requests units in advance only at a high demand rate")
def _() -> None:
    low_rate, high_rate = LocalQuota(), LocalQuota()
    for step in range(100):
        if step % 50 == 0:
            low_rate.record_demand(1.0, step / 10)
        for _ in range(4):
            high_rate.record_demand(1.0, step / 10)
    assert low_rate.wanted_units(1) == 1
    assert 7 <= high_rate.wanted_units(1) <= 12
