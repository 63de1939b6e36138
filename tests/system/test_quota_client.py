import asyncio

from ward import test

from stoneyoke.limits.shares import LocalQuota
from stoneyoke.gateway.quota_client import QuotaClient
from stoneyoke.transport.messages import QuotaResponse
from stoneyoke.transport.peers import PeerUnreachable


class PeerClient:
    """Answers each message with the next of these; an exception is raised."""

    def __init__(self, answers):
        self.answers, self.asked = list(answers), []

    async def call(self, message, within_s):
        self.asked.append(message)
        await asyncio.sleep(0)
        answer = self.answers.pop(0) if self.answers else PeerUnreachable("none left")
        if isinstance(answer, Exception):
            raise answer
        return answer


def play(wire, story):
    async def run():
        heard = []
        teller = QuotaClient(
            "edge-1",
            "l",
            lambda: "core",
            lambda _: wire,
            {"anna": LocalQuota()},
            lambda: heard.append(1),
            asyncio.get_running_loop().time,
        )
        task = asyncio.ensure_future(teller.run())
        try:
            await story(teller, heard)
        finally:
            task.cancel()

    asyncio.run(run())


GREETED = QuotaResponse(True, [])  # a first message asks for nothing: the keeper can't know that it is heard


def given(units, wait=0.0):
    return QuotaResponse(True, [("anna", units, wait, 0.5, 2.0)])


@test("requests that wait are asked for together, and share what comes")
def _():
    wire = PeerClient([GREETED, given(3.0)])

    async def story(teller, heard):
        await asyncio.gather(*(teller.ask("anna") for _ in range(3)))
        assert wire.asked[0].wants == [] and wire.asked[1].wants[0][:2] == ("anna", 3.0) and len(wire.asked) == 2
        assert teller.local_quotas["anna"].level == 3 and heard and not teller.waiting

    play(wire, story)


@test("a keeper that does not answer, or no longer is one, makes nobody wait; its next answer ends that")
def _():
    wire = PeerClient([PeerUnreachable("cut"), QuotaResponse(False, []), GREETED, given(1.0)])

    async def story(teller, heard):
        await teller.ask("anna")
        assert teller.down and not heard
        for _ in range(100):
            if not teller.down:
                break
            teller.wanted.set()
            teller.local_quotas["anna"].demand = 1.0
            await asyncio.wait_for(teller.answered.wait(), 2)
        assert not teller.down and heard and len(wire.asked) >= 3

    play(wire, story)


@test("a tenant that is shut is told of, but nothing is asked for it")
def _():
    wire = PeerClient([GREETED, given(0.0, 5.0), given(0.0, 5.0)])

    async def story(teller, heard):
        await teller.ask("anna")
        assert teller.local_quotas["anna"].shut_until > asyncio.get_running_loop().time() + 4
        teller.local_quotas["anna"].demand = 2.0
        await teller.draw(wire)
        assert wire.asked[2].wants[0][:3] == ("anna", 0.0, 2.0)

    play(wire, story)
