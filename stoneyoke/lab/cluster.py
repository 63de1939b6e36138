"""The whole system on one machine: real controllers and gateways on loopback, between stand-in backends, a client and
an operator, with processes killed between them and a ledger that judges what was seen on the sockets.

    python -m stoneyoke.lab.cluster                  # brings it up and leaves it up until Ctrl-C
    python -m stoneyoke.lab.cluster --seconds 12     # a trial: traffic, a new configuration, two processes killed
"""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from absl import app, flags

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader
from stoneyoke.net.message_writer import status_line, write_message

SECONDS = flags.DEFINE_float("seconds", 0.0, "Length of a trial; 0: up until Ctrl-C, without traffic or faults.")
GATEWAYS = flags.DEFINE_integer("gateways", 2, "Gateways.", lower_bound=1)
flags.DEFINE_alias("pilots", "gateways")  # the name until December 2026
RATE = flags.DEFINE_float("rate", 40.0, "Requests a second in a trial.", lower_bound=0.1, upper_bound=500)
SEED = flags.DEFINE_integer("seed", 1, "Of the trial's chance.")
PORT = 7340
SERVICES = ("tide-view", "switch-yard")
WORK_S = 0.03
BEAT_S = 0.5
DOWN_S = 1.5
BOUNDS = "drain_s = 2.5\ngrace_s = 4.0\nretry_slack = 50.0\n"


def chart(number: int) -> dict[str, object]:
    """The example configuration: reads and orders, one tenant; from r2 on another route."""

    def route(label: str, prefix: str, kind: str, service: str) -> dict[str, object]:
        return {
            "label": label,
            "path_prefix": prefix,
            "route_kind": kind,
            "timeout_s": 2,
            "target_s": 0.3,
            "rank": 1,
            "target_service": service,
            "max_tries": 3,
            "is_public": False,
        }

    routes = [route("reads", "/usage/", "pure", SERVICES[0]), route("orders", "/switch/", "effectful", SERVICES[1])]
    if number > 1:
        routes.append(route("later", "/later/", "pure", SERVICES[0]))
    return {
        "generation": f"r{number}",
        "service_list": [{"label": name} for name in SERVICES],
        "tenant_list": [{"label": "bureau", "api_keys": ["bureau-key"], "rate_per_s": 200, "burst_size": 200}],
        "host_map": [{"hostname": "meter.example", "path_map": routes}],
    }


@dataclass
class Ledger:
    """What clients and backends saw. runs: how often each request's id ran at a backend."""

    runs: Counter[str] = field(default_factory=Counter)
    orders: set[str] = field(default_factory=set)
    answers: dict[str, int] = field(default_factory=dict)  # 0: a connection that ended
    wrong: list[str] = field(default_factory=list)

    def judge(self) -> list[str]:
        """Each rule that was broken, with the request."""
        found = list(self.wrong)
        for mark, status in self.answers.items():
            if mark in self.orders and self.runs[mark] > 1:
                found.append(f"TWICE: {mark} ran {self.runs[mark]} times")
            if mark in self.orders and self.runs[mark] and status in (408, 421, 429, 503):
                found.append(f"REFUSED: {mark} ran and was answered {status}")
            if status == 200 and not self.runs[mark]:
                found.append(f"MIXED: {mark} was answered 200 and never ran")
        found += [f"UNASKED: {mark} ran and was sent by no client" for mark in self.runs if mark not in self.answers]
        return found


async def ask(address: tuple[str, int], head: bytes, body: bytes = b"", within_s: float = 3.0) -> Message | None:
    """One request on a connection of its own; None where no whole answer came."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                return await MessageReader(reader, responses=True, body_max_bytes=1 << 24).next()
            finally:
                writer.transport.abort()
    except (OSError, MalformedMessage):
        return None


class Backend:
    """A stand-in: beats, works for a while, stamps. Each answer names the request's id."""

    def __init__(self, service: str, number: int, ledger: Ledger, cluster: "Cluster") -> None:
        self.service, self.ledger, self.controllers = service, ledger, cluster.control()
        self.instance, self.ip, self.seq = f"i-{service}-{number}", f"127.{cluster.block}.3.{number}", 0

    async def run(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)
        while True:
            self.seq += 1
            body = json.dumps(
                {
                    "address": f"{self.ip}:8080",
                    "details": {"target_service": self.service, "generation": "v1", "zone_name": "quay", "capacity": 4},
                    "observed": {"phase": "ready", "call_seq": self.seq, "warmup_left_s": 0},
                }
            ).encode()
            head = b"POST /instances/%s/heartbeat HTTP/1.1\r\nHost: control\r\n" % self.instance.encode()
            for core in random.sample(self.controllers, len(self.controllers)):
                answer = await ask(core, head, body, 1.0)
                if answer and answer.status == 200:
                    break
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        messages = MessageReader(reader, responses=False)
        try:
            while message := await messages.next():
                mark = message.headers.get(b"attempt-id", b"").decode()
                status, more = 200, b"Server-Stamp: %s.%s\r\n" % (self.instance.encode(), mark.encode())
                if message.headers.get(b"expect-instance", b"").decode() != self.instance:
                    status, more = 421, b"Instance-Id: %s\r\n" % self.instance.encode()
                else:
                    self.ledger.runs[mark] += 1
                    if message.headers.get(b"tenant") != b"bureau" or b"api-key" in message.headers:
                        self.ledger.wrong.append(f"UNASKED: {mark} came with the wrong tenant or with its key")
                    await asyncio.sleep(WORK_S)
                head = b"Attempt-Id: %s\r\n%sContent-Length: 3\r\n" % (mark.encode(), more)
                write_message(writer, [status_line(status), head], b"ok\n")
        except (OSError, MalformedMessage):
            pass
        finally:
            writer.close()


class Cluster:
    """Processes by name, each with a settings file and, for controllers, a folder."""

    def __init__(self, folder: Path, gateways: int, block: int = 0) -> None:
        self.folder, self.block = folder, block
        self.controllers = {f"core-{at}": f"127.{block}.1.{at}" for at in (1, 2, 3)}
        self.gateways = {f"edge-{at}": f"127.{block}.2.{at}" for at in range(1, gateways + 1)}
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.started: set[str] = set()

    def control(self) -> list[tuple[str, int]]:
        return [(ip, 8783) for ip in self.controllers.values()]

    def settings(self, name: str) -> Path:
        core, ip = name in self.controllers, (self.controllers | self.gateways)[name]
        binds = f'control_addr = "{ip}:8783"' if core else f'front_addr = "{ip}:8782"\nready_addr = "{ip}:8789"'
        disk = f'data_dir = "{self.folder / name}"\n' if core else ""
        seeds = ", ".join(f'"{one}:8783"' for one in self.controllers.values())
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[self]\nnode_name = "{name}"\nip_addr = "{ip}"\nzone_name = "quay"\n'
            f"first_start = {str(name not in self.started).lower()}\n{disk}"
            f"[network]\nport_range = [{PORT}, {PORT + 8}]\nseed_addrs = [{seeds}]\n[network.binds]\n{binds}\n"
            f'[network.zones]\nquay = "coast"\n[provider]\nbeat_s = {BEAT_S}\n[term_set.bound_set]\n{BOUNDS}'
        )
        return path

    async def start(self, name: str) -> None:
        program = "controller" if name in self.controllers else "gateway"
        self.running[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", f"stoneyoke.programs.{program}", f"--settings={self.settings(name)}"
        )
        self.started.add(name)

    async def kill(self, name: str, how: signal.Signals = signal.SIGKILL) -> None:
        """Only what was started here is ended."""
        process = self.running.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(how)
        await process.wait()

    async def close(self) -> None:
        await asyncio.gather(*(self.kill(name, signal.SIGKILL) for name in list(self.running)))

    async def put(self, number: int) -> None:
        body = json.dumps(chart(number)).encode()
        for core in itertools.cycle(self.control()):
            answer = await ask(core, b"POST /config/replace HTTP/1.1\r\nHost: control\r\n", body)
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.1)

    async def ready(self, name: str) -> None:
        while True:
            answer = await ask((self.gateways[name], 8789), b"GET /ready HTTP/1.1\r\nHost: x\r\n", within_s=1.0)
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.05)


class Client:
    """Sends requests to gateways by chance; tries again as PROTOCOL says, each try with an id of its own."""

    def __init__(self, cluster: Cluster, ledger: Ledger, random_source: random.Random) -> None:
        self.cluster, self.ledger, self.random_source = cluster, ledger, random_source
        self.marks = itertools.count(1)
        self.served = self.given_up = 0

    async def one(self, order: bool, path: bytes) -> None:
        for _ in range(5):
            mark = f"a{next(self.marks)}"
            self.ledger.answers[mark] = 0
            if order:
                self.ledger.orders.add(mark)
            head = (
                b"%s %s HTTP/1.1\r\nHost: meter.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\n"
                b"Api-Key: bureau-key\r\n" % (b"POST" if order else b"GET", path, mark.encode())
            )
            ip = self.random_source.choice(list(self.cluster.gateways.values()))
            answer = await ask((ip, 8782), head, b"order" if order else b"")
            status = self.ledger.answers[mark] = answer.status if answer else 0
            if status == 200 and answer:
                if answer.headers.get(b"attempt-id") != mark.encode() or not answer.headers.get(b"server-stamp"):
                    self.ledger.wrong.append(f"MIXED: {mark} got an answer without its id or stamp")
                self.served += 1
                return
            if order and status not in (408, 421, 429, 503):
                break
            await asyncio.sleep(0.2)
        self.given_up += 1

    async def press(self, seconds: float, rate: float) -> None:
        """Traffic of so many requests a second, a fifth of them orders."""
        loop = asyncio.get_running_loop()
        until, out = loop.time() + seconds, set[asyncio.Task[None]]()
        while loop.time() < until:
            order = self.random_source.random() < 0.2
            task = loop.create_task(self.one(order, b"/switch/x" if order else b"/usage/x"))
            out.add(task)
            task.add_done_callback(out.discard)
            await asyncio.sleep(self.random_source.expovariate(rate))
        await asyncio.gather(*out)


async def bring_up(cluster: Cluster, ledger: Ledger) -> list[asyncio.Task[None]]:
    """Starts backends, controllers and gateways, and puts the first configuration."""
    for name in (*cluster.controllers, *cluster.gateways):
        await cluster.start(name)
    stand_ins = [Backend(SERVICES[at % 2], at + 1, ledger, cluster) for at in range(4)]
    tasks = [asyncio.create_task(one.run()) for one in stand_ins]
    await cluster.put(1)
    await asyncio.gather(*(cluster.ready(name) for name in cluster.gateways))
    return tasks


async def trial(seconds: float, gateways: int, rate: float, seed: int, block: int = 0) -> tuple[Ledger, Client]:
    """Traffic; then a new configuration; a core killed; a gateway killed; each comes back.

    block: the second part of all addresses, so that trials beside each other don't meet.
    """
    ledger, random_source = Ledger(), random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), gateways, block)
        client = Client(cluster, ledger, random_source)
        tasks: list[asyncio.Task[None]] = []
        try:
            tasks = await bring_up(cluster, ledger)
            traffic = asyncio.create_task(client.press(seconds, rate))
            await asyncio.sleep(seconds / 5)
            await cluster.put(2)
            for name in (random_source.choice(list(cluster.controllers)), random_source.choice(list(cluster.gateways))):
                await asyncio.sleep(seconds / 10)
                await cluster.kill(name)
                await asyncio.sleep(min(DOWN_S, seconds / 10))
                await cluster.start(name)
            await traffic
            answer = await ask(cluster.control()[0], b"GET /config/read HTTP/1.1\r\nHost: control\r\n")
            if answer is None or json.loads(answer.body or b"{}").get("generation") != "r2":
                ledger.wrong.append("CONFIG: what was acknowledged was not read back")
        finally:
            for task in tasks:
                task.cancel()
            await cluster.close()
    return ledger, client


async def stay(gateways: int) -> None:
    """Runs the whole system until Ctrl-C."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), gateways)
        try:
            tasks = await bring_up(cluster, Ledger())
            print("up:", ", ".join(f"{name} at {ip}" for name, ip in (cluster.controllers | cluster.gateways).items()))
            print("processes:", ", ".join(f"{name} {one.pid}" for name, one in cluster.running.items()))
            print(
                "  curl -H 'Host: meter.example' -H 'Api-Key: bureau-key' -H 'Attempt-Id: 1' http://127.0.2.1:8782/usage/x"
            )
            print("  python -m stoneyoke.programs.stoneyokectl --core 127.0.1.1:8783,127.0.1.2:8783 look")
            await asyncio.gather(*tasks)
        finally:
            await cluster.close()


def run(_: list[str]) -> None:
    """What absl calls with the command line's words."""
    if not SECONDS.value:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(stay(GATEWAYS.value))
        return
    ledger, client = asyncio.run(trial(SECONDS.value, GATEWAYS.value, RATE.value, SEED.value))
    broken = ledger.judge()
    print(
        f"{client.served} requests served, {client.given_up} given up, {len(ledger.answers)} tries, "
        f"{sum(ledger.runs.values())} runs at backends; {len(broken)} rules broken"
    )
    for line in broken[:20]:
        print(line)
    sys.exit(1 if broken or not client.served else 0)


def main() -> None:
    """The entry point of `python -m stoneyoke.lab.cluster`."""
    app.run(run)


if __name__ == "__main__":
    main()
