"""Supervises the gateway processes: starts, signals and watches them, and kills them when it shuts down."""

import asyncio
import os
import signal
from pathlib import Path

import psutil

from stoneyoke.lab.ledger_rows import EXITED, OVER_LIMITS, STARTED
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.role import send_reply
from stoneyoke.lab.worker_messages import Command, GatewayExited, Reply, SignalGateway, StartGateway, SupervisorSetup

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
        self._expected_exits: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # one watches the gateways, one for each process waits for it

    async def start(self) -> None:
        """Starts to watch the gateways."""
        self._track_task(asyncio.create_task(self._watch()))

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_path(self, name: str) -> Path:
        return self._log_folder / (name.replace("/", "-") + ".log")

    async def execute(self, command: Command) -> Reply | None:
        """Starts a gateway or sends it a signal."""
        match command:
            case StartGateway():
                await self._start_gateway(command)
            case SignalGateway() if command.name in self._processes:
                self._signal_gateway(command)
        return None

    async def _start_gateway(self, command: StartGateway) -> None:
        with self._log_path(command.name).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command.argv,
                env=os.environ | command.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._processes[command.name] = process
        self.ledger.add("process", command.name, STARTED, process.pid)
        self._track_task(asyncio.create_task(self._wait_for_exit(command.name, process)))

    def _signal_gateway(self, command: SignalGateway) -> None:
        process = self._processes[command.name]
        if command.ends:
            self._expected_exits.add(command.name)
        self.ledger.add("process", command.name, command.signal, process.pid)
        if process.returncode is None:
            process.send_signal(signal.Signals[command.signal])

    async def _wait_for_exit(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self._processes.get(name) is process:
            del self._processes[name]
        expected = name in self._expected_exits
        self._expected_exits.discard(name)
        self.ledger.add("process", name, EXITED, code, expected)
        lines: list[str] = []
        if not expected:
            lines = self._log_path(name).read_text(errors="replace").splitlines()[-REPORTED_LOG_LINES:]
        send_reply(GatewayExited(name, code, expected, lines))

    async def _watch(self) -> None:
        """Records the memory, descriptors and CPU time of each gateway every WATCH_INTERVAL_S."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for name, process in list(self._processes.items()):
                self._record_usage(name, process.pid)

    def _record_usage(self, name: str, pid: int) -> None:
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

    async def shut_down(self) -> None:
        """Kills all gateways."""
        self._expected_exits |= set(self._processes)
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in list(self._processes.values())))
        for task in self._tasks:
            task.cancel()
