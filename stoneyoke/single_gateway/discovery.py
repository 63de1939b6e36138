"""Watches the discovery service. Silence, or a malformed response, leaves the endpoint list as it was."""

import asyncio
import json
from collections.abc import Callable

from loguru import logger

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import BODY_MAX_BYTES, Message, MessageReader
from stoneyoke.net.message_writer import write_message
from stoneyoke.net.stream import connect
from stoneyoke.runtime.metrics import Metrics
from stoneyoke.single_gateway.endpoints import EndpointUpdate, read_endpoint_update

# How long a query waits for a change. By the protocol page, every gateway counts as notified 2 s after a change. A
# connection that has fallen silent is noticed after this long and RESPONSE_TIMEOUT_S, so both are short.
LONG_POLL_MS = 1_000
RESPONSE_TIMEOUT_S = 0.5  # beyond the wait that the query asks for
# A process that has just started knows the list that it was started with, and backends may have begun to drain since.
# Requests wait for the first response, this long at most. (herd+mass: starved gateways forwarded by that list 0.56 s
# and more after their start.)
FIRST_RESPONSE_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1  # pause after a failure: inside the 200 ms within which the protocol page lets a watch go on
LIST_MAX_BYTES = 16 * BODY_MAX_BYTES  # a list of thousands; the protocol page's 64 KiB hold some 400 endpoints
SNAPSHOT_TARGET = b"/v1/servers"
HTTP_OK = 200


class Discovery:
    """Watches the discovery service at one address; after a move at the former one too, until the new one responds.

    Attributes:
        on_update: Called with each update.
        last_query_answered: The latest query was answered. An outage is logged once, as it begins.
        first_response: Set by the first response or failure, or when the wait for it is over.
        watches: One task for each address, the newest last.
    """

    def __init__(self, metrics: Metrics, on_update: Callable[[EndpointUpdate], None]) -> None:
        """Watches nothing yet."""
        self.metrics, self.on_update = metrics, on_update
        self.last_query_answered = True
        self.first_response = asyncio.Event()
        self.watches: list[asyncio.Task[None]] = []

    def watch_address(self, address: tuple[str, int]) -> None:
        """Watches an address from now on. Older watches go on until this one has responded."""
        loop = asyncio.get_running_loop()
        self.watches.append(loop.create_task(self.watch(address)))
        loop.call_later(FIRST_RESPONSE_TIMEOUT_S, self.first_response.set)

    def stop(self) -> None:
        """Ends all watches."""
        while self.watches:
            self.watches.pop().cancel()

    def stop_older_watches(self) -> None:
        """Ends the watches that are older than the one that runs now: its address has responded."""
        while self.watches and self.watches[0] is not asyncio.current_task():
            self.watches.pop(0).cancel()

    async def watch(self, address: tuple[str, int]) -> None:
        """Watches for ever. After a failure a new connection begins with the whole list."""
        while True:
            try:
                await self.watch_over_connection(address)
            except OSError as error:
                self.report_outage(error)
            except MalformedMessage as error:
                self.metrics.report("discovery: malformed responses", str(error))
            except Exception:  # outermost guard: a fault here must not end the watch
                logger.exception("Applying an endpoint update failed; the list stays, and discovery is asked again.")
                self.metrics.check_invariant(False, "discovery failed")
            self.first_response.set()
            await asyncio.sleep(RETRY_DELAY_S)

    def report_outage(self, error: OSError) -> None:
        """Counts a query without response; logs the first one of an outage."""
        if self.last_query_answered:
            self.metrics.report("discovery: no response", f"{type(error).__name__} {error}; the endpoint list stays")
        else:
            self.metrics.add("discovery: no response")
        self.last_query_answered = False

    async def watch_over_connection(self, address: tuple[str, int]) -> None:
        """Queries over one connection until it ends: first the whole list, then each change as it comes.

        Raises:
            OSError: The connection fails, or a response is overdue.
            MalformedMessage: A response can't be used.
        """
        protocol, writer = await connect(address, RESPONSE_TIMEOUT_S)
        responses = MessageReader(protocol.reader, responses=True, body_max_bytes=LIST_MAX_BYTES)
        host = b"Host: %s:%d\r\n" % (address[0].encode(), address[1])
        try:
            target, time_limit_s = SNAPSHOT_TARGET, RESPONSE_TIMEOUT_S
            while True:
                write_message(writer, [b"GET %s HTTP/1.1\r\n" % target, host], b"")
                async with asyncio.timeout(time_limit_s):
                    response = await responses.next()
                if response is None:
                    return
                update = self.read_response(response)
                self.deliver(update)
                if not response.keep_alive:
                    return
                target = b"%s?from=%d&hold_ms=%d" % (SNAPSHOT_TARGET, update.position, LONG_POLL_MS)
                time_limit_s = LONG_POLL_MS / 1000 + RESPONSE_TIMEOUT_S
        finally:
            writer.transport.abort()

    def read_response(self, response: Message) -> EndpointUpdate:
        """The update that a response holds."""
        if response.status != HTTP_OK:
            raise MalformedMessage(f"answered with {response.status}")
        try:
            update = read_endpoint_update(json.loads(response.body))
        except ValueError as error:
            raise MalformedMessage("an answer that is no JSON") from error
        self.metrics.add("discovery: responses")
        if update.omitted:
            self.metrics.report("discovery: entries left out", update.omitted)
        return update

    def deliver(self, update: EndpointUpdate) -> None:
        """Hands an update on; the address that gave it is the one to watch."""
        self.last_query_answered = True
        self.stop_older_watches()
        self.on_update(update)
        self.first_response.set()
