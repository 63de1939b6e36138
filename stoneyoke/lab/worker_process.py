"""A worker as its run sees it: a child process that takes orders and replies, line by line."""

import asyncio
from collections.abc import Callable

from stoneyoke.lab.worker_messages import (
    REPLY_DECODER,
    Drained,
    End,
    GatewayDied,
    Order,
    Ready,
    WorkerSetup,
    encode_line,
)

END_TIMEOUT_S = 10


class WorkerProcess:
    """A worker in a process of its own.

    Attributes:
        ready: Set once it takes orders, or has ended.
        drained: Set once the clients have drained, or it has ended.
        ended: Set once its output has ended.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, gateway_died: Callable[[GatewayDied], None]
    ) -> None:
        """Reads the process's replies from now on.

        Args:
            name: The worker's name.
            process: With pipes for its input and output.
            gateway_died: Called for each reply that a gateway has died.
        """
        self.name = name
        self.ready, self.drained, self.ended = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self._process = process
        self._gateway_died = gateway_died
        self._reading = asyncio.create_task(self._read_replies(), name=f"replies of {name}")

    async def _read_replies(self) -> None:
        assert self._process.stdout
        while line := await self._process.stdout.readline():
            match REPLY_DECODER.decode(line):
                case Ready():
                    self.ready.set()
                case Drained():
                    self.drained.set()
                case GatewayDied() as reply:
                    self._gateway_died(reply)
        self.ended.set()
        self.ready.set()
        self.drained.set()

    def send(self, message: WorkerSetup | Order) -> None:
        """Sends a setup or an order, unless the process's input is closed."""
        if self._process.stdin and not self._process.stdin.is_closing():
            self._process.stdin.write(encode_line(message))

    async def end(self) -> None:
        """Ends the process, and kills it if it does not end in time."""
        self.send(End())
        if self._process.stdin:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        await self._reading
