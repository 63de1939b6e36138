import asyncio

from ward import each, test

from stoneyoke.gateway.quota_client import RESPONSE_TIMEOUT_S, QuotaClient
from stoneyoke.limits.local_quota import LocalQuota
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import QuotaGrant, QuotaResponse


class PeerClient:
    """A fake peer client that returns the next of its responses for each message; exceptions are raised."""

    def __init__(self, answers):
        self.answers, self.asked = list(answers), []

    async def call(self, message, timeout_s):
        self.asked.append(message)
        await asyncio.sleep(0)
        answer = self.answers.pop(0) if self.answers else PeerUnreachable("none left")
        if isinstance(answer, Exception):
            raise answer
        return answer


class LeaseHolderAccess:
    """Gives access to one lease holder, and records the times of its responses."""

    def __init__(self, client, response_times):
        self.client, self.response_times = client, response_times

    def lease_holder_client(self):
        return self.client

    def lease_holder_responded(self, at):
        self.response_times.append(at)


def run_scenario(peer_client, scenario):
    async def run():
        response_times = []
        clock = asyncio.get_running_loop().time
        access = LeaseHolderAccess(peer_client, response_times)
        quota_client = QuotaClient("edge-1", "l", {"anna": LocalQuota()}, access, clock)
        task = asyncio.ensure_future(quota_client.run())
        try:
            await scenario(quota_client, response_times)
        finally:
            task.cancel()

    asyncio.run(run())


EMPTY_RESPONSE = QuotaResponse(
    ok=True, grants=[]
)  # the first message requests nothing: the lease holder can't know yet that its responses reach this gateway


def grant_response(units, wait=0.0):
    return QuotaResponse(ok=True, grants=[QuotaGrant("anna", units, wait, 0.5, 2.0)])


@test("units for all waiting requests are requested in one message, and the requests share the grant")
def _():
    peer_client = PeerClient([EMPTY_RESPONSE, grant_response(3.0)])

    async def scenario(quota_client, response_times):
        await asyncio.gather(*(quota_client.wait_for_units("anna") for _ in range(3)))
        assert (
            peer_client.asked[0].demands == []
            and peer_client.asked[1].demands[0][:2] == ("anna", 3.0)
            and len(peer_client.asked) == 2
        )
        assert quota_client.local_quotas["anna"].level == 3 and response_times and not quota_client.waiting_requests

    run_scenario(peer_client, scenario)


@test("while the lease holder does not respond or no longer holds the lease, no request waits, until its next response")
def _():
    peer_client = PeerClient(
        [PeerUnreachable("no response"), QuotaResponse(ok=False, grants=[]), EMPTY_RESPONSE, grant_response(1.0)]
    )

    async def scenario(quota_client, response_times):
        await quota_client.wait_for_units("anna")
        assert quota_client.lease_holder_unresponsive and not response_times
        for _ in range(100):
            if not quota_client.lease_holder_unresponsive:
                break
            quota_client.request_due.set()
            quota_client.local_quotas["anna"].demand_units = 1.0
            await asyncio.wait_for(quota_client.round_ended.wait(), 2)
        assert not quota_client.lease_holder_unresponsive and response_times and len(peer_client.asked) >= 3

    run_scenario(peer_client, scenario)


@test("the demand of a tenant without units is reported, but no units are requested before its wait is over")
def _():
    peer_client = PeerClient([EMPTY_RESPONSE, grant_response(0.0, 5.0), grant_response(0.0, 5.0)])

    async def scenario(quota_client, response_times):
        await quota_client.wait_for_units("anna")
        assert quota_client.local_quotas["anna"].next_request_at > asyncio.get_running_loop().time() + 4
        quota_client.local_quotas["anna"].demand_units = 2.0
        await quota_client.request_units(peer_client)
        assert peer_client.asked[2].demands[0][:3] == ("anna", 0.0, 2.0)

    run_scenario(peer_client, scenario)


FOR_ANNA = QuotaGrant("anna", 3.0, 0.0, 0.5, 2.0)
FOR_BERT = QuotaGrant("bert", 3.0, 0.0, 0.5, 2.0)


@test("a response with a grant for a tenant without a demand, or with two for one tenant, is rejected completely")
def _(grants=each([FOR_BERT], [FOR_ANNA, FOR_ANNA])):
    peer_client = PeerClient([EMPTY_RESPONSE, QuotaResponse(ok=True, grants=grants)])

    async def scenario(quota_client, response_times):
        quota_client.local_quotas["bert"] = LocalQuota()
        await quota_client.wait_for_units("anna")
        assert quota_client.lease_holder_unresponsive
        assert len(peer_client.asked) == 2
        assert len(response_times) == 1
        assert quota_client.local_quotas["anna"].level == quota_client.local_quotas["bert"].level == 0

    run_scenario(peer_client, scenario)


@test("the lease holder's response counts as received within its time-out, however long this process was suspended")
def _():
    peer_client = PeerClient([EMPTY_RESPONSE, grant_response(3.0)])

    async def scenario(quota_client, response_times):
        await quota_client.wait_for_units("anna")
        loop = asyncio.get_running_loop()
        asked_at, now = loop.time(), loop.time
        quota_client.clock = lambda: now() + (
            100.0 if len(peer_client.asked) > 2 else 0.0
        )  # jumps from the third message on, as after a suspension
        peer_client.answers.append(grant_response(1.0))
        quota_client.local_quotas["anna"].demand_units = 1.0
        await quota_client.request_units(peer_client)
        assert (
            asked_at
            < quota_client.last_response_at
            == quota_client.local_quotas["anna"].granted_at
            < asked_at + 1 + RESPONSE_TIMEOUT_S
        )

    run_scenario(peer_client, scenario)
