"""Watches the discovery service. Without a valid response, the endpoint list does not change."""

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

# How long a long poll waits for a change. By the protocol page, every gateway counts as notified 2 s after a change. A
# connection that no longer answers is detected after this time plus RESPONSE_TIMEOUT_S, so both are short.
LONG_POLL_MS = 1_000
RESPONSE_TIMEOUT_S = 0.5  # added to the duration of the long poll
# A newly started process has only the endpoint list of its configuration, and backends may have begun to drain since
# that was written. Requests wait for the first response of discovery, but no longer than this. (In the run herd+mass,
# gateways with too little processor time forwarded by that list 0.56 s and more after their start.)
FIRST_RESPONSE_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1  # after a failure; the protocol page allows 200 ms until a watch continues
LIST_MAX_BYTES = 16 * BODY_MAX_BYTES  # thousands of endpoints; the protocol page's 64 KiB hold some 400
SNAPSHOT_TARGET = b"/v1/servers"
HTTP_OK = 200


class Discovery:
    """Watches the discovery service at one address; after a change also at the former one, until the new one responds.

    Attributes:
        on_update: Called with each update.
        last_query_answered: Whether the latest query was answered. An outage is logged once, when it begins.
        first_response: Set by the first response or failure, or FIRST_RESPONSE_TIMEOUT_S after the start.
        watches: One task for each address, the newest last.
    """

    def __init__(self, metrics: Metrics, on_update: Callable[[EndpointUpdate], None]) -> None:
        """Starts without a watch."""
        self.metrics, self.on_update = metrics, on_update
        self.last_query_answered = True
        self.first_response = asyncio.Event()
        self.watches: list[asyncio.Task[None]] = []

    def watch_address(self, address: tuple[str, int]) -> None:
        """Starts to watch an address. Older watches continue until this address has responded."""
        loop = asyncio.get_running_loop()
        self.watches.append(loop.create_task(self.watch(address)))
        loop.call_later(FIRST_RESPONSE_TIMEOUT_S, self.first_response.set)

    def stop(self) -> None:
        """Stops all watches."""
        while self.watches:
            self.watches.pop().cancel()

    def stop_older_watches(self) -> None:
        """Stops the watches that are older than the current task's, whose address has responded."""
        while self.watches and self.watches[0] is not asyncio.current_task():
            self.watches.pop(0).cancel()

    async def watch(self, address: tuple[str, int]) -> None:
        """Watches an address until cancelled. After a failure, opens a new connection and reads the whole list."""
        while True:
            try:
                await self.watch_over_connection(address)
            except OSError as error:
                self.report_outage(error)
            except MalformedMessage as error:
                self.metrics.report("discovery: malformed responses", str(error))
            except Exception:  # outermost guard: an error here must not stop the watch
                logger.exception("Applying an endpoint update failed; the list is unchanged and will be read again.")
                self.metrics.check_invariant(False, "discovery failed")
            self.first_response.set()
            await asyncio.sleep(RETRY_DELAY_S)

    def report_outage(self, error: OSError) -> None:
        """Counts a query without a response; logs the first one of an outage."""
        if self.last_query_answered:
            self.metrics.report(
                "discovery: no response", f"{type(error).__name__} {error}; the endpoint list is unchanged"
            )
        else:
            self.metrics.add("discovery: no response")
        self.last_query_answered = False

    async def watch_over_connection(self, address: tuple[str, int]) -> None:
        """Sends queries over one connection until it is closed: first for the whole list, then long polls for changes.

        Raises:
            OSError: The connection fails, or a response times out.
            MalformedMessage: A response is malformed.
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
        """Returns the update that a response holds.

        Raises:
            MalformedMessage: The status is not 200, or the body is not a valid list.
        """
        if response.status != HTTP_OK:
            raise MalformedMessage(f"response has status {response.status}")
        try:
            update = read_endpoint_update(json.loads(response.body))
        except ValueError as error:
            raise MalformedMessage("response is not JSON") from error
        self.metrics.add("discovery: responses")
        if update.omitted:
            self.metrics.report("discovery: entries left out", update.omitted)
        return update

    def deliver(self, update: EndpointUpdate) -> None:
        """Passes an update on, and stops the watches of older addresses, because this one has responded."""
        self.last_query_answered = True
        self.stop_older_watches()
        self.on_update(update)
        self.first_response.set()
