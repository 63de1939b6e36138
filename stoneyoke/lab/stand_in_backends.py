"""Stand-ins of backends, from the protocol as it speaks it. Many live in a process."""

import asyncio
import math
import random
from collections import deque
from typing import Any

from stoneyoke.lab.http import Request, Served
from stoneyoke.lab.ledger_writer import LedgerWriter


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
        ledger: LedgerWriter,
    ) -> None:
        self.name, self.address, self.speed, self.given, self.ledger = name, address, speed, given, ledger
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
        self.ledger.add("backend", self.name, "crashed")

    async def back(self, name: str = "") -> None:
        self.name = name or self.name
        self.draining, self.started_at = False, asyncio.get_running_loop().time()
        self.ledger.add("backend", self.name, "started")
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
        self.ledger.add("call", id_, self.name, id(served))
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
        self.ledger.add("end", request.headers[b"req-id"].decode(), self.name, what if heard else "unheard " + what)

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
                self.ledger.add("ran", id_.decode(), self.name, key.decode())
            if self.fault("hang"):
                continue  # it has run, and nothing is ever said; the slot is not taken, as nobody waits in it
            random_source = random.Random(f"{self.given['seed']} {id_!r} {self.name}")
            mean = (method["work_ms"] if method else 50.0) / 1000
            took = mean * random_source.lognormvariate(-0.125, 0.5) / self.speed / self.warmth()
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
            self.ledger.add("end", request.headers[b"req-id"].decode(), self.name, "answer lost")
        else:
            load = b'Srv-Load: {"inflight":%d}\r\n' % (self.working + len(self.queue))
            self.close_call(request, "ok", 200, load, request.headers[b"req-id"] + b" " + self.name.encode())
        self.pump()


class Backends:
    """The role that holds all backends, and strikes them as it is told."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.ledger = ledger
        memories: dict[str, dict[bytes, float]] = {}
        self.all = {
            name: Backend(name, tuple(address), speed, groups, memories, given, ledger)
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
