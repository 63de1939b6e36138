"""Stand-ins for all that a gateway speaks with, from the protocol as it speaks it. Many live in a process."""

import asyncio
import math
import random
import re
import socket
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from stoneyoke.lab.http import Asking, Request, Served, open_to
from stoneyoke.lab.part import Book

NUMBER = re.compile(rb"^/counters/([0-9a-zA-Z._-]{1,64})\?by=([-+0-9.eE]+)&expire_ms=([0-9]+)$").match


class Backend:
    """A backend: slots, a queue, a cold start, and what is wrong with it now."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        speed: float,
        groups: dict[str, str],
        memories: dict[str, dict[bytes, float]],
        given: dict[str, Any],
        book: Book,
    ) -> None:
        self.name, self.address, self.speed, self.given, self.book = name, address, speed, given, book
        # Who drops a repeat together, by a method's kind of group
        self.groups, self.memories = groups, memories
        self.methods = {m["name"].encode(): m for m in given["methods"]}
        self.queue: deque[tuple[Request, bytes, float]] = deque()
        self.working, self.life = 0, 0
        self.open: set[Served] = set()
        self.started_at = -math.inf  # loop time of its start; cold for warm_up_s from then on
        self.server: asyncio.Server | None = None
        self.faults: dict[int, dict[str, Any]] = {}
        self.draining = False

    def fault(self, kind: str) -> dict[str, Any] | None:
        return next((fault for fault in self.faults.values() if fault["kind"] == kind), None)

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Served(self.take, self.opened, self.open.discard), *self.address, backlog=512
        )

    def opened(self, served: Served) -> bool:
        if len(self.open) >= self.given["connections"]:
            return False
        self.open.add(served)
        return True

    async def crash(self) -> None:
        self.life += 1
        if self.server:
            self.server.close()
        self.queue.clear()
        self.working = 0
        for served in list(self.open):
            served.abort()
        self.book.add("backend", self.name, "crashed")

    async def back(self, name: str = "") -> None:
        self.name = name or self.name
        self.draining, self.started_at = False, asyncio.get_running_loop().time()
        self.book.add("backend", self.name, "started")
        await self.listen()

    def warmth(self) -> float:
        age = (asyncio.get_running_loop().time() - self.started_at) / self.given["warm_up_s"]
        share = float(self.given["cold_share"])
        return 1.0 if age >= 1 else share + (1 - share) * age

    def take(self, request: Request) -> None:
        served, id_ = request.served, request.headers.get(b"req-id", b"").decode()
        assert served
        if request.target in (b"/healthz", b"/load"):
            served.answer(200, b'{"inflight":%d}' % (self.working + len(self.queue)))
            return
        if not id_:
            served.answer(404)
            return
        self.book.add("call", id_, self.name, id(served))
        if self.fault("black_hole"):
            self.close_call(request, "error", 500)
        elif self.draining or len(self.queue) >= self.given["queue"]:
            self.close_call(request, "turned away", 503, b"Srv-Declined: 1\r\n")
        else:
            wait = float(request.headers.get(b"req-deadline", b"1"))
            self.queue.append((request, id_.encode(), asyncio.get_running_loop().time() + wait))
            self.pump()

    def close_call(self, request: Request, what: str, status: int, more: bytes = b"", body: bytes = b"") -> None:
        assert request.served
        heard = request.served.answer(status, body, more)
        self.book.add("end", request.headers[b"req-id"].decode(), self.name, what if heard else "unheard " + what)

    def pump(self) -> None:
        loop = asyncio.get_running_loop()
        while self.queue and self.working < self.given["slots"]:
            request, id_, until = self.queue.popleft()
            if loop.time() >= until:
                self.close_call(request, "too late", 504, b"Srv-Declined: 1\r\n")
                continue
            method = self.methods.get(request.target.split(b"/")[1].split(b"?")[0])
            key = request.headers.get(b"idempotency-key", b"")
            memory = self.memories.setdefault(self.groups[method["group"] if method else "all"], {})
            again = bool(key and method and loop.time() - memory.get(key, -math.inf) < method["memory_ms"] / 1000)
            if not again:
                if key:
                    memory.pop(key, None)
                    memory[key] = loop.time()
                    while len(memory) > 10_000:  # the oldest first: longer than any memory
                        memory.pop(next(iter(memory)))
                self.book.add("ran", id_.decode(), self.name, key.decode())
            if self.fault("hang"):
                continue  # it has run, and nothing is ever said; the slot is not taken, as nobody waits in it
            chance = random.Random(f"{self.given['seed']} {id_!r} {self.name}")
            mean = (method["work_ms"] if method else 50.0) / 1000
            took = mean * chance.lognormvariate(-0.125, 0.5) / self.speed / self.warmth()
            for kind in ("slow", "age"):
                if fault := self.fault(kind):
                    part = 1.0 if kind == "slow" else min(1.0, (loop.time() - fault["since"]) / max(1, fault["for_s"]))
                    took *= 1 + (fault["factor"] - 1) * part
            self.working += 1
            loop.call_later(took, self.done, request, self.life)

    def done(self, request: Request, life: int) -> None:
        if life != self.life:
            return
        self.working -= 1
        lose = self.fault("lose_answers")
        if lose and random.Random(f"{self.given['seed']} {request.headers[b'req-id']!r}").random() < lose["part"]:
            assert request.served
            request.served.abort()
            self.book.add("end", request.headers[b"req-id"].decode(), self.name, "answer lost")
        else:
            load = b'Srv-Load: {"inflight":%d}\r\n' % (self.working + len(self.queue))
            self.close_call(request, "ok", 200, load, request.headers[b"req-id"] + b" " + self.name.encode())
        self.pump()


class Backends:
    def __init__(self, given: dict[str, Any], book: Book) -> None:
        self.book = book
        memories: dict[str, dict[bytes, float]] = {}
        self.all = {
            name: Backend(name, tuple(address), speed, groups, memories, given, book)
            for name, address, speed, groups in given["backends"]
        }

    async def start(self) -> None:
        for backend in self.all.values():
            await backend.listen()

    async def order(self, order: dict[str, Any]) -> None:
        backend = self.all.get(order.get("name", ""))
        if order["do"] != "backend" or backend is None:
            return
        kind, begins = order["fault"]["kind"], order["begins"]
        match kind:
            case "crash":
                await (backend.crash() if begins else backend.back())
            case "drain":
                if begins:
                    backend.draining = True
                else:
                    await backend.crash()
            case "replace":
                if begins:
                    backend.draining = True
                else:
                    await backend.crash()
                    await backend.back(order["new"])
            case _:
                if begins:
                    backend.faults[order["number"]] = order["fault"] | {"since": asyncio.get_running_loop().time()}
                else:
                    backend.faults.pop(order["number"], None)

    async def end(self) -> None:
        for backend in self.all.values():
            await backend.crash()


class Counter:
    """Adds by name, each part in turn, so many calls a second; what is wrong with it."""

    def __init__(self, given: dict[str, Any], book: Book) -> None:
        self.book, self.given = book, given
        self.values: list[dict[bytes, tuple[float, float]]] = [{}, {}]
        self.free = [0.0] * given["parts"]
        self.silent = self.split = False
        self.factor = 1.0
        self.open = False

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.servers = [
            await loop.create_server(
                lambda half=half: Served(lambda request: self.take(request, half)),  # type: ignore[misc]
                *address,
                backlog=1024,
            )
            for half, address in enumerate(self.given["addresses"])
        ]

    def take(self, request: Request, half: int) -> None:
        assert request.served
        found = NUMBER(request.target)
        if not found:
            request.served.answer(400)
            return
        if self.silent:
            return
        loop, name = asyncio.get_running_loop(), found[1]
        part = int.from_bytes(name[-4:], "big") % len(self.free)
        if not self.open or self.free[part] - loop.time() > self.given["line_ms"] / 1000:
            request.served.answer(503)
            self.book.add("count", name.decode(), None)
            return
        each = self.factor * len(self.free) / self.given["per_s"]
        self.free[part] = max(loop.time(), self.free[part]) + each
        loop.call_at(self.free[part], self.add, request, half, name, float(found[2]), int(found[3]) / 1000)

    def add(self, request: Request, half: int, name: bytes, amount: float, life_s: float) -> None:
        if self.silent:
            return
        now, values = asyncio.get_running_loop().time(), self.values[half if self.split else 0]
        value, dies = values.get(name, (0.0, 0.0))
        if dies <= now:
            value, dies = 0.0, now + min(60.0, life_s)
        values[name] = value + amount, dies
        self.book.add("count", name.decode(), round(value + amount, 4))
        assert request.served
        request.served.answer(200, b"%.6f" % (value + amount))

    def order(self, order: dict[str, Any]) -> None:
        if order["do"] == "go":
            self.open = True
        if order["do"] != "counter":
            return
        fault, begins = order["fault"], order["begins"]
        match fault["kind"]:
            case "silent":
                self.silent = begins
            case "crawl":
                self.factor = fault["factor"] if begins else 1.0
            case "wipe" if begins:
                chance = random.Random(order["number"])
                for name in [n for n in sorted(self.values[0]) if chance.random() < fault["part"]]:
                    del self.values[0][name]
            case "empty":
                self.silent = begins
                self.values = [{}, {}]
            case "split":
                self.split, self.values[1] = begins, dict(self.values[0]) if begins else {}
        self.book.add("counter", fault["kind"], begins)

    async def end(self) -> None:
        for server in self.servers:
            server.close()


class Discovery:
    """The list of backends, told to each gateway by an agent of its own, late by that one's delay."""

    def __init__(self, given: dict[str, Any], book: Book) -> None:
        self.given, self.book = given, book
        self.agents = [Agent(self, g, name, delay) for g, (name, _, delay) in enumerate(given["agents"])]
        self.changes: list[tuple[float, int, dict[str, Any]]] = []  # loop time, place in the list, entry
        self.places: dict[str, int] = {}
        for b, entry in enumerate(given["list"]):
            self.places[entry["name"]] = b
            self.changes.append((-math.inf, b, entry))
        self.down = self.reorder = False

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.servers = [
            await loop.create_server(lambda agent=agent: Served(agent.take), *address, backlog=16)  # type: ignore[misc]
            for agent, (_, address, _) in zip(self.agents, self.given["agents"], strict=True)
        ]

    def change(self, name: str, status: str, since_ms: int, place: int | None = None) -> None:
        if place is not None:
            self.places[name] = place
        entry = dict(self.given["list"][self.places[name]], name=name, status=status, since_ms=since_ms)
        self.changes.append((asyncio.get_running_loop().time(), self.places[name], entry))
        self.book.add("list", name, status)
        for agent in self.agents:
            agent.stir()

    def order(self, order: dict[str, Any]) -> None:
        if order["do"] == "list":
            self.change(order["name"], order["status"], order["since_ms"], order.get("place"))
        if order["do"] != "discovery":
            return
        fault, begins = order["fault"], order["begins"]
        if fault["kind"] == "down":
            self.down = begins
        elif fault["kind"] == "reorder":
            self.reorder = begins
        else:
            chance = random.Random(order["number"])
            for agent in self.agents:
                if chance.random() < fault["part"]:
                    agent.frozen_at = asyncio.get_running_loop().time() if begins else math.inf
        for agent in self.agents:
            agent.stir()

    async def end(self) -> None:
        for server in self.servers:
            server.close()


class Agent:
    """Discovery as one gateway sees it."""

    def __init__(self, discovery: Discovery, g: int, name: str, delay_s: float) -> None:
        self.discovery, self.g, self.name, self.delay_s = discovery, g, name, delay_s
        self.frozen_at = math.inf
        self.waiting: list[tuple[Request, int, float]] = []  # watches; emptied as they are answered
        self.odd = False

    def visible(self) -> int:
        """How many of the changes this gateway may know by now."""
        now = min(asyncio.get_running_loop().time(), self.frozen_at)
        return sum(at + self.delay_s <= now for at, _, _ in self.discovery.changes)

    def take(self, request: Request) -> None:
        url = urlsplit(request.target.decode())
        if url.path != "/v1/servers":
            assert request.served
            request.served.answer(404)
            return None
        asked = parse_qs(url.query)
        if "from" not in asked:
            return self.tell(request, None)
        loop = asyncio.get_running_loop()
        self.waiting.append((request, int(asked["from"][0]), loop.time() + int(asked["hold_ms"][0]) / 1000))
        loop.call_later(int(asked["hold_ms"][0]) / 1000 + 0.001, self.look)
        self.look()
        return None

    def stir(self) -> None:
        asyncio.get_running_loop().call_later(self.delay_s + 0.001, self.look)

    def look(self) -> None:
        now, known, still = asyncio.get_running_loop().time(), self.visible(), []
        for request, index, until in self.waiting:
            if known > index or now >= until:
                self.tell(request, index)
            else:
                still.append((request, index, until))
        self.waiting = still

    def tell(self, request: Request, since: int | None) -> None:
        assert request.served
        if self.discovery.down:
            return
        known = self.visible()
        self.odd = not self.odd
        if self.discovery.reorder and self.odd and known > 1:
            known, since = known - 1, None  # an older whole list behind a newer one
        rows = {entry["name"]: (place, entry) for _, place, entry in self.discovery.changes[since or 0 : known]}
        if since is None:
            rows = {name: row for name, row in rows.items() if row[1]["status"] != "left"}
        addresses = self.discovery.given["addresses"][self.g]
        entries = [entry | {"address": addresses[place]} for place, entry in rows.values()]
        body = msgspec.json.encode({"index": known, "snapshot": since is None, "endpoints": entries})
        if request.served.answer(200, body):
            self.discovery.book.add(
                "told",
                self.name,
                known,
                since is None,
                [(name, row[1]["status"]) for name, row in rows.items()],
            )


class Front:
    """Clients: what the plan has them ask for, over connections that they keep, with their later tries."""

    def __init__(self, given: dict[str, Any], book: Book) -> None:
        self.given, self.book = given, book
        self.clients = given["clients"]
        self.idle: dict[int, list[Asking]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        # Gateways that refused a connection, until when they are passed over
        self.down: dict[int, float] = {}
        self.names = given["gateways"]
        # Clients whose last try was pushed back: a return at once brings these all back together.
        self.turned_away: deque[tuple[int, int, int, int, int]] = deque(maxlen=500)
        self.open = True

    async def start(self) -> None:
        pass

    def order(self, order: dict[str, Any]) -> Any:
        if order["do"] == "go":
            self.spawn(self.send_all())
        if order["do"] == "front" and order["fault"]["kind"] == "return_at_once" and order["begins"]:
            for waiting in self.idle.values():
                while waiting:
                    waiting.pop().close()
            while self.turned_away:
                self.spawn(self.client(*self.turned_away.popleft(), 8))
        if order["do"] == "drain":
            self.open = False
            return self.drain()
        return None

    async def drain(self) -> dict[str, Any]:
        """Once all that was asked has ended."""
        while self.tasks:
            await asyncio.wait(self.tasks, timeout=0.2)
        return {"drained": True}

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_all(self) -> None:
        for at_us, number, customer, method, gateway, wait_us in self.given["arrivals"]:
            wait = at_us - self.book.now()
            if wait > 0:
                await asyncio.sleep(wait / 1e6)
            if not self.open:
                return
            self.spawn(self.client(number, customer, method, gateway, wait_us))

    async def client(self, number: int, customer: int, method: int, gateway: int, wait_us: int, tries: int = 0) -> None:
        """One client's RPC with its later tries: its time runs from its first."""
        chance = random.Random(f"{self.given['seed']} {number}")
        until, last = self.book.now() + wait_us, tries + 2
        while True:
            status, wait_s = await self.ask(
                f"{number:010x}{tries:02x}", number, customer, method, gateway, until, tries, chance
            )
            tries += 1
            if status not in (429, 503, 0):
                return
            if tries > last or chance.random() >= self.clients["retries"]:
                self.turned_away.append((number, customer, method, gateway, wait_us))
                return
            pause = self.clients["backoff_ms"] / 1000 * (0.5 + chance.random())
            if chance.random() < self.clients["honour"]:
                pause = min(wait_s, self.clients["longest_wait_ms"] / 1000)
            await asyncio.sleep(pause)
            if until - self.book.now() < 50_000:
                return
            first, width = self.given["customers"][customer][2:4]
            gateway = (first + chance.randrange(width)) % len(self.names)

    def up(self, gateway: int, customer: int) -> int:
        """The next gateway of the customer's set that is not known to be down."""
        first, width = self.given["customers"][customer][2:4]
        now = asyncio.get_running_loop().time()
        for step in range(width):
            there = int(first + (gateway - first + step) % width) % len(self.names)
            if self.down.get(there, 0.0) <= now:
                return there
        return gateway

    async def ask(
        self,
        id_: str,
        number: int,
        customer: int,
        method: int,
        gateway: int,
        until: int,
        tries: int,
        chance: random.Random,
    ) -> tuple[int, float]:
        gateway = self.up(gateway, customer)
        account, plan, first, width = self.given["customers"][customer]
        row, key = self.given["methods"][method], f"{number:012x}"
        deadline = (until - self.book.now()) / 1e6
        give_up = self.clients["give_up"] and chance.random() < self.clients["give_up"]
        safe = row["effect"] == "idempotent"
        head = (
            f"{'GET' if safe else 'POST'} /{row['name']}/x HTTP/1.1\r\nHost: lab\r\nReq-Id: {id_}\r\n"
            f"Req-Kind: {row['name']}\r\n"
            f"X-Plan: {self.given['plans'][plan]}\r\nX-Customer: {account:016x}\r\n"
            f"Req-Deadline: {deadline:.3f}\r\n"
            f"X-Quota: units={row['units']:g},spread={width},first={first}\r\n"
        )
        if not safe:
            head += f"Idempotency-Key: {key}\r\nContent-Length: 0\r\n"
        if self.clients["marks"] and tries:
            head += "Req-Retry: 1\r\n"
        data = head.encode() + b"\r\n"
        for fresh in (False, True):
            try:
                link, kept = await self.connection(gateway, fresh, deadline)
            except OSError as bad:
                if isinstance(bad, ConnectionRefusedError):
                    self.down[gateway] = asyncio.get_running_loop().time() + 1.0
                self.book.add("unmet", id_, number, customer, method, self.names[gateway], tries, type(bad).__name__)
                return 0, 0.0
            self.book.add("rpc", id_, number, customer, method, self.names[gateway], tries, until)
            try:
                status, headers, body = await link.ask(data, max(0.05, deadline * (0.5 if give_up else 1.0) + 0.5))
            except TimeoutError:
                self.book.add("ans", id_, -1, "gave up" if give_up else "no answer", 0.0)
                link.close()
                return -1, 0.0
            except ConnectionError:
                link.close()
                self.book.add("ans", id_, -2, "closed", 0.0)
                if kept and not fresh:
                    continue  # the close may have crossed the request: once more, on a new connection
                return -2, 0.0
            wait_s = float(headers.get(b"retry-after", b"0"))
            words = body.decode(errors="replace").split()
            self.book.add("ans", id_, status, " ".join(words[:2]), wait_s)
            if not link.closed:
                self.idle.setdefault(gateway, []).append(link)
            return status, wait_s
        return -2, 0.0

    async def connection(self, gateway: int, fresh: bool, deadline: float) -> tuple[Asking, bool]:
        waiting = self.idle.setdefault(gateway, [])
        while waiting and not fresh:
            link = waiting.pop()
            if not link.closed:
                return link, True
        return await open_to(tuple(self.given["entries"][gateway]), max(0.05, min(1.0, deadline))), False

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for waiting in self.idle.values():
            for link in waiting:
                link.close()


def can_listen(address: tuple[str, int]) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            return False
    return True
