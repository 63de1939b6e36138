"""A backend of the soak: drops a run when its connection closes, and loses or holds back answers when it is told to."""

import asyncio

from stoneyoke.lab.cluster.processes import ClusterProcesses
from stoneyoke.lab.cluster.stand_in_backend import StandInBackend
from stoneyoke.lab.soak.ledger import Run, RunEnd, SoakLedger
from stoneyoke.net.message_reader import Message
from stoneyoke.net.stream import StreamProtocol

WORK_HEADER = "X-Work-Ms"  # of a request: how long it takes; the gateway passes it on
DEFAULT_WORK_MS = 20
STALL_S = 4.0  # how long the rest of an answer is held back: longer than any client waits
PART_OF_AN_ANSWER = b"HTTP/1.1 200 OK\r\nServer-St"


class AnswerLost(ConnectionError):
    """The backend closes in place of an answer."""


class SoakBackend(StandInBackend):
    """One instance. Its heartbeats tell the address of the link that leads to it.

    Attributes:
        loses_answers: Each run ends with a close in place of its answer.
        stalls: Each answer is begun and its rest held back.
    """

    def __init__(
        self, service: str, number: int, ledger: SoakLedger, cluster: ClusterProcesses, entry: tuple[str, int]
    ) -> None:
        """Opens nothing yet.

        Args:
            service: Name of the service.
            number: Of the instance; the last part of its address.
            ledger: Takes what runs here.
            cluster: Names the controllers.
            entry: Where the link that leads here is entered.
        """
        super().__init__(service, number, ledger, cluster)
        self.soak_ledger = ledger
        self.address = f"{entry[0]}:{entry[1]}"
        self.loses_answers = self.stalls = False

    async def work(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Works for as long as the request says, or until its connection closes.

        Raises:
            OSError: The connection has closed, or the answer is lost on purpose.
        """
        loop = asyncio.get_running_loop()
        attempt_id = message.headers.get(b"attempt-id", b"").decode()
        run = Run(attempt_id=attempt_id, backend=self.instance, started_s=loop.time())
        self.soak_ledger.runs.append(run)
        closed = asyncio.Event()
        protocol = writer.transport.get_protocol()
        assert isinstance(protocol, StreamProtocol)
        protocol.on_close = closed.set
        try:
            work_ms = int(message.headers.get(WORK_HEADER.lower().encode(), b"") or DEFAULT_WORK_MS)
            await self.work_until_closed(work_ms / 1000, closed, writer)
            run.end = RunEnd.LOST if self.loses_answers else RunEnd.ANSWERED
            if self.loses_answers:
                raise AnswerLost(attempt_id)
        except ConnectionResetError:
            run.end = RunEnd.CLOSED
            raise
        finally:
            run.ended_s = loop.time()
            protocol.on_close = None

    async def work_until_closed(self, seconds: float, closed: asyncio.Event, writer: asyncio.StreamWriter) -> None:
        """Lets a time pass.

        Raises:
            ConnectionResetError: The connection has closed meanwhile.
        """
        try:
            async with asyncio.timeout(seconds):
                await closed.wait()
        except TimeoutError:
            if not self.stalls:
                return
            writer.write(PART_OF_AN_ANSWER)
            await self.hold_back(closed)
        raise ConnectionResetError("closed while at work")

    async def hold_back(self, closed: asyncio.Event) -> None:
        """Waits until nobody waits for the rest of an answer any more."""
        try:
            async with asyncio.timeout(STALL_S):
                await closed.wait()
        except TimeoutError:
            pass
