"""Asks the keeper for units of tenants' stores, all that is wanted in one message, one message at a time."""

import asyncio
from collections.abc import Callable

from stoneyoke.limits.local_quota import LocalQuota, take_demands
from stoneyoke.limits.quota_terms import SILENCE_TIMEOUT_S
from stoneyoke.transport.messages import QuotaDemand, QuotaRequest, QuotaResponse
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.peer_client import PeerClient

WAIT_S = 0.1  # a request waits for the keeper no longer
ANSWER_S = SILENCE_TIMEOUT_S / 2  # a later answer is none
ROUND_S = 0.25  # a message at least so often: it tells demand, and that this gateway is there


def answers(drawn: QuotaResponse, demands: list[QuotaDemand]) -> bool:
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
        self.down = False  # the last message had no answer: nobody waits for the next one's
        self.full = True  # the next message tells of every part that is held
        self.waiting: dict[str, int] = {}  # requests that wait, by tenant
        self.wanted = asyncio.Event()
        self.answered = asyncio.Event()

    async def ask(self, tenant: str) -> None:
        """Returns once the keeper has answered for this tenant, or has not in time; at once while it is down."""
        if self.down:
            return
        self.waiting[tenant] = self.waiting.get(tenant, 0) + 1
        self.wanted.set()
        try:
            async with asyncio.timeout(WAIT_S):
                # An answer to what was asked before this request came may hold nothing for it.
                for _ in range(2):
                    await self.answered.wait()
                    if (
                        self.down
                        or self.local_quotas[tenant].level >= 1
                        or self.local_quotas[tenant].closed_until > self.clock()
                    ):
                        break
        except TimeoutError:
            pass
        finally:
            self.waiting[tenant] -= 1
            if not self.waiting[tenant]:
                del self.waiting[tenant]

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(ROUND_S):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            name = self.lease_holder()
            wire = self.wire(name) if name else None
            if wire is None:
                self.fall()
                await asyncio.sleep(0.05)
                continue
            try:
                await self.draw(wire)
            except PeerUnreachable:
                self.fall()
                await asyncio.sleep(0.05)

    def fall(self) -> None:
        """Those that wait go on without the keeper; whoever is heard next may know nothing of this gateway."""
        self.down = self.full = True
        answered, self.answered = self.answered, asyncio.Event()
        answered.set()

    async def draw(self, wire: PeerClient) -> None:
        now = self.clock()
        deaf_s, full = min(60.0, now - self.heard_at), self.full
        # One that may not know that this gateway hears it gives nothing and takes nothing for told.
        demands = (
            take_demands(self.local_quotas, self.waiting, self.heard_at, full, now)
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
            ANSWER_S,
        )
        if not isinstance(drawn, QuotaResponse) or not drawn.ok or not answers(drawn, demands):
            self.fall()
            await asyncio.sleep(0.02)
            return
        self.down = False
        # No later than an answer is taken: this process may have stood still between that and this line.
        self.heard_at = min(self.clock(), now + ANSWER_S)
        self.heard()
        if deaf_s > SILENCE_TIMEOUT_S:  # now it will
            self.wanted.set()
        else:
            self.full = False
            for demand in demands:
                self.local_quotas[demand.tenant].reported_isolated_units = demand.isolated_units
        for grant in drawn.grants:
            if local_quota := self.local_quotas.get(grant.tenant):
                local_quota.apply_grant(grant, self.heard_at)
        answered, self.answered = self.answered, asyncio.Event()
        answered.set()
