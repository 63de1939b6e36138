"""The run's side of a worker: a child process that receives commands and sends replies, one per line."""

import asyncio
from collections.abc import Callable

from stoneyoke.lab.worker_messages import (
    REPLY_DECODER,
    Command,
    Drained,
    GatewayExited,
    Ready,
    ShutDown,
    WorkerSetup,
    encode_line,
)

SHUTDOWN_TIMEOUT_S = 10


class WorkerProcess:
    """A worker and its process.

    Attributes:
        ready: Set once the worker accepts commands or has exited.
        drained: Set once the clients have drained or the worker has exited.
        exited: Set once the worker has closed its output, which it does when it exits.
    """

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, on_gateway_exited: Callable[[GatewayExited], None]
    ) -> None:
        """Starts to read the process's replies.

        Args:
            name: The worker's name.
            process: The worker's process, with pipes for its input and output.
            on_gateway_exited: Called for each reply that a gateway has exited.
        """
        self.name = name
        self.ready, self.drained, self.exited = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self._process = process
        self._gateway_exited = on_gateway_exited
        self._reading = asyncio.create_task(self._read_replies(), name=f"replies of {name}")

    async def _read_replies(self) -> None:
        assert self._process.stdout
        while line := await self._process.stdout.readline():
            match REPLY_DECODER.decode(line):
                case Ready():
                    self.ready.set()
                case Drained():
                    self.drained.set()
                case GatewayExited() as reply:
                    self._gateway_exited(reply)
        self.exited.set()
        self.ready.set()
        self.drained.set()

    def send(self, message: WorkerSetup | Command) -> None:
        """Sends a setup or a command, unless the process's input is closed."""
        if self._process.stdin and not self._process.stdin.is_closing():
            self._process.stdin.write(encode_line(message))

    async def shut_down(self) -> None:
        """Shuts the worker down, and kills its process if it does not exit within SHUTDOWN_TIMEOUT_S."""
        self.send(ShutDown())
        if self._process.stdin:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        await self._reading
