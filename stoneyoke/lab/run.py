"""One run: starts all processes, injects the plan's faults, stops all processes and has the ledger evaluated.

Each worker is a child of this process and exits when its standard input closes. The gateways are children of the
supervisor, a worker that kills them when it exits. So no process outlives the run.
"""

import asyncio
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from stoneyoke.lab.addresses import Addresses
from stoneyoke.lab.errors import CannotRun, NotReady
from stoneyoke.lab.fault_dispatcher import FaultDispatcher
from stoneyoke.lab.gateway_files import GatewayFiles, gateway_settings
from stoneyoke.lab.http import open_connection
from stoneyoke.lab.machine_limits import check_capacity
from stoneyoke.lab.plan import FaultEvent, draw_plan
from stoneyoke.lab.result import Result, RunOutcome, evaluate_run
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.worker_messages import CLIENTS, SUPERVISOR, Begin, Drain, GatewayExited, StartGateway, WorkerSetup
from stoneyoke.lab.worker_process import WorkerProcess
from stoneyoke.lab.worker_setup import worker_setups

READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.05
READY_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: lab\r\n\r\n"
READY_REQUEST_TIMEOUT_S = 1.0
START_DELAY_NS = 200_000_000  # between the Begin command and the run's start, so that all workers receive it in time
DRAIN_SLACK_S = 3  # time for the clients to drain, in addition to the longest deadline of a method
POLL_INTERVAL_S = 0.1  # longest interval between two checks whether a worker has exited
MAX_REPLY_BYTES = 1 << 22


class Run:
    """One run of a scenario with a seed, into a folder."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Path,
        port: int = 7070,
        progress: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Draws the plan, but starts no process.

        Args:
            scenario: The processes, the load and the faults of the run.
            seed: The seed of the plan.
            out: The folder for the run's ledger, logs, configurations and result.
            port: The port of all processes.
            progress: Called at least every POLL_INTERVAL_S with the time since the run's start in seconds.
        """
        self.scenario = scenario
        self.out = out
        self.progress = progress
        self.addresses = Addresses(scenario, port)
        self.plan = draw_plan(scenario, seed)
        self.workers: dict[str, WorkerProcess] = {}
        self.crashes: list[str] = []  # one line for each gateway that exited unexpectedly
        self.reasons: list[str] = []  # further lines for the result's reasons; they don't change the verdict
        self.faults = FaultDispatcher(self.addresses, self.workers, self)
        self.files = GatewayFiles(scenario, self.addresses, seed, out)

    async def execute(self) -> Result:
        """Executes the whole run and evaluates it. A run that is cancelled gets the verdict partial.

        Raises:
            CannotRun: The machine lacks the resources, or a process did not start or exited during the run.
        """
        started_at_s, partial = time.monotonic(), ""
        check_capacity(self.scenario, self.addresses)
        try:
            await self._start()
            await self._execute_plan()
        except asyncio.CancelledError:
            partial = "interrupted"
        finally:
            await asyncio.shield(self._shut_down_workers())
        outcome = RunOutcome(
            seconds=time.monotonic() - started_at_s, crashes=self.crashes, reasons=self.reasons, partial=partial
        )
        return evaluate_run(self.out, self.scenario, self.plan, outcome)

    # ---- gateways ----

    def settings(self, gateway: int) -> dict[str, Any]:
        """Returns a gateway's settings, with the keys of the protocol's first message."""
        return gateway_settings(self.scenario, self.addresses, gateway)

    def configure(self, gateway: int, restarts: int = 0) -> Path:
        """Writes a gateway's files for its next start.

        Returns:
            The configuration's path.
        """
        return self.files.write(gateway, restarts, self.settings(gateway))

    def start_gateway(self, gateway: int, restarts: int = 0) -> None:
        """Writes a gateway's files and has the supervisor start it.

        Args:
            gateway: The gateway's number.
            restarts: How often the gateway was started before.
        """
        name, path = self.addresses.gateway_names[gateway], self.configure(gateway, restarts)
        env = {"NODE_CONFIG": str(path), "NODE_NAME": name}
        if self.scenario.fleet.on:
            env["STONEYOKE_OPTIONS"] = str(path.with_suffix(".toml"))
        argv = [sys.executable, "-O", "-m", "stoneyoke"]
        self.workers[SUPERVISOR].send(StartGateway(name, argv, env))

    async def _wait_for_gateways(self, gateways: range) -> None:
        """Waits until gateways are ready.

        Raises:
            NotReady: A gateway has exited, or is not ready within READY_TIMEOUT_S. The text names the first one, and
                for one that has exited its last log line.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for gateway in gateways:
            while not await self._is_ready(gateway):
                name = self.addresses.gateway_names[gateway]
                crash = next((crash for crash in self.crashes if crash.startswith(name + " ")), "")
                if crash or time.monotonic() > deadline_s:
                    raise NotReady(f"not ready: {crash or name}")
                await asyncio.sleep(READY_POLL_S)

    async def _is_ready(self, gateway: int) -> bool:
        try:
            connection = await open_connection(self.addresses.gateway(gateway), READY_REQUEST_TIMEOUT_S)
            response = await connection.request(READY_REQUEST, READY_REQUEST_TIMEOUT_S)
            connection.close()
        except OSError:
            return False
        return response.status == 200

    def _gateway_exited(self, reply: GatewayExited) -> None:
        if not reply.expected:
            last_line = reply.lines[-1] if reply.lines else "no line"
            self.crashes.append(f"{reply.name} ended with {reply.code}: {last_line}")

    # ---- workers ----

    async def _start_worker(self, setup: WorkerSetup) -> None:
        with self._log_path(setup.name).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "stoneyoke.lab.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                limit=MAX_REPLY_BYTES,
            )
        worker = self.workers[setup.name] = WorkerProcess(setup.name, process, self._gateway_exited)
        ledger = self.out / "ledger" / f"{setup.name}.jsonl"
        worker.send(msgspec.structs.replace(setup, ledger=str(ledger)))

    def _log_path(self, worker: str) -> Path:
        return self.out / "logs" / f"{worker}.log"

    async def _wait_for_workers(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for worker in self.workers.values():
                await worker.ready.wait()
                if worker.exited.is_set():
                    raise CannotRun(
                        f"worker {worker.name} exited before it was ready, see {self._log_path(worker.name)}"
                    )

    # ---- the run ----

    async def _start(self) -> None:
        """Starts the workers, then the gateways, `wave` of them at a time."""
        for folder in ("ledger", "logs", "configs"):
            (self.out / folder).mkdir(parents=True, exist_ok=True)
        self.files.write_keys()
        (self.out / "scenario.json").write_bytes(msgspec.json.encode(self.scenario))
        (self.out / "plan.json").write_bytes(msgspec.json.encode(self.plan))
        for setup in worker_setups(self.scenario, self.addresses, self.plan, self.out):
            await self._start_worker(setup)
        await self._wait_for_workers()
        count, wave = self.scenario.gateways.count, self.scenario.gateways.wave
        for first in range(0, count, wave):
            gateways = range(first, min(count, first + wave))
            for gateway in gateways:
                self.start_gateway(gateway)
            await self._wait_for_gateways(gateways)

    async def _execute_plan(self) -> None:
        """Starts the clients, injects the fault events at their times, and drains the clients."""
        self._started_ns = time.monotonic_ns() + START_DELAY_NS
        for worker in self.workers.values():
            worker.send(Begin(self._started_ns))
        with (self.out / "ledger" / "run.jsonl").open("ab") as self._ledger:
            remaining = await self._inject_events()
            for event in remaining:
                if not event.begins:
                    self._inject(event)  # ends the remaining faults, so that all pending requests can complete
            await self._drain_clients()

    async def _inject_events(self) -> list[FaultEvent]:
        """Injects fault events until the run's duration is over.

        Returns:
            The events with later times.
        """
        events, end_s = list(self.plan.fault_events), self.scenario.seconds
        while (now_s := self._now_s()) < end_s:
            while events and events[0].at_us / 1e6 <= now_s:
                self._inject(events.pop(0))
            self.progress(max(0.0, now_s))
            self._check_workers()
            next_s = events[0].at_us / 1e6 if events else end_s
            await asyncio.sleep(max(0.001, min(POLL_INTERVAL_S, next_s - now_s, end_s - now_s)))
        return events

    def _now_s(self) -> float:
        return (time.monotonic_ns() - self._started_ns) / 1e9

    def _check_workers(self) -> None:
        for name, worker in self.workers.items():
            if worker.exited.is_set():
                raise CannotRun(f"worker {name} exited during the run, see {self._log_path(name)}")

    def _inject(self, event: FaultEvent) -> None:
        """Writes a fault event into the ledger and has the workers inject it."""
        at_us = (time.monotonic_ns() - self._started_ns) // 1000
        fields = (event.number, event.kind, event.begins, event.processes, event.source, event.destination)
        self._ledger.write(msgspec.json.encode(("fault", at_us, *fields)) + b"\n")
        self._ledger.flush()
        self.faults.dispatch(event)

    async def _drain_clients(self) -> None:
        clients = self.workers[CLIENTS]
        clients.send(Drain())
        longest_deadline_s = max(method.deadline_ms for method in self.scenario.method) / 1000
        try:
            async with asyncio.timeout(longest_deadline_s + DRAIN_SLACK_S):
                await clients.drained.wait()
        except TimeoutError:
            self.reasons.append("clients still waited at the end")

    async def _shut_down_workers(self) -> None:
        """Shuts down all workers: first the clients, then the supervisor with the gateways, then all others."""
        first = [CLIENTS, SUPERVISOR]
        for name in first + [name for name in self.workers if name not in first]:
            if name in self.workers:
                await self.workers[name].shut_down()


def run_scenario(scenario: Scenario, seed: int, out: Path, port: int, progress: Callable[[float], None]) -> Result:
    """Executes a run. SIGINT or SIGTERM stops it early; what it has recorded is then evaluated as partial.

    Args:
        scenario: The processes, the load and the faults of the run.
        seed: The seed of the plan.
        out: The folder of the run; an existing one is deleted first.
        port: The port of all processes.
        progress: Called at least every POLL_INTERVAL_S with the time since the run's start in seconds.

    Raises:
        CannotRun: The machine lacks the resources, or a process did not start or exited during the run.
    """
    if out.exists():
        shutil.rmtree(out)
    run = Run(scenario, seed, out, port, progress)

    async def main() -> Result:
        task = asyncio.ensure_future(run.execute())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await task

    package_folder = str(Path(__file__).parents[2])
    os.environ["PYTHONPATH"] = os.pathsep.join([package_folder, os.environ.get("PYTHONPATH", "")])
    return asyncio.run(main())
