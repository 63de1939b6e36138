"""A worker, as the run that started it sees it."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec


class WorkerProcess:
    """A role in a process of its own, told things line by line."""

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, told: Callable[[str, dict[str, Any]], None]
    ) -> None:
        self.name, self.process, self.told = name, process, told
        self.ready, self.ended = asyncio.Event(), asyncio.Event()
        self.drained = asyncio.Event()
        self.reading = asyncio.create_task(self.read())

    async def read(self) -> None:
        assert self.process.stdout
        while line := await self.process.stdout.readline():
            what = msgspec.json.decode(line)
            if "ready" in what:
                self.ready.set()
            elif "drained" in what:
                self.drained.set()
            else:
                self.told(self.name, what)
        self.ended.set()
        self.ready.set()
        self.drained.set()

    def say(self, what: dict[str, Any]) -> None:
        if self.process.stdin and not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(what) + b"\n")

    async def end(self) -> None:
        self.say({"do": "end"})
        if self.process.stdin:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(10):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.reading
