"""Supervises the gateway processes: starts, signals and watches them, and kills them when it shuts down."""

import asyncio
import os
import signal
from pathlib import Path

import psutil

from stoneyoke.lab.ledger_rows import ENDED, OVER_LIMITS, STARTED
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.role import send_reply
from stoneyoke.lab.worker_messages import GatewayDied, Order, Reply, SignalGateway, StartGateway, SupervisorSetup

WATCH_INTERVAL_S = 1.0
REPORTED_LOG_LINES = 12  # last lines of the log that are reported for a gateway that exited unexpectedly


class Supervisor:
    """The role of the worker whose children are all gateway processes of a run."""

    def __init__(self, setup: SupervisorSetup, ledger: LedgerWriter) -> None:
        """Starts no process yet."""
        self.ledger = ledger
        self._log_folder = Path(setup.out) / "logs"
        self._max_descriptors = setup.max_descriptors
        self._max_memory_bytes = setup.max_memory_bytes
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._told_to_end: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # one watches the gateways, one for each process waits for it

    async def start(self) -> None:
        """Starts to watch the gateways."""
        self._keep(asyncio.create_task(self._watch()))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_path(self, name: str) -> Path:
        return self._log_folder / (name.replace("/", "-") + ".log")

    async def carry_out(self, order: Order) -> Reply | None:
        """Starts a gateway or sends it a signal."""
        match order:
            case StartGateway():
                await self._start_gateway(order)
            case SignalGateway() if order.name in self._processes:
                self._signal_gateway(order)
        return None

    async def _start_gateway(self, order: StartGateway) -> None:
        with self._log_path(order.name).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *order.argv,
                env=os.environ | order.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._processes[order.name] = process
        self.ledger.add("process", order.name, STARTED, process.pid)
        self._keep(asyncio.create_task(self._wait_for_end(order.name, process)))

    def _signal_gateway(self, order: SignalGateway) -> None:
        process = self._processes[order.name]
        if order.ends:
            self._told_to_end.add(order.name)
        self.ledger.add("process", order.name, order.signal, process.pid)
        if process.returncode is None:
            process.send_signal(signal.Signals[order.signal])

    async def _wait_for_end(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self._processes.get(name) is process:
            del self._processes[name]
        expected = name in self._told_to_end
        self._told_to_end.discard(name)
        self.ledger.add("process", name, ENDED, code, expected)
        lines: list[str] = []
        if not expected:
            lines = self._log_path(name).read_text(errors="replace").splitlines()[-REPORTED_LOG_LINES:]
        send_reply(GatewayDied(name, code, expected, lines))

    async def _watch(self) -> None:
        """Records the memory, descriptors and CPU time of each gateway every WATCH_INTERVAL_S."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for name, process in list(self._processes.items()):
                self._note_use(name, process.pid)

    def _note_use(self, name: str, pid: int) -> None:
        try:
            process = psutil.Process(pid)
            with process.oneshot():
                memory_bytes, descriptors = process.memory_info().rss, process.num_fds()
                cpu_s = sum(process.cpu_times()[:2])
        except psutil.Error:
            return
        self.ledger.add("use", name, memory_bytes, descriptors, round(cpu_s, 3))
        if memory_bytes > self._max_memory_bytes or descriptors > self._max_descriptors:
            self.ledger.add("process", name, OVER_LIMITS, memory_bytes, descriptors)

    async def end(self) -> None:
        """Kills all gateways."""
        self._told_to_end |= set(self._processes)
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in list(self._processes.values())))
        for task in self._tasks:
            task.cancel()
