"""One run: starts everything, strikes when the plan says so, ends everything, reads the ledger.

Every process here is a child of this one, or of the supervisor, and ends with its standard input.
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
from stoneyoke.lab.fault_orders import FaultOrders
from stoneyoke.lab.gateway_files import GatewayFiles, gateway_settings
from stoneyoke.lab.http import open_to
from stoneyoke.lab.machine_limits import check_capacity
from stoneyoke.lab.plan import FaultEvent, RunPlan, draw_plan
from stoneyoke.lab.result import Result, RunEnd, judge
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.worker_process import WorkerProcess
from stoneyoke.lab.worker_terms import WorkerTerms, worker_terms

READY_S = 60.0


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
        self.scenario, self.seed, self.out, self.progress = scenario, seed, out, progress
        self.addresses = Addresses(scenario, port)
        self.drawn: RunPlan = draw_plan(scenario, seed)
        self.workers: dict[str, WorkerProcess] = {}
        self.crashes: list[str] = []
        self.reasons: list[str] = []
        self.faults = FaultOrders(self.addresses, self.workers, self)
        self.files = GatewayFiles(scenario, self.addresses, seed, out)

    # ---- gateways ----

    def settings(self, g: int) -> dict[str, Any]:
        """What gateway g is told of the protocol."""
        return gateway_settings(self.scenario, self.addresses, g)

    def configure(self, g: int, life: int = 0) -> Path:
        """Writes the files of a gateway's life; the path of its configuration."""
        return self.files.write(g, life, self.settings(g))

    def start_gateway(self, g: int, life: int = 0) -> None:
        name, path = self.addresses.gateway_names[g], self.configure(g, life)
        self.workers["keeper"].say(
            {
                "do": "start",
                "name": name,
                "argv": [sys.executable, "-O", "-m", "stoneyoke"],
                "env": {"NODE_CONFIG": str(path), "NODE_NAME": name}
                | ({"STONEYOKE_OPTIONS": str(path.with_suffix(".toml"))} if self.scenario.fleet.on else {}),
            }
        )

    async def gateways_ready(self, which: range) -> None:
        """Raises CannotRun naming the first that never becomes ready, with its last line."""
        ask = b"GET /healthz HTTP/1.1\r\nHost: lab\r\n\r\n"
        until = time.monotonic() + READY_S
        for g in which:
            while True:
                try:
                    link = await open_to(self.addresses.gateway(g), 1.0)
                    status, _, _ = await link.ask(ask, 1.0)
                    link.close()
                    if status == 200:
                        break
                except OSError:
                    pass
                name = self.addresses.gateway_names[g]
                dead = next((crash for crash in self.crashes if crash.startswith(name + " ")), "")
                if dead or time.monotonic() > until:
                    raise NotReady(f"not ready: {dead or name}")
                await asyncio.sleep(0.05)

    # ---- workers ----

    async def start_worker(self, terms: WorkerTerms) -> None:
        name = terms.name
        with (self.out / "logs" / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "stoneyoke.lab.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                limit=1 << 22,
            )
        worker = self.workers[name] = WorkerProcess(name, process, self.told)
        ledger = self.out / "ledger" / f"{name}.jsonl"
        worker.say({"kind": terms.kind, "name": name, "ledger": str(ledger)} | terms.given)

    async def workers_ready(self) -> None:
        async with asyncio.timeout(READY_S):
            for worker in self.workers.values():
                await worker.ready.wait()
                if worker.ended.is_set():
                    raise CannotRun(f"{worker.name} did not start: see {self.out / 'logs' / worker.name}.log")

    def told(self, _: str, what: dict[str, Any]) -> None:
        if "died" in what and not what["expected"]:
            last = what["lines"][-1] if what["lines"] else "no line"
            self.crashes.append(f"{what['died']} ended with {what['code']}: {last}")

    async def start(self) -> None:
        """Workers first, then the gateways in waves. Raises CannotRun."""
        for folder in ("ledger", "logs", "configs"):
            (self.out / folder).mkdir(parents=True, exist_ok=True)
        self.files.write_keys()
        (self.out / "scenario.json").write_bytes(msgspec.json.encode(self.scenario))
        (self.out / "plan.json").write_bytes(msgspec.json.encode(self.drawn))
        for terms in worker_terms(self.scenario, self.addresses, self.drawn, self.seed, self.out):
            await self.start_worker(terms)
        await self.workers_ready()
        for first in range(0, self.scenario.gateways.count, self.scenario.gateways.wave):
            wave = range(first, min(self.scenario.gateways.count, first + self.scenario.gateways.wave))
            for g in wave:
                self.start_gateway(g)
            await self.gateways_ready(wave)

    # ---- the run ----

    def strike(self, strike: FaultEvent) -> None:
        """Writes a strike down and carries it out."""
        self.book(
            "fault", strike.number, strike.kind, strike.begins, strike.processes, strike.source, strike.destination
        )
        self.faults.strike(strike)

    def book(self, kind: str, *what: Any) -> None:
        at = (time.monotonic_ns() - self.started_ns) // 1000
        self.ledger.write(msgspec.json.encode((kind, at, *what)) + b"\n")
        self.ledger.flush()

    async def go(self) -> None:
        self.started_ns = time.monotonic_ns() + 200_000_000
        for worker in self.workers.values():
            worker.say({"do": "go", "at_ns": self.started_ns})
        with (self.out / "ledger" / "run.jsonl").open("ab") as self.ledger:
            strikes = list(self.drawn.fault_events)
            end = self.scenario.seconds
            while (now := (time.monotonic_ns() - self.started_ns) / 1e9) < end:
                while strikes and strikes[0].at_us / 1e6 <= now:
                    self.strike(strikes.pop(0))
                self.progress(max(0.0, now))
                if dead := [name for name, worker in self.workers.items() if worker.ended.is_set()]:
                    raise CannotRun(f"{dead[0]} ended during the run: see {self.out / 'logs' / dead[0]}.log")
                following = strikes[0].at_us / 1e6 if strikes else end
                await asyncio.sleep(max(0.001, min(0.1, following - now, end - now)))
            for strike in [s for s in strikes if not s.begins]:
                self.strike(strike)  # what is struck still is mended, so that all that is held can end
            front = self.workers["front"]
            front.say({"do": "drain"})
            longest = max(m.deadline_ms for m in self.scenario.method) / 1000
            try:
                async with asyncio.timeout(longest + 3):
                    await front.drained.wait()
            except TimeoutError:
                self.reasons.append("clients still waited at the end")

    async def end(self) -> None:
        """Ends every process, whatever came before."""
        order = ["front", "keeper"]
        for name in order + [name for name in self.workers if name not in order]:
            if name in self.workers:
                await self.workers[name].end()

    async def whole(self) -> Result:
        began, partial = time.monotonic(), ""
        check_capacity(self.scenario, self.addresses)
        try:
            await self.start()
            await self.go()
        except asyncio.CancelledError:
            partial = "interrupted"
        finally:
            await asyncio.shield(self.end())
        return self.result(partial, time.monotonic() - began)

    def result(self, partial: str, seconds: float) -> Result:
        return judge(
            self.out,
            self.scenario,
            self.drawn,
            RunEnd(seconds=seconds, crashes=self.crashes, reasons=self.reasons, partial=partial),
        )


def carry_out(scenario: Scenario, seed: int, out: Path, port: int, progress: Callable[[float], None]) -> Result:
    """Runs to its end, or to Ctrl-C or SIGTERM: then what there is is judged as partial. Raises CannotRun."""
    if out.exists():
        shutil.rmtree(out)
    run = Run(scenario, seed, out, port, progress)

    async def main() -> Result:
        task = asyncio.ensure_future(run.whole())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await task

    os.environ["PYTHONPATH"] = os.pathsep.join([str(Path(__file__).parents[2]), os.environ.get("PYTHONPATH", "")])
    return asyncio.run(main())
