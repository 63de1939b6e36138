"""A stand-in of the counter service, in halves that can be split from each other."""

import asyncio
import random
import re
from typing import Any

from stoneyoke.lab.http import Request, Served
from stoneyoke.lab.ledger_writer import LedgerWriter

NUMBER = re.compile(rb"^/counters/([0-9a-zA-Z._-]{1,64})\?by=([-+0-9.eE]+)&expire_ms=([0-9]+)$").match


class Counter:
    """Adds by name, each part in turn, so many calls a second; what is wrong with it."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.ledger, self.given = ledger, given
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
            self.ledger.add("count", name.decode(), None)
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
        self.ledger.add("count", name.decode(), round(value + amount, 4))
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
                random_source = random.Random(order["number"])
                for name in [n for n in sorted(self.values[0]) if random_source.random() < fault["part"]]:
                    del self.values[0][name]
            case "empty":
                self.silent = begins
                self.values = [{}, {}]
            case "split":
                self.split, self.values[1] = begins, dict(self.values[0]) if begins else {}
        self.ledger.add("counter", fault["kind"], begins)

    async def end(self) -> None:
        for server in self.servers:
            server.close()
