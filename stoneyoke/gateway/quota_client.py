"""Requests units of tenants' quotas from the lease holder: one message at a time, for all tenants together."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

from stoneyoke.limits.local_quota import LocalQuota, build_demands
from stoneyoke.limits.quota_terms import SILENCE_TIMEOUT_S
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import QuotaDemand, QuotaRequest, QuotaResponse
from stoneyoke.transport.peer_client import PeerClient

REQUEST_WAIT_S = 0.1  # the longest time that a client's request waits for units
RESPONSE_TIMEOUT_S = SILENCE_TIMEOUT_S / 2  # a later response counts as none
ROUND_INTERVAL_S = 0.25  # the longest time between messages, which report demand and that this gateway is alive
RETRY_DELAY_S = 0.05  # after a call without a response, or while no lease holder is known
REJECTED_DELAY_S = 0.02  # after an unusable response, for example because the controller no longer holds the lease
SINCE_RESPONSE_MAX_S = 60.0  # the longest time since the last response that a message reports
LONG_AGO_S = 1e9
USABLE_UNITS = 1  # one request takes one unit


class LeaseHolderAccess(Protocol):
    """Gives the quota client access to the lease holder."""

    def lease_holder_client(self) -> PeerClient | None:
        """Returns the client for calls to the lease holder; None if the lease holder is not known."""

    def lease_holder_responded(self, at: float) -> None:
        """Records a response of the lease holder, with its time in seconds of the clock."""


def grants_match_demands(response: QuotaResponse, demands: list[QuotaDemand]) -> bool:
    """Whether each grant is for a tenant in the demands, and no tenant has two grants."""
    granted = [grant.tenant for grant in response.grants]
    return len(set(granted)) == len(granted) and set(granted) <= {demand.tenant for demand in demands}


class QuotaClient:
    """Replenishes this gateway's local quotas from the lease holder.

    Attributes:
        local_quotas: The units that this gateway holds, by tenant.
        last_response_at: When the lease holder last responded, in seconds of the clock.
        lease_holder_unresponsive: Whether the last message had no usable response. Clients' requests then don't wait
            for the next round.
        report_all: Whether the next message reports every share that this gateway holds, because the next lease holder
            to respond may know nothing of this gateway.
        waiting_requests: The number of clients' requests that wait for units, by tenant.
        request_due: Set when the next message must be sent before its interval has passed.
        round_ended: Set, and replaced by a new event, when a round ends with a response or without one.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        local_quotas: dict[str, LocalQuota],
        access: LeaseHolderAccess,
        clock: Callable[[], float],
    ) -> None:
        """Starts without a response from any lease holder; `run` starts the rounds.

        Args:
            name: This gateway's name.
            incarnation: Identifies this process among those of the same gateway.
            local_quotas: The units that this gateway holds, by tenant; grants add to them.
            access: Gives access to the lease holder.
            clock: Returns the seconds of a monotonic clock.
        """
        self.name, self.incarnation, self.local_quotas = name, incarnation, local_quotas
        self.access, self.clock = access, clock
        self.last_response_at = -LONG_AGO_S
        self.lease_holder_unresponsive = False
        self.report_all = True
        self.waiting_requests: dict[str, int] = {}
        self.request_due = asyncio.Event()
        self.round_ended = asyncio.Event()

    async def wait_for_units(self, tenant: str) -> None:
        """Waits until the lease holder has responded for a tenant, at most REQUEST_WAIT_S.

        Returns at once while the lease holder does not respond.
        """
        if self.lease_holder_unresponsive:
            return
        self.waiting_requests[tenant] = self.waiting_requests.get(tenant, 0) + 1
        self.request_due.set()
        try:
            async with asyncio.timeout(REQUEST_WAIT_S):
                # The current round may have started before this request arrived, and then grants nothing for it.
                for _ in range(2):
                    await self.round_ended.wait()
                    if self.is_decided(tenant):
                        break
        except TimeoutError:
            pass
        finally:
            self.waiting_requests[tenant] -= 1
            if not self.waiting_requests[tenant]:
                del self.waiting_requests[tenant]

    def is_decided(self, tenant: str) -> bool:
        """Whether a further round would not change the decision on a request of this tenant."""
        local_quota = self.local_quotas[tenant]
        return (
            self.lease_holder_unresponsive
            or local_quota.level >= USABLE_UNITS
            or local_quota.next_request_at > self.clock()
        )

    async def run(self) -> None:
        """Runs one round after another until the task is cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    await self.request_due.wait()
            self.request_due.clear()
            lease_holder = self.access.lease_holder_client()
            try:
                if lease_holder is None:
                    raise PeerUnreachable("no lease holder is known")
                await self.request_units(lease_holder)
            except PeerUnreachable:
                self.fail_round()
                await asyncio.sleep(RETRY_DELAY_S)

    def end_round(self) -> None:
        """Wakes the requests that wait for this round."""
        ended, self.round_ended = self.round_ended, asyncio.Event()
        ended.set()

    def fail_round(self) -> None:
        """Ends a round without a usable response; requests that wait are decided without the lease holder."""
        self.lease_holder_unresponsive = self.report_all = True
        self.end_round()

    async def request_units(self, lease_holder: PeerClient) -> None:
        """Sends one message and applies its response.

        Raises:
            PeerUnreachable: There was no response in time.
        """
        sent_at = self.clock()
        since_response_s = min(SINCE_RESPONSE_MAX_S, sent_at - self.last_response_at)
        # After a longer silence the lease holder may not know that its responses reach this gateway. It then grants
        # nothing and ignores reports, so the message carries no demands.
        has_recent_response = since_response_s <= SILENCE_TIMEOUT_S
        report_all = self.report_all
        demands: list[QuotaDemand] = []
        if has_recent_response:
            demands = build_demands(
                self.local_quotas, self.waiting_requests, self.last_response_at, report_all, sent_at
            )
        request = QuotaRequest(
            name=self.name,
            incarnation=self.incarnation,
            since_answer_ms=int(since_response_s * 1000),
            complete=report_all,
            demands=demands,
        )
        response = await lease_holder.call(request, RESPONSE_TIMEOUT_S)
        if not isinstance(response, QuotaResponse) or not response.ok or not grants_match_demands(response, demands):
            self.fail_round()
            await asyncio.sleep(REJECTED_DELAY_S)
            return
        self.lease_holder_unresponsive = False
        # This process may have been suspended between the response and this line. The response arrived before its
        # time-out, so it can't be newer than that.
        self.last_response_at = min(self.clock(), sent_at + RESPONSE_TIMEOUT_S)
        self.access.lease_holder_responded(self.last_response_at)
        self.apply(response, demands, has_recent_response)
        self.end_round()

    def apply(self, response: QuotaResponse, demands: list[QuotaDemand], has_recent_response: bool) -> None:
        """Applies a usable response. After a silence, the next message is sent at once: that one can get a grant."""
        if has_recent_response:
            self.report_all = False
            for demand in demands:
                self.local_quotas[demand.tenant].reported_isolated_units = demand.isolated_units
        else:
            self.request_due.set()
        for grant in response.grants:
            if local_quota := self.local_quotas.get(grant.tenant):
                local_quota.apply_grant(grant, self.last_response_at)
