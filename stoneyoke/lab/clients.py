"""Clients: what the plan has them ask for, with their later tries."""

import asyncio
import random
from collections import deque
from typing import Any

from stoneyoke.lab.http import Asking, open_to
from stoneyoke.lab.ledger_writer import LedgerWriter


class Front:
    """Clients: what the plan has them ask for, over connections that they keep, with their later tries."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.given, self.ledger = given, ledger
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
            wait = at_us - self.ledger.now()
            if wait > 0:
                await asyncio.sleep(wait / 1e6)
            if not self.open:
                return
            self.spawn(self.client(number, customer, method, gateway, wait_us))

    async def client(self, number: int, customer: int, method: int, gateway: int, wait_us: int, tries: int = 0) -> None:
        """One client's RPC with its later tries: its time runs from its first."""
        random_source = random.Random(f"{self.given['seed']} {number}")
        until, last = self.ledger.now() + wait_us, tries + 2
        while True:
            status, wait_s = await self.ask(
                f"{number:010x}{tries:02x}", number, customer, method, gateway, until, tries, random_source
            )
            tries += 1
            if status not in (429, 503, 0):
                return
            if tries > last or random_source.random() >= self.clients["retries"]:
                self.turned_away.append((number, customer, method, gateway, wait_us))
                return
            pause = self.clients["backoff_ms"] / 1000 * (0.5 + random_source.random())
            if random_source.random() < self.clients["honour"]:
                pause = min(wait_s, self.clients["longest_wait_ms"] / 1000)
            await asyncio.sleep(pause)
            if until - self.ledger.now() < 50_000:
                return
            first, width = self.given["customers"][customer][2:4]
            gateway = (first + random_source.randrange(width)) % len(self.names)

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
        random_source: random.Random,
    ) -> tuple[int, float]:
        gateway = self.up(gateway, customer)
        account, plan, first, width = self.given["customers"][customer]
        row, key = self.given["methods"][method], f"{number:012x}"
        deadline = (until - self.ledger.now()) / 1e6
        give_up = self.clients["give_up"] and random_source.random() < self.clients["give_up"]
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
                self.ledger.add("unmet", id_, number, customer, method, self.names[gateway], tries, type(bad).__name__)
                return 0, 0.0
            self.ledger.add("rpc", id_, number, customer, method, self.names[gateway], tries, until)
            try:
                status, headers, body = await link.ask(data, max(0.05, deadline * (0.5 if give_up else 1.0) + 0.5))
            except TimeoutError:
                self.ledger.add("ans", id_, -1, "gave up" if give_up else "no answer", 0.0)
                link.close()
                return -1, 0.0
            except ConnectionError:
                link.close()
                self.ledger.add("ans", id_, -2, "closed", 0.0)
                if kept and not fresh:
                    continue  # the close may have crossed the request: once more, on a new connection
                return -2, 0.0
            wait_s = float(headers.get(b"retry-after", b"0"))
            words = body.decode(errors="replace").split()
            self.ledger.add("ans", id_, status, " ".join(words[:2]), wait_s)
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
