"""The run's side of a worker: a child process that receives commands and sends replies, one per line."""

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
    """A worker and its process.

    Attributes:
        ready: Set once the worker accepts commands or has exited.
        drained: Set once the clients have drained or the worker has exited.
        ended: Set once the worker has closed its output, which it does when it exits.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, gateway_died: Callable[[GatewayDied], None]
    ) -> None:
        """Starts to read the process's replies.

        Args:
            name: The worker's name.
            process: The worker's process, with pipes for its input and output.
            gateway_died: Called for each reply that a gateway has exited.
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
        """Sends a setup or a command, unless the process's input is closed."""
        if self._process.stdin and not self._process.stdin.is_closing():
            self._process.stdin.write(encode_line(message))

    async def end(self) -> None:
        """Shuts the worker down, and kills its process if it does not exit within END_TIMEOUT_S."""
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
