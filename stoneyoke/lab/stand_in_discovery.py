"""A stand-in of discovery: a list of backends, and what each gateway is told of it when."""

import asyncio
import math
import random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from stoneyoke.lab.http import Request, Served
from stoneyoke.lab.ledger_writer import LedgerWriter


class Discovery:
    """The list of backends, told to each gateway by an agent of its own, late by that one's delay."""

    def __init__(self, given: dict[str, Any], ledger: LedgerWriter) -> None:
        self.given, self.ledger = given, ledger
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
        self.ledger.add("list", name, status)
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
            random_source = random.Random(order["number"])
            for agent in self.agents:
                if random_source.random() < fault["part"]:
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
            return
        asked = parse_qs(url.query)
        if "from" not in asked:
            self.tell(request, None)
            return
        loop = asyncio.get_running_loop()
        self.waiting.append((request, int(asked["from"][0]), loop.time() + int(asked["hold_ms"][0]) / 1000))
        loop.call_later(int(asked["hold_ms"][0]) / 1000 + 0.001, self.look)
        self.look()
        return

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
            self.discovery.ledger.add(
                "told",
                self.name,
                known,
                since is None,
                [(name, row[1]["status"]) for name, row in rows.items()],
            )
