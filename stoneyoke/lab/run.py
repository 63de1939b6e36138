"""One run: starts everything, strikes when the plan says so, ends everything, reads the ledger.

Every process here is a child of this one, or of the keeper, and ends with its standard input.
"""

import asyncio
import json
import math
import os
import resource
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import psutil
from msgspec import Struct

from stoneyoke.lab.http import open_to
from stoneyoke.lab.ledger import Ledger, Violation, read_rows
from stoneyoke.lab.places import Places, text
from stoneyoke.lab.plan import Drawn, Strike, draw
from stoneyoke.lab.scenario import Scenario, targets
from stoneyoke.lab.spread import Spread, Use, central, spread
from stoneyoke.lab.standins import can_listen

LINKS_A_PROCESS = 6000  # listening sockets; each carried connection takes two more
SPARE = 4000  # descriptors of a process of links, for connections
GATEWAY_MB = 22  # what a gateway process holds
READY_S = 60.0


class CantRun(Exception):
    """The machine can't hold this run, or something did not start: one line, told before any load."""


class Result(Struct):
    """What is kept of a run, beside its ledger."""

    scenario: str
    seed: int
    plan: str  # a digest of all arrivals and faults
    verdict: str  # passed, failed, void, partial
    reasons: list[str]
    figures: dict[str, float]
    spread: dict[str, Spread]  # gateways 1 s, central 1 s, ...
    violations: list[Violation]
    crashes: list[str]
    seconds: float


class Child:
    """A part in a process of its own, told things line by line."""

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


class Run:
    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Path,
        port: int = 7070,
        progress: Callable[[float], None] = lambda _: None,
    ) -> None:
        self.scenario, self.seed, self.out, self.progress = scenario, seed, out, progress
        self.places = Places(scenario, port)
        self.drawn: Drawn = draw(scenario, seed)
        self.children: dict[str, Child] = {}
        self.crashes: list[str] = []
        self.reasons: list[str] = []
        self.generations: dict[str, int] = {}
        self.speeds = speeds_of(scenario)
        self.base_ms = int(time.time() * 1000)
        self.began = 0.0
        self.keys = out.resolve() / "configs" / "keys"

    # ---- before ----

    def fits(self) -> None:
        """Raises CantRun where the machine can't hold it, with what is needed."""
        scenario, links = self.scenario, self.places.links()
        carriers = math.ceil(len(links) / LINKS_A_PROCESS)
        need = math.ceil(len(links) / carriers) + SPARE
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and hard < need:
            raise CantRun(f"descriptors: {need} a process are needed for {len(links)} links, the limit is {hard}")
        resource.setrlimit(resource.RLIMIT_NOFILE, (need if hard == resource.RLIM_INFINITY else hard, hard))
        memory = scenario.gateways.count * GATEWAY_MB + 150 * (carriers + 4) + len(links) // 50
        free = psutil.virtual_memory().available >> 20
        if free < memory:
            raise CantRun(f"memory: {memory} MB are needed for {scenario.gateways.count} gateways, {free} MB are free")
        probes = [entry for _, _, entry, _ in links[:: max(1, len(links) // 200)]]
        probes += [self.places.gateway(g) for g in range(scenario.gateways.count)]
        for address in probes:
            if not can_listen(address):
                raise CantRun(f"port: {text(address)} is busy; another lab may run (take another --port)")

    # ---- configurations ----

    def settings(self, g: int) -> dict[str, Any]:
        scenario = self.scenario
        return {
            "balancers": scenario.gateways.count,
            "self-index": g,
            "zones": scenario.zones(),
            "zone": scenario.zones().index(self.places.gateway_names[g].split("/")[0]),
            "discovery": "automatic",
            "caps": {
                "cancel": True,
                "try-limit": 4,
                "dial-timeout-us": 250_000,
                "retry-after": True,
                "conn-idle-us": int(scenario.backends.idle_s * 1e6),
            },
            "extra": {
                "units-top": max(m.units for m in scenario.method),
                "has-counter": True,
                "count-limit-us": int(scenario.counter.limit_ms * 1000),
            },
            "rules": {
                "cold-from": scenario.backends.cold_share,
                "overload-factor": scenario.backends.push_over,
                "ramp-time-us": int(scenario.backends.warm_up_s * 1e6),
                "answer-slack-us": 5000,
                "overload-for-us": int(scenario.backends.push_over_s * 1e6),
            },
            "clients": {"marks-retry": scenario.clients.marks},
            "classes": [
                {
                    "name": m.name,
                    "effect": m.effect,
                    "group": m.group,
                    "aim-us": int(m.soft_ms * 1000),
                    "deadline-us": int(m.deadline_ms * 1000),
                    "memory-span-us": int(m.memory_ms * 1000),
                    "gain": m.utility,
                }
                for m in scenario.method
            ],
            "tariffs": [
                {
                    "name": p.name,
                    "units-per-s": p.rate,
                    "depth": p.burst,
                    "worth-factor": p.price,
                    "parallel": 0,
                    "cap-rate": p.ceiling_rate,
                    "cap-depth": p.ceiling_burst,
                }
                for p in scenario.plan
            ],
        }

    def entry(self, b: int, name: str = "", since_ms: int = 0) -> dict[str, Any]:
        zone = self.places.backend_names[b].split("/")[0]
        return {
            "name": name or self.places.backend_names[b],
            "zone": zone,
            "type": "lab",
            "group": b % 7,
            "status": "active",
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def configure(self, g: int, life: int = 0) -> Path:
        places = self.places
        path = self.out / "configs" / f"g{g:03d}.json"
        known = [
            self.entry(b) | {"address": text(places.to_backend(g, b))} for b in range(self.scenario.backends.count)
        ]
        path.write_text(
            json.dumps(
                {
                    "name": places.gateway_names[g],
                    "listen": text(places.gateway(g)),
                    "discovery": text(places.to_discovery(g)),
                    "counter": text(places.to_counter(g)),
                    "seed": f"{(self.seed * 1_000_003 + g * 101 + life) % 2**63:016x}",
                    "limits": {
                        "cores": 1.0,
                        "memory_mb": self.scenario.gateways.memory_mb,
                        "sockets": self.scenario.gateways.sockets,
                    },
                    "known": {"index": len(known), "snapshot": True, "endpoints": known},
                    "settings": self.settings(g),
                }
            )
        )
        if self.scenario.fleet.on:
            (self.out / "configs" / f"g{g:03d}.toml").write_text(self.options(g))
        return path

    def options(self, g: int) -> str:
        """The gateway's own options: where its datagrams come to, and over which links the others reach
        it."""
        places, few = self.places, min(self.scenario.fleet.seeds, self.scenario.gateways.count)
        seeds = ", ".join(f'"{text(places.to_peer(seed))}"' for seed in range(few))
        return (
            f'[fleet]\nlisten = "{text(places.peer(g))}"\nadvertise = "{text(places.to_peer(g))}"\n'
            f'seeds = [{seeds}]\nkeys = "{self.keys}"\n'
        )

    def write_keys(self) -> None:
        """The key that all gateways share, written once, before any starts: one that starts reads it meanwhile."""
        if self.scenario.fleet.on:
            self.keys.write_text(f"{self.seed:032x}\n")

    # ---- processes ----

    async def child(self, name: str, kind: str, given: dict[str, Any]) -> None:
        with (self.out / "logs" / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "stoneyoke.lab.part",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                limit=1 << 22,
            )
        child = self.children[name] = Child(name, process, self.told)
        child.say({"kind": kind, "name": name, "ledger": str(self.out / "ledger" / f"{name}.jsonl")} | given)

    async def children_ready(self) -> None:
        async with asyncio.timeout(READY_S):
            for child in self.children.values():
                await child.ready.wait()
                if child.ended.is_set():
                    raise CantRun(f"{child.name} did not start: see {self.out / 'logs' / child.name}.log")

    def told(self, name: str, what: dict[str, Any]) -> None:
        if "died" in what and not what["expected"]:
            last = what["lines"][-1] if what["lines"] else "no line"
            self.crashes.append(f"{what['died']} ended with {what['code']}: {last}")

    def start_gateway(self, g: int, life: int = 0) -> None:
        name, path = self.places.gateway_names[g], self.configure(g, life)
        self.children["keeper"].say(
            {
                "do": "start",
                "name": name,
                "argv": [sys.executable, "-O", "-m", "stoneyoke"],
                "env": {"NODE_CONFIG": str(path), "NODE_NAME": name}
                | ({"STONEYOKE_OPTIONS": str(path.with_suffix(".toml"))} if self.scenario.fleet.on else {}),
            }
        )

    async def gateways_ready(self, which: range) -> None:
        """Raises CantRun naming the first that never becomes ready, with its last line."""
        ask = b"GET /healthz HTTP/1.1\r\nHost: lab\r\n\r\n"
        until = time.monotonic() + READY_S
        for g in which:
            while True:
                try:
                    link = await open_to(self.places.gateway(g), 1.0)
                    status, _, _ = await link.ask(ask, 1.0)
                    link.close()
                    if status == 200:
                        break
                except OSError:
                    pass
                name = self.places.gateway_names[g]
                dead = next((crash for crash in self.crashes if crash.startswith(name + " ")), "")
                if dead or time.monotonic() > until:
                    raise CantRun(f"not ready: {dead or name}")
                await asyncio.sleep(0.05)

    async def start(self) -> None:
        for folder in ("ledger", "logs", "configs"):
            (self.out / folder).mkdir(parents=True, exist_ok=True)
        self.write_keys()
        (self.out / "scenario.json").write_bytes(msgspec.json.encode(self.scenario))
        (self.out / "plan.json").write_bytes(msgspec.json.encode(self.drawn))
        scenario, places, drawn = self.scenario, self.places, self.drawn
        links = places.links()
        carriers = math.ceil(len(links) / LINKS_A_PROCESS)
        peers = [(name, places.peer(g), places.to_peer(g)) for g, name in enumerate(places.gateway_names)]
        for at in range(carriers):
            given_links = {"links": links[at::carriers], "peers": peers, "at": at, "of": carriers}
            await self.child(f"links{at}", "links", given_links)
        methods = [msgspec.to_builtins(m) for m in scenario.method]
        given = scenario.backends
        await self.child(
            "backends",
            "backends",
            {
                "seed": self.seed,
                "methods": methods,
                "slots": given.slots,
                "queue": given.queue,
                "connections": given.connections,
                "cold_share": given.cold_share,
                "warm_up_s": given.warm_up_s,
                "backends": [
                    (
                        name,
                        places.backend(b),
                        self.speeds[b],
                        {"all": "all", "zone": name.split("/")[0], "cell": f"{name.split('/')[0]}-{b % 7}"},
                    )
                    for b, name in enumerate(places.backend_names)
                ],
            },
        )
        await self.child(
            "counter",
            "counter",
            {
                "addresses": [places.counter_half(0), places.counter_half(1)],
                "per_s": scenario.counter.per_s,
                "parts": scenario.counter.parts,
                "line_ms": scenario.counter.line_ms,
            },
        )
        chance = np.random.Generator(np.random.PCG64(self.seed + 1))
        late = (
            scenario.discovery.notice_ms + scenario.discovery.spread_ms * chance.random(scenario.gateways.count)
        ) / 1000
        await self.child(
            "discovery",
            "discovery",
            {
                "list": [self.entry(b) for b in range(given.count)],
                "agents": [(name, places.agent(g), float(late[g])) for g, name in enumerate(places.gateway_names)],
                "addresses": [
                    [text(places.to_backend(g, b)) for b in range(given.count)] for g in range(scenario.gateways.count)
                ],
            },
        )
        await self.child(
            "front",
            "front",
            {
                "seed": self.seed,
                "gateways": places.gateway_names,
                "clients": msgspec.to_builtins(scenario.clients),
                "methods": methods,
                "plans": [p.name for p in scenario.plan],
                "customers": [(c.account, c.plan, c.first, c.width) for c in drawn.customers],
                "arrivals": msgspec.to_builtins(drawn.arrivals),
                "entries": [places.to_gateway(g) for g in range(scenario.gateways.count)],
            },
        )
        await self.child(
            "keeper",
            "keeper",
            {
                "out": str(self.out),
                "sockets": scenario.gateways.sockets,
                "memory_mb": scenario.gateways.memory_mb,
            },
        )
        await self.children_ready()
        for first in range(0, scenario.gateways.count, scenario.gateways.wave):
            wave = range(first, min(scenario.gateways.count, first + scenario.gateways.wave))
            for g in wave:
                self.start_gateway(g)
            await self.gateways_ready(wave)

    # ---- faults ----

    def strike(self, strike: Strike) -> None:
        fault = msgspec.to_builtins(strike.fault)
        order = {"number": strike.number, "fault": fault, "begins": strike.begins}
        self.book("fault", strike.number, strike.kind, strike.begins, strike.on, strike.from_, strike.to)
        what = targets(strike.kind)
        if what == "link":
            for name, child in self.children.items():
                if name.startswith("links"):
                    child.say(order | {"do": "link", "from": strike.from_, "to": strike.to})
        elif what == "g":
            for name in strike.on:
                self.strike_gateway(strike, name)
        elif what == "b":
            for name in strike.on:
                self.strike_backend(strike, name, order)
        else:
            self.children["front" if what == "clients" else what].say(
                order | {"do": "front" if what == "clients" else what}
            )

    def strike_gateway(self, strike: Strike, name: str) -> None:
        g, keeper = self.places.gateway_names.index(name), self.children["keeper"]
        match strike.kind, strike.begins:
            case ("kill", True):
                keeper.say({"do": "signal", "name": name, "signal": "SIGKILL", "ends": True})
            case ("term", True):
                keeper.say({"do": "signal", "name": name, "signal": "SIGTERM", "ends": True})
            case ("kill" | "term", False):
                self.generations[name] = self.generations.get(name, 0) + 1
                self.start_gateway(g, self.generations[name])
            case ("stop", begins):
                keeper.say({"do": "signal", "name": name, "signal": "SIGSTOP" if begins else "SIGCONT"})
            case ("reload", True):
                self.configure(g)
                keeper.say({"do": "signal", "name": name, "signal": "SIGHUP"})

    def strike_backend(self, strike: Strike, name: str, order: dict[str, Any]) -> None:
        backends, discovery = self.children["backends"], self.children["discovery"]
        now_ms, b = int(time.time() * 1000), self.places.backend_names.index(name)
        backends.say(order | {"do": "backend", "name": name, "new": name + "-new"})
        match strike.kind, strike.begins:
            case ("crash", True):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
            case ("crash", False):
                discovery.say({"do": "list", "name": name, "status": "active", "since_ms": now_ms})
            case ("drain" | "replace", True):
                discovery.say({"do": "list", "name": name, "status": "leaving", "since_ms": 0})
            case ("drain", False):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
            case ("replace", False):
                discovery.say({"do": "list", "name": name, "status": "left", "since_ms": 0})
                discovery.say({"do": "list", "name": name + "-new", "status": "active", "since_ms": now_ms, "place": b})

    def book(self, kind: str, *what: Any) -> None:
        at = (time.monotonic_ns() - self.started_ns) // 1000
        self.file.write(msgspec.json.encode((kind, at, *what)) + b"\n")
        self.file.flush()

    # ---- the run ----

    async def go(self) -> None:
        self.started_ns = time.monotonic_ns() + 200_000_000
        for child in self.children.values():
            child.say({"do": "go", "at_ns": self.started_ns})
        with (self.out / "ledger" / "run.jsonl").open("ab") as self.file:
            strikes = list(self.drawn.strikes)
            end = self.scenario.seconds
            while (now := (time.monotonic_ns() - self.started_ns) / 1e9) < end:
                while strikes and strikes[0].at_us / 1e6 <= now:
                    self.strike(strikes.pop(0))
                self.progress(max(0.0, now))
                if dead := [name for name, child in self.children.items() if child.ended.is_set()]:
                    raise CantRun(f"{dead[0]} ended during the run: see {self.out / 'logs' / dead[0]}.log")
                following = strikes[0].at_us / 1e6 if strikes else end
                await asyncio.sleep(max(0.001, min(0.1, following - now, end - now)))
            for strike in [s for s in strikes if not s.begins]:
                self.strike(strike)  # what is struck still is mended, so that all that is held can end
            front = self.children["front"]
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
        for name in order + [name for name in self.children if name not in order]:
            if name in self.children:
                await self.children[name].end()

    async def whole(self) -> Result:
        began, partial = time.monotonic(), ""
        self.fits()
        try:
            await self.start()
            await self.go()
        except asyncio.CancelledError:
            partial = "interrupted"
        finally:
            await asyncio.shield(self.end())
        return self.result(partial, time.monotonic() - began)

    def result(self, partial: str, seconds: float) -> Result:
        return judge(self.out, self.scenario, self.drawn, self.speeds, self.crashes, self.reasons, partial, seconds)


def speeds_of(scenario: Scenario) -> list[float]:
    """Of the backends, about 1."""
    spread = scenario.backends.speed_spread
    return [round(1 + spread * math.sin(7.1 * (b + 1)), 4) for b in range(scenario.backends.count)]


def judge(
    out: Path,
    scenario: Scenario,
    drawn: Drawn,
    speeds: list[float],
    crashes: list[str],
    reasons: list[str],
    partial: str,
    seconds: float,
) -> Result:
    """From the ledger alone: rules, figures, spread, and what the scenario's bounds say of them."""
    ledger = Ledger(read_rows(out / "ledger"), scenario, drawn)
    violations, figures = ledger.violations(), ledger.figures()
    figures["violations"] = len(violations)
    spreads = spreads_of(ledger, scenario, speeds)
    for one in (1, 3):
        own, best = spreads[f"gateways {one} s"], spreads[f"central {one} s"]
        figures |= {f"spread {one} s": own.most, f"central {one} s": best.most, f"idle {one} s": own.idle}
        figures[f"spread {one} s to central"] = round(own.most / best.most, 3) if best.most else 0.0
    failed = [f"{len(crashes)} gateways crashed"] if crashes else []
    over = {row[2] for row in ledger.crashes if row[3] == "over its limits"}
    failed += [f"{name} went over its limits" for name in sorted(over)]
    failed += [
        f"rule {rule} broken {n} times"
        for rule in ("lost", "twice", "drain", "cold", "ceiling")
        if (n := sum(v.rule == rule for v in violations))
    ]
    for bound in scenario.bound:
        value = figures.get(bound.figure)
        if value is None:
            failed.append(f"no figure is named {bound.figure!r}")
        elif bound.least is not None and value < bound.least:
            failed.append(f"{bound.figure} is {value:g}, under {bound.least:g}")
        elif bound.most is not None and value > bound.most:
            failed.append(f"{bound.figure} is {value:g}, over {bound.most:g}")
    void = ledger.void()
    verdict = "partial" if partial else "void" if void else "failed" if failed else "passed"
    reasons = [*([partial] if partial else []), *([void] if void else []), *failed, *reasons]
    result = Result(
        scenario.name,
        drawn.seed,
        drawn.digest(),
        verdict,
        reasons,
        figures,
        spreads,
        violations,
        crashes,
        round(seconds, 1),
    )
    (out / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    return result


def spreads_of(ledger: Ledger, scenario: Scenario, speeds: list[float]) -> dict[str, Spread]:
    places = {name: b for b, name in enumerate(scenario.backend_names())}
    end_us, step = int(scenario.seconds * 1e6), 250_000
    up = np.ones((end_us // step + 1, len(speeds)), dtype=bool)
    sick: dict[tuple[int, str], int] = {}
    for row in ledger.faults:
        if targets(row[3]) != "b":
            continue
        for name in row[5]:
            if row[4]:
                sick[row[2], name] = row[1]
                up[max(0, row[1] // step) :, places[name]] = False
            else:  # it is healthy, and known to be, some seconds later
                up[min(len(up), row[1] // step + int(4e6 / step)) :, places[name]] = True
    uses = []
    for rpc in ledger.rpcs.values():
        for at, backend in rpc.calls:
            end = next((e for e, b, _ in rpc.ends if b == backend and e >= at), at + 1000)
            if (b := places.get(backend.removesuffix("-new"))) is not None:
                uses.append(Use(at, end - at, b))
    spreads = {}
    for seconds in (1, 3):
        window = seconds * 1_000_000
        healthy = np.array(
            [up[w * window // step : (w + 1) * window // step].all(axis=0) for w in range(max(1, end_us // window))]
        )
        spreads[f"gateways {seconds} s"] = spread(uses, speeds, healthy, window, end_us)
        spreads[f"central {seconds} s"] = spread(central(uses, speeds, up, step), speeds, healthy, window, end_us)
    return spreads


def carry_out(scenario: Scenario, seed: int, out: Path, port: int, progress: Callable[[float], None]) -> Result:
    """Runs to its end, or to Ctrl-C or SIGTERM: then what there is is judged as partial. Raises CantRun."""
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
