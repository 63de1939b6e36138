"""A backend of the soak: it stops a run when its connection closes, and loses or stalls responses during a fault."""

import asyncio

from stoneyoke.lab.cluster.processes import ClusterProcesses
from stoneyoke.lab.cluster.stand_in_backend import StandInBackend
from stoneyoke.lab.soak.ledger import Run, RunEnd, SoakLedger
from stoneyoke.net.message_reader import Message
from stoneyoke.net.stream import StreamProtocol

WORK_HEADER = "X-Work-Ms"  # request header with the duration of the run; the gateway forwards it
DEFAULT_WORK_MS = 20
STALL_S = 4.0  # how long the rest of a response is withheld: longer than any client waits
PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nServer-St"


class ResponseLost(ConnectionError):
    """Raised where the backend closes a connection instead of sending a response."""


class SoakBackend(StandInBackend):
    """One instance. Its heartbeats report the address of the link that leads to it.

    Attributes:
        loses_responses: Whether each run ends with a close instead of a response.
        stalls: Whether only the beginning of each response is sent and the rest withheld.
    """

    def __init__(
        self, service: str, number: int, ledger: SoakLedger, cluster: ClusterProcesses, entry: tuple[str, int]
    ) -> None:
        """Creates a backend that does not listen yet.

        Args:
            service: Name of the service.
            number: Number of the instance; the last part of its address.
            ledger: Records the runs at this backend.
            cluster: Provides the addresses of the controllers.
            entry: Address at which the link to this backend accepts connections.
        """
        super().__init__(service, number, ledger, cluster)
        self.soak_ledger = ledger
        self.address = f"{entry[0]}:{entry[1]}"
        self.loses_responses = self.stalls = False

    async def work(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Runs for the duration that the request sets, or until its connection closes.

        Raises:
            OSError: The connection has closed, or a fault loses the response.
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
            run.end = RunEnd.LOST if self.loses_responses else RunEnd.ANSWERED
            if self.loses_responses:
                raise ResponseLost(attempt_id)
        except ConnectionResetError:
            run.end = RunEnd.CLOSED
            raise
        finally:
            run.ended_s = loop.time()
            protocol.on_close = None

    async def work_until_closed(self, seconds: float, closed: asyncio.Event, writer: asyncio.StreamWriter) -> None:
        """Waits for the duration of a run; in a stall, then sends the beginning of a response and withholds the rest.

        Raises:
            ConnectionResetError: The connection has closed meanwhile, or the response was stalled.
        """
        try:
            async with asyncio.timeout(seconds):
                await closed.wait()
        except TimeoutError:
            if not self.stalls:
                return
            writer.write(PARTIAL_RESPONSE)
            await self.withhold_response(closed)
        raise ConnectionResetError("the connection closed during the run")

    async def withhold_response(self, closed: asyncio.Event) -> None:
        """Waits until the connection closes, for at most STALL_S."""
        try:
            async with asyncio.timeout(STALL_S):
                await closed.wait()
        except TimeoutError:
            pass
