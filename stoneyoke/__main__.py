"""python -m stoneyoke: one gateway on sockets, as NODE_CONFIG describes it, until SIGTERM."""

import asyncio
import gc
import json
import os
import signal
import socket
import sys
from typing import Any

from loguru import logger

from stoneyoke.net.backends import Backends
from stoneyoke.net.clients import Clients, Names
from stoneyoke.net.counter import Counter
from stoneyoke.net.discovery import Discovery, Fleet, News
from stoneyoke.net.http import Malformed
from stoneyoke.net.room import Room
from stoneyoke.runtime import Clock, Runtime
from stoneyoke.startup import BadStart, field, read_terms
from stoneyoke.tally import Tally

SWEEP_S = 1.0
WAITING = 1024  # connections that may wait to be accepted; the system cuts it down to what it allows
OWN_DESCRIPTORS = 24  # standard streams, the loop's own, the listener, the counter's and discovery's
LEAST_DESCRIPTORS = 80  # with fewer there is no use in starting


def address(table: Any, key: str) -> tuple[str, int]:
    text = field(table, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise BadStart(f"{key!r} is no address: {text!r}")
    return host, int(port)


def read_given() -> dict[str, Any]:
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise BadStart("NODE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            given = json.load(file)
    except (OSError, ValueError) as bad:
        raise BadStart(f"NODE_CONFIG: {path!r} can't be read: {bad}") from bad
    if not isinstance(given, dict):
        raise BadStart("NODE_CONFIG: not an object")
    return given


class Program:
    """The parts of a gateway, put together from its configuration."""

    def __init__(self, given: dict[str, Any]) -> None:
        settings = field(given, "settings", dict)
        try:
            seed = int(field(given, "seed", str), 16)
        except ValueError as bad:
            raise BadStart(f"'seed' is no hex number: {given['seed']!r}") from bad
        terms = read_terms(seed, settings)
        caps, rules, extra = settings["caps"], settings["rules"], settings["extra"]
        sockets = field(field(given, "limits", dict), "sockets", int, LEAST_DESCRIPTORS)
        # An eighth is kept spare, and an eighth is for connections accepted and not yet looked at: five turns
        # of the loop pass until one closed for room is gone, and each turn accepts as many as it is let.
        self.accepts = max(1, sockets // 8 // 5)
        room = Room(sockets - OWN_DESCRIPTORS - 2 * (sockets // 8), sockets // 8)
        names = Names([field(row, "name", str) for row in settings["classes"]],
                      [field(row, "name", str) for row in settings["tariffs"]], terms)
        self.listen = address(given, "listen")
        discovery = address(given, "discovery")
        self.clock, self.tally = Clock(), Tally()
        self.runtime = Runtime(terms, self.clock, self.tally)
        self.backends = Backends(
            self.clock, self.tally, field(caps, "dial-timeout-us", int, 1),
            field(caps, "conn-idle-us", int, 1), room)
        self.clients = Clients(
            self.clock, self.tally, self.runtime, self.backends, names, field(rules, "answer-slack-us", int),
            room)
        if terms.has_counter:
            counter = Counter(self.clock, self.tally, self.runtime, address(given, "counter"),
                              field(extra, "count-limit-us", int, 1))
            self.runtime.add_count = counter.add
        self.fleet = Fleet(field(settings, "zones", list), self.backends.place, self.backends.forget)
        self.discovery = Discovery(self.tally, discovery, self.told)
        try:
            self.known = News(field(given, "known", dict))
        except Malformed as bad:
            raise BadStart(f"'known': {bad}") from bad

    def told(self, news: News) -> None:
        self.runtime.listed(self.fleet.news(news))

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.loop_failed)
        self.told(self.known)
        self.tasks = [loop.create_task(self.discovery.run()), loop.create_task(self.sweep())]
        listener = socket.create_server(self.listen)
        self.server = await loop.create_server(self.clients.line, sock=listener, backlog=self.accepts)
        listener.listen(WAITING)  # the loop has set it to what it accepts in a turn; more may wait
        logger.info("gateway {} of {} listens on {}:{}", self.runtime.terms.own_index,
                    self.runtime.terms.gateways, *self.listen)

    async def finish(self) -> None:
        logger.info("ending: answers what is held")
        await self.clients.take_late()
        self.server.close()
        await self.clients.answer_held()
        for task in self.tasks:
            task.cancel()
        logger.info("counts: {}", self.tally.line())

    async def run(self) -> None:
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ended.set)
        loop.add_signal_handler(signal.SIGINT, ended.set)
        loop.add_signal_handler(signal.SIGUSR1, lambda: logger.info("counts: {}", self.tally.line()))
        await self.start()
        gc.collect()
        gc.freeze()  # what is there now stays: later collections needn't look at it
        await ended.wait()
        await self.finish()

    def loop_failed(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What nothing else caught: logged and counted, and the gateway goes on."""
        logger.opt(exception=context.get("exception")).error("event loop: {}", context.get("message"))
        self.tally.must(False, "event loop")

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.backends.sweep()
            self.clients.sweep()


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        program = Program(read_given())
    except BadStart as bad:
        print(f"stoneyoke: {bad}", file=sys.stderr)
        return 2
    try:
        asyncio.run(program.run())
    except OSError as bad:
        print(f"stoneyoke: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
