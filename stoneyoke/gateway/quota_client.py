"""Asks the keeper for units of tenants' stores, all that is wanted in one message, one message at a time."""

import asyncio
from collections.abc import Callable

from stoneyoke.limits.local_quota import LocalQuota, take_demands
from stoneyoke.limits.quota_terms import SILENCE_TIMEOUT_S
from stoneyoke.transport.messages import QuotaDemand, QuotaRequest, QuotaResponse
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.peer_client import PeerClient

REQUEST_WAIT_S = 0.1  # a request waits for the keeper no longer
ANSWER_TIMEOUT_S = SILENCE_TIMEOUT_S / 2  # a later answer is none
ROUND_INTERVAL_S = 0.25  # a message at least so often: it tells demand, and that this gateway is there


def gives_only_what_was_asked(drawn: QuotaResponse, demands: list[QuotaDemand]) -> bool:
    """Whether each of its rows is for a tenant that was asked for, and none is there twice."""
    given = [grant.tenant for grant in drawn.grants]
    return len(set(given)) == len(given) and set(given) <= {demand.tenant for demand in demands}


class QuotaClient:
    """local_quotas: by tenant. keeper: the address of the core that holds the duty, "" if not known."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        lease_holder: Callable[[], str],
        wire: Callable[[str], PeerClient | None],
        local_quotas: dict[str, LocalQuota],
        heard: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self.name, self.incarnation, self.lease_holder, self.wire, self.local_quotas = (
            name,
            incarnation,
            lease_holder,
            wire,
            local_quotas,
        )
        self.heard, self.clock = heard, clock
        self.heard_at = -1e9
        self.unanswered = False  # the last message had no answer: nobody waits for the next one's
        self.report_all = True  # the next message tells of every part that is held
        self.waiting_requests: dict[str, int] = {}  # requests that wait, by tenant
        self.request_due = asyncio.Event()
        self.round_ended = asyncio.Event()

    async def wait_for_units(self, tenant: str) -> None:
        """Returns once the keeper has answered for this tenant, or has not in time; at once while it is down."""
        if self.unanswered:
            return
        self.waiting_requests[tenant] = self.waiting_requests.get(tenant, 0) + 1
        self.request_due.set()
        try:
            async with asyncio.timeout(REQUEST_WAIT_S):
                # An answer to what was asked before this request came may hold nothing for it.
                for _ in range(2):
                    await self.round_ended.wait()
                    if (
                        self.unanswered
                        or self.local_quotas[tenant].level >= 1
                        or self.local_quotas[tenant].closed_until > self.clock()
                    ):
                        break
        except TimeoutError:
            pass
        finally:
            self.waiting_requests[tenant] -= 1
            if not self.waiting_requests[tenant]:
                del self.waiting_requests[tenant]

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    await self.request_due.wait()
            except TimeoutError:
                pass
            self.request_due.clear()
            name = self.lease_holder()
            wire = self.wire(name) if name else None
            if wire is None:
                self.end_round_unanswered()
                await asyncio.sleep(0.05)
                continue
            try:
                await self.request_units(wire)
            except PeerUnreachable:
                self.end_round_unanswered()
                await asyncio.sleep(0.05)

    def end_round_unanswered(self) -> None:
        """Those that wait go on without the keeper; whoever is heard next may know nothing of this gateway."""
        self.unanswered = self.report_all = True
        answered, self.round_ended = self.round_ended, asyncio.Event()
        answered.set()

    async def request_units(self, wire: PeerClient) -> None:
        now = self.clock()
        deaf_s, full = min(60.0, now - self.heard_at), self.report_all
        # One that may not know that this gateway hears it gives nothing and takes nothing for told.
        demands = (
            take_demands(self.local_quotas, self.waiting_requests, self.heard_at, full, now)
            if deaf_s <= SILENCE_TIMEOUT_S
            else []
        )
        drawn = await wire.call(
            QuotaRequest(
                name=self.name,
                incarnation=self.incarnation,
                since_answer_ms=int(deaf_s * 1000),
                complete=full,
                demands=demands,
            ),
            ANSWER_TIMEOUT_S,
        )
        if not isinstance(drawn, QuotaResponse) or not drawn.ok or not gives_only_what_was_asked(drawn, demands):
            self.end_round_unanswered()
            await asyncio.sleep(0.02)
            return
        self.unanswered = False
        # No later than an answer is taken: this process may have stood still between that and this line.
        self.heard_at = min(self.clock(), now + ANSWER_TIMEOUT_S)
        self.heard()
        if deaf_s > SILENCE_TIMEOUT_S:  # now it will
            self.request_due.set()
        else:
            self.report_all = False
            for demand in demands:
                self.local_quotas[demand.tenant].reported_isolated_units = demand.isolated_units
        for grant in drawn.grants:
            if local_quota := self.local_quotas.get(grant.tenant):
                local_quota.apply_grant(grant, self.heard_at)
        answered, self.round_ended = self.round_ended, asyncio.Event()
        answered.set()
