"""Watches discovery and tells of each change at once. Silence, or nonsense, leaves the list as it was."""

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any

from loguru import logger

from stoneyoke.control.events import Endpoint, EndpointsChanged, KnownBackend
from stoneyoke.control.parameters import BackendState
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, MessageReader
from stoneyoke.net.message_writer import write_message
from stoneyoke.net.stream import connect
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.runtime.metrics import Metrics

# A watch's wait: all counts as told 2 s after its end (protocol page). A connection that has fallen silent
# tells nothing for as long as this and ANSWER_S, by which an answer may be later; so both are short.
HOLD_MS = 1_000
ANSWER_S = 0.5
# A new life knows the list it was started with, while drains may have been told since: RPCs wait for the
# first
# answer, this long at most. (herd+mass: starved gateways sent by that list 0.56 s and more after their
# start.)
FIRST_S = 0.4
AGAIN_S = 0.1  # pause after a failure: inside the 200 ms within which the protocol page lets a watch go on
LIST_TOP = 16 * BODY_MAX_BYTES  # of a list of thousands; the protocol page's 64 KiB hold some 400 entries
HOST = re.compile(r"[0-9A-Za-z._:-]{1,253}").fullmatch  # what a name or number can be made of
STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}


class EndpointEntry:
    """One line of the list, as discovery has it."""

    def __init__(self, row: Any) -> None:
        try:
            self.name, self.state = str(row["name"]), STATES[row["status"]]
            host, port = str(row.get("address") or ":0").rsplit(":", 1)
            self.address = (host.strip("[]"), int(port))
            named = HOST(self.address[0]) and 0 < self.address[1] < 65_536
            self.zone, self.cell = str(row.get("zone", "")), max(0, int(row.get("group", 0)))
            self.started_us = max(0, int(row.get("since_ms", 0))) * 1000
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
            raise MalformedMessage(f"an entry that can't be used: {row!r}") from bad
        if self.state is not BackendState.GONE and not named:
            raise MalformedMessage(f"an entry without an address of use: {row!r}")


class EndpointUpdate:
    """What one answer of discovery tells. An entry that can't be used is left out; what is not in a list with
    such an entry may well be there, so that list is taken as changes."""

    def __init__(self, top: Any) -> None:
        self.entries: list[EndpointEntry] = []
        self.left_out = ""  # why the last entry left out was
        try:
            self.index, self.whole = int(top["index"]), bool(top["snapshot"])
            rows = list(top["endpoints"])
        except (KeyError, TypeError, ValueError, OverflowError) as bad:
            raise MalformedMessage(f"not a list of backends: {str(top)[:80]}") from bad
        for row in rows:
            try:
                self.entries.append(EndpointEntry(row))
            except MalformedMessage as bad:
                self.whole, self.left_out = False, str(bad)


class Discovery:
    """Watches one address; after a move the old one too, until the new one has told its list."""

    def __init__(self, metrics: Metrics, told: Callable[[EndpointUpdate], None]) -> None:
        self.metrics, self.told = metrics, told
        self.heard = True  # the last call was answered
        self.spoke = asyncio.Event()  # set by the first answer, or by its failure
        self.watches: list[asyncio.Task[None]] = []  # the newest last; emptied from the front by answered()

    def follow(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        self.watches.append(loop.create_task(self.run(address)))
        loop.call_later(FIRST_S, self.spoke.set)

    def stop(self) -> None:
        while self.watches:
            self.watches.pop().cancel()

    def answered(self) -> None:
        """Whoever answers replaces all watches that are older."""
        while self.watches and self.watches[0] is not asyncio.current_task():
            self.watches.pop(0).cancel()

    async def run(self, address: tuple[str, int]) -> None:
        """Watches for ever: a failed connection is made anew and begins with the whole list."""
        while True:
            try:
                await self.watch(address)
            except OSError as bad:
                if self.heard:  # one line an outage
                    self.metrics.report("discovery: no answer", f"{type(bad).__name__} {bad}")
                else:
                    self.metrics.add("discovery: no answer")
                self.heard = False
            except MalformedMessage as bad:
                self.metrics.report("discovery: malformed answers", str(bad))
            except Exception:  # a fault here must not end the watch
                logger.exception("discovery failed")
                self.metrics.check_invariant(False, "discovery failed")
            self.spoke.set()
            await asyncio.sleep(AGAIN_S)

    async def watch(self, address: tuple[str, int]) -> None:
        line, writer = await connect(address, ANSWER_S)
        answers = MessageReader(line.reader, responses=True, body_max_bytes=LIST_TOP)
        host = b"Host: %s:%d\r\n" % (address[0].encode(), address[1])
        try:
            target, limit = b"/v1/servers", ANSWER_S
            while True:
                write_message(writer, [b"GET %s HTTP/1.1\r\n" % target, host], b"")
                async with asyncio.timeout(limit):
                    answer = await answers.next()
                if answer is None:
                    return
                if answer.status != 200:
                    raise MalformedMessage(f"answered with {answer.status}")
                try:
                    news = EndpointUpdate(json.loads(answer.body))
                except ValueError as bad:
                    raise MalformedMessage("an answer that is no JSON") from bad
                self.metrics.add("discovery: answers")
                if news.left_out:
                    self.metrics.report("discovery: entries left out", news.left_out)
                self.heard = True
                self.answered()
                self.told(news)
                self.spoke.set()
                if not answer.keep_alive:
                    return
                target = b"/v1/servers?from=%d&hold_ms=%d" % (news.index, HOLD_MS)
                limit = HOLD_MS / 1000 + ANSWER_S
        finally:
            writer.transport.abort()


class EndpointTable:
    """Turns discovery's names into the module's indices and keeps the addresses in step."""

    def __init__(
        self,
        zones: list[str],
        place: Callable[[int, tuple[str, int]], None],
        forget: Callable[[int], None],
        known: Callable[[int], bool],
    ) -> None:
        self.zones, self.place, self.forget, self.known = zones, place, forget, known
        self.door = IdIndex[str]()  # emptied by sweep()
        self.where: dict[str, tuple[str, int]] = {}  # emptied, as is the next, by lose()
        self.holders: dict[tuple[str, int], EndpointEntry] = {}  # who is reached there

    def news(self, news: EndpointUpdate) -> EndpointsChanged:
        listed: dict[str, Endpoint] = {}
        if news.whole:
            for name in self.where.keys() - {entry.name for entry in news.entries}:
                self.lose(name)
        for entry in news.entries:
            # One address, one backend: whoever started there last, and a ready one before one that leaves.
            if (
                entry.state is not BackendState.GONE
                and (holder := self.holders.get(entry.address))
                and (holder.name != entry.name)
            ):
                if (entry.state is not BackendState.READY, -entry.started_us) > (
                    holder.state is not BackendState.READY,
                    -holder.started_us,
                ):
                    entry.state = BackendState.GONE
                else:
                    holder.state = BackendState.GONE
                    listed[holder.name] = self.listed(holder)
            if entry.state is BackendState.GONE:
                if entry.name in self.door.index_by_id:
                    listed[entry.name] = self.listed(entry)
                continue
            if self.where.get(entry.name) != entry.address:
                self.lose(entry.name)
            self.where[entry.name], self.holders[entry.address] = entry.address, entry
            self.place(self.door.acquire(entry.name), entry.address)
            listed[entry.name] = self.listed(entry)
        return EndpointsChanged(news.whole, False, list(listed.values()))

    def listed(self, entry: EndpointEntry) -> Endpoint:
        if entry.state is BackendState.GONE:
            self.lose(entry.name)
        zone = self.zones.index(entry.zone) if entry.zone in self.zones else len(self.zones)
        return Endpoint(self.door.index_by_id[entry.name], zone, entry.cell, entry.started_us, entry.state)

    def takes(self, backend: int) -> bool:
        """Whether a backend takes new work, as discovery told last."""
        address = self.where.get(self.door.id_by_index[backend])
        return address is not None and self.holders[address].state is BackendState.READY

    def ready(self) -> list[KnownBackend]:
        """All backends that take new work, as discovery told of them."""
        return [
            KnownBackend(self.door.index_by_id[entry.name], entry.name, entry.zone, entry.started_us)
            for entry in self.holders.values()
            if entry.state is BackendState.READY
        ]

    def lose(self, name: str) -> None:
        if address := self.where.pop(name, None):
            del self.holders[address]
            self.forget(self.door.index_by_id[name])

    def sweep(self) -> None:
        """The index of a backend that is gone may pass on once the module has dropped it."""
        for name, backend in list(self.door.index_by_id.items()):
            if name not in self.where and not self.known(backend):
                self.door.release(backend)
