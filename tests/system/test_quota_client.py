import asyncio

from ward import each, test

from stoneyoke.gateway.quota_client import RESPONSE_TIMEOUT_S, QuotaClient
from stoneyoke.limits.local_quota import LocalQuota
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import QuotaGrant, QuotaResponse


class PeerClient:
    """Answers each message with the next of these; an exception is raised."""

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
    """Reaches one lease holder, and records when it was heard."""

    def __init__(self, client, heard):
        self.client, self.heard = client, heard

    def lease_holder_client(self):
        return self.client

    def lease_holder_responded(self, at):
        self.heard.append(at)


def play(peer_client, story):
    async def run():
        heard = []
        clock = asyncio.get_running_loop().time
        access = LeaseHolderAccess(peer_client, heard)
        quota_client = QuotaClient("edge-1", "l", {"anna": LocalQuota()}, access, clock)
        task = asyncio.ensure_future(quota_client.run())
        try:
            await story(quota_client, heard)
        finally:
            task.cancel()

    asyncio.run(run())


GREETED = QuotaResponse(
    ok=True, grants=[]
)  # a first message asks for nothing: the lease holder can't know that it is heard


def given(units, wait=0.0):
    return QuotaResponse(ok=True, grants=[QuotaGrant("anna", units, wait, 0.5, 2.0)])


@test("requests that wait are asked for together, and share what comes")
def _():
    peer_client = PeerClient([GREETED, given(3.0)])

    async def story(quota_client, heard):
        await asyncio.gather(*(quota_client.wait_for_units("anna") for _ in range(3)))
        assert (
            peer_client.asked[0].demands == []
            and peer_client.asked[1].demands[0][:2] == ("anna", 3.0)
            and len(peer_client.asked) == 2
        )
        assert quota_client.local_quotas["anna"].level == 3 and heard and not quota_client.waiting_requests

    play(peer_client, story)


@test(
    "while the lease holder gives no answer, or holds the lease no longer, no request waits; its next answer ends that"
)
def _():
    peer_client = PeerClient([PeerUnreachable("cut"), QuotaResponse(ok=False, grants=[]), GREETED, given(1.0)])

    async def story(quota_client, heard):
        await quota_client.wait_for_units("anna")
        assert quota_client.is_unresponsive and not heard
        for _ in range(100):
            if not quota_client.is_unresponsive:
                break
            quota_client.request_due.set()
            quota_client.local_quotas["anna"].demand_units = 1.0
            await asyncio.wait_for(quota_client.round_ended.wait(), 2)
        assert not quota_client.is_unresponsive and heard and len(peer_client.asked) >= 3

    play(peer_client, story)


@test("the demand of a tenant without units is reported, but none are asked for before its time")
def _():
    peer_client = PeerClient([GREETED, given(0.0, 5.0), given(0.0, 5.0)])

    async def story(quota_client, heard):
        await quota_client.wait_for_units("anna")
        assert quota_client.local_quotas["anna"].closed_until > asyncio.get_running_loop().time() + 4
        quota_client.local_quotas["anna"].demand_units = 2.0
        await quota_client.request_units(peer_client)
        assert peer_client.asked[2].demands[0][:3] == ("anna", 0.0, 2.0)

    play(peer_client, story)


FOR_ANNA = QuotaGrant("anna", 3.0, 0.0, 0.5, 2.0)
FOR_BERT = QuotaGrant("bert", 3.0, 0.0, 0.5, 2.0)


@test("an answer with a tenant that was not asked for, or one twice, grants nothing to anybody")
def _(grants=each([FOR_BERT], [FOR_ANNA, FOR_ANNA])):
    peer_client = PeerClient([GREETED, QuotaResponse(ok=True, grants=grants)])

    async def story(quota_client, heard):
        quota_client.local_quotas["bert"] = LocalQuota()
        await quota_client.wait_for_units("anna")
        assert quota_client.is_unresponsive
        assert len(peer_client.asked) == 2
        assert len(heard) == 1
        assert quota_client.local_quotas["anna"].level == quota_client.local_quotas["bert"].level == 0

    play(peer_client, story)


@test(
    "the lease holder counts as heard within an answer's time from the request, however long this process was suspended"
)
def _():
    peer_client = PeerClient([GREETED, given(3.0)])

    async def story(quota_client, heard):
        await quota_client.wait_for_units("anna")
        loop = asyncio.get_running_loop()
        asked_at, now = loop.time(), loop.time
        quota_client.clock = lambda: now() + (
            100.0 if len(peer_client.asked) > 2 else 0.0
        )  # from the third one's asking on
        peer_client.answers.append(given(1.0))
        quota_client.local_quotas["anna"].demand_units = 1.0
        await quota_client.request_units(peer_client)
        assert (
            asked_at
            < quota_client.last_response_at
            == quota_client.local_quotas["anna"].granted_at
            < asked_at + 1 + RESPONSE_TIMEOUT_S
        )

    play(peer_client, story)
