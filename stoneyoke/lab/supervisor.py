"""Supervises the gateway processes: starts, signals and watches them, and ends them all with itself."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Any

import psutil

from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.role import say

WATCH_S = 1.0
TAIL = 12  # lines of its log that are told of a process that died


class Supervisor:
    """The role that holds all gateway processes of a run."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.ledger, self.out = ledger, Path(given["out"])
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.expected: set[str] = set()  # those that were told to end
        self.tasks: set[asyncio.Task[None]] = set()
        self.descriptors: int = given["sockets"]
        self.memory: int = given["memory_mb"] << 20

    async def start(self) -> None:
        self.spawn(self.watch())

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def log(self, name: str) -> Path:
        return self.out / "logs" / (name.replace("/", "-") + ".log")

    async def order(self, order: dict[str, Any]) -> dict[str, Any] | None:
        name = order.get("name", "")
        if order["do"] == "start":
            with self.log(name).open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *order["argv"],
                    env=os.environ | order["env"],
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
            self.processes[name] = process
            self.ledger.add("process", name, "started", process.pid)
            self.spawn(self.wait(name, process))
        elif order["do"] == "signal" and name in self.processes:
            process = self.processes[name]
            number = signal.Signals[order["signal"]]
            if order.get("ends"):
                self.expected.add(name)
            self.ledger.add("process", name, order["signal"], process.pid)
            if process.returncode is None:
                process.send_signal(number)
        return None

    async def wait(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.processes.get(name) is process:
            del self.processes[name]
        expected = name in self.expected
        self.expected.discard(name)
        self.ledger.add("process", name, "ended", code, expected)
        lines = [] if expected else self.log(name).read_text(errors="replace").splitlines()[-TAIL:]
        say({"died": name, "code": code, "expected": expected, "lines": lines})

    async def watch(self) -> None:
        """Memory, descriptors and CPU of each, once a second."""
        while True:
            await asyncio.sleep(WATCH_S)
            for name, process in list(self.processes.items()):
                try:
                    seen = psutil.Process(process.pid)
                    with seen.oneshot():
                        memory, fds, cpu = seen.memory_info().rss, seen.num_fds(), sum(seen.cpu_times()[:2])
                except psutil.Error:
                    continue
                self.ledger.add("use", name, memory, fds, round(cpu, 3))
                if memory > self.memory or fds > self.descriptors:
                    self.ledger.add("process", name, "over its limits", memory, fds)

    async def end(self) -> None:
        self.expected |= set(self.processes)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in list(self.processes.values())))
        for task in self.tasks:
            task.cancel()
