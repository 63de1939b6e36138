"""Clients of the soak that use each connection until its gateway closes it. They pipeline at times and send slowly."""

import asyncio
import random
from dataclasses import dataclass

from stoneyoke.lab.cluster.client import NON_IDEMPOTENT_SHARE, Client, ClientRequest, RequestPaths
from stoneyoke.lab.cluster.processes import FRONT_PORT, ClusterProcesses
from stoneyoke.lab.cluster.requests import LONG_ORDER_PATH, LONG_READ_PATH, LONG_TIMEOUT_S, MAX_RESPONSE_BYTES, OK
from stoneyoke.lab.soak.backend import WORK_HEADER
from stoneyoke.lab.soak.entry import Entry
from stoneyoke.lab.soak.ledger import SoakLedger, Try
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader

LONG_PATHS = RequestPaths(LONG_READ_PATH, LONG_ORDER_PATH)
PIPELINED_SHARE, PIPELINED_MAX = 0.2, 3  # share of the batches of several requests, and how many these are
SLOW_SHARE = 0.25  # share of the batches whose last bytes are sent later
WITHHELD_BYTES = 2
SHORT_WORK_MS, MEDIUM_WORK_MS = (5, 120), (300, 1500)
SHORT_SHARE, MEDIUM_SHARE = 0.6, 0.25  # of the runs; the others last up to LONGEST_WORK_SHARE of the grace period
LONGEST_WORK_SHARE = 0.9
DEADLINES_S = (2.0, 5.0, LONG_TIMEOUT_S, LONG_TIMEOUT_S)
PAUSE_S = 0.3  # the longest pause between two batches
RECONNECT_S = 0.1
CONNECT_TIMEOUT_S = 1.0
PATIENCE_S = 0.5  # how much longer than its deadline a client reads
ANSWERED_ALREADY_S = 0.1  # in which a response that has arrived is read, also after its deadline


@dataclass(slots=True, kw_only=True, eq=False)
class Batch:
    """Requests that are sent together on one connection, and what is observed of each."""

    requests: list[ClientRequest]
    tries: list[Try]
    data: bytes


class KeptConnections(Client):
    """Clients that stand behind the platform's entry, each with one connection at a time."""

    id_prefix = "k"

    def __init__(
        self, cluster: ClusterProcesses, ledger: SoakLedger, entry: Entry, random_source: random.Random
    ) -> None:
        """Creates clients that have sent nothing yet."""
        super().__init__(cluster, ledger, random_source)
        self.cluster, self.ledger, self.entry, self.draw = cluster, ledger, entry, random_source

    async def run(self, seconds: float, clients: int) -> None:
        """Sends requests for some time, and returns once all have ended."""
        end_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as tasks:
            for _ in range(clients):
                tasks.create_task(self.serve_client(end_s))

    async def serve_client(self, end_s: float) -> None:
        """Uses one connection after another until the end of the traffic."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            gateway = self.entry.choose(self.draw)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(self.cluster.gateways[gateway], FRONT_PORT)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            await self.use_connection(gateway, *streams, end_s)

    async def use_connection(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end_s: float
    ) -> None:
        """Sends batches over a connection until the gateway closes it or the traffic ends."""
        loop, messages = asyncio.get_running_loop(), MessageReader(reader, responses=True)
        messages.body_max_bytes = MAX_RESPONSE_BYTES
        try:
            while loop.time() < end_s:
                batch = self.draw_batch(gateway)
                sending = loop.create_task(self.send_batch(writer, batch))
                goes_on = await self.receive_responses(messages, batch)
                if not sending.done():  # the connection has ended before the last bytes were sent
                    sending.cancel()
                    batch.tries[-1].sent_s = loop.time()
                if not goes_on:
                    return
                await asyncio.sleep(self.draw.uniform(0.0, PAUSE_S))
        finally:
            writer.transport.abort()

    def draw_batch(self, gateway: str) -> Batch:
        """Returns a batch that is not sent yet."""
        several = self.draw.random() < PIPELINED_SHARE
        batch = Batch(requests=[], tries=[], data=b"")
        for _ in range(self.draw.randint(2, PIPELINED_MAX) if several else 1):
            is_order, deadline_s = self.draw.random() < NON_IDEMPOTENT_SHARE, self.draw.choice(DEADLINES_S)
            work = f"{WORK_HEADER}: {self.draw_work_ms()}\r\n"
            request = self.make_request(is_order, work, paths=LONG_PATHS, deadline_s=deadline_s)
            now_s = asyncio.get_running_loop().time()
            batch.requests.append(request)
            batch.tries.append(Try(gateway=gateway, link="", sent_s=now_s, began_s=now_s, deadline_s=deadline_s))
            batch.data += request.head + b"Content-Length: %d\r\n\r\n" % len(request.body) + request.body
        return batch

    def draw_work_ms(self) -> int:
        """Returns how long a run lasts."""
        drawn = self.draw.random()
        if drawn < SHORT_SHARE:
            return self.draw.randint(*SHORT_WORK_MS)
        if drawn < SHORT_SHARE + MEDIUM_SHARE:
            return self.draw.randint(*MEDIUM_WORK_MS)
        return self.draw.randint(MEDIUM_WORK_MS[1], int(LONGEST_WORK_SHARE * 1000 * self.cluster.grace_s))

    async def send_batch(self, writer: asyncio.StreamWriter, batch: Batch) -> None:
        """Sends a batch, its last bytes later at times, and notes when each request was sent."""
        loop = asyncio.get_running_loop()
        self.ledger.tries |= {one.attempt_id: row for one, row in zip(batch.requests, batch.tries, strict=True)}
        if self.draw.random() < SLOW_SHARE:
            writer.write(batch.data[:-WITHHELD_BYTES])
            await asyncio.sleep(self.draw.uniform(0.0, self.cluster.grace_s / 2))
            writer.write(batch.data[-WITHHELD_BYTES:])
            batch.tries[-1].sent_s = loop.time()
        else:
            writer.write(batch.data)

    async def receive_responses(self, messages: MessageReader, batch: Batch) -> bool:
        """Receives the responses to a batch; returns whether the connection can carry another one.

        A client that has no response at its deadline closes the connection, and with it what it has sent behind. The
        first request of a batch gets one until then; another one may have waited behind it.
        """
        loop, is_open, gave_up = asyncio.get_running_loop(), True, False
        for number, (request, one) in enumerate(zip(batch.requests, batch.tries, strict=True)):
            response = None
            try:
                if is_open and not gave_up:
                    response = await self.receive(messages, one)
            except TimeoutError:
                gave_up = True
            except (OSError, MalformedMessage):
                is_open = False
            if gave_up and number > 0:
                one.left_s, one.how = loop.time(), "gave up"
            else:
                one.ended_s = loop.time()
            status = self.note_response(request, response)
            self.served += status == OK
            self.given_up += status != OK
            is_open = is_open and response is not None and response.keep_alive
        return is_open

    async def receive(self, messages: MessageReader, one: Try) -> Message | None:
        """Receives the response to one request; None if the connection has ended.

        Raises:
            OSError: The connection broke. A TimeoutError, which is an OSError, means that the deadline is over.
            MalformedMessage: The response is malformed.
        """
        limit_s = (one.began_s or one.sent_s) + one.deadline_s + PATIENCE_S
        async with asyncio.timeout_at(max(limit_s, asyncio.get_running_loop().time() + ANSWERED_ALREADY_S)):
            return await messages.next()
