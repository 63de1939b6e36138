"""The client of a trial: sends requests to random gateways, and retries them as the protocol allows."""

import asyncio
import itertools
import random
from typing import NamedTuple

from stoneyoke.lab.cluster.processes import FRONT_PORT, ClusterProcesses
from stoneyoke.lab.cluster.requests import (
    API_KEY,
    HOSTNAME,
    NON_IDEMPOTENT_PATH,
    OK,
    READ_PATH,
    REJECTION_STATUSES,
    ROUTE_TIMEOUT_S,
    send_request,
)
from stoneyoke.lab.cluster.traffic_ledger import NO_RESPONSE, Rule, TrafficLedger
from stoneyoke.net.message_reader import Message

MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
NON_IDEMPOTENT_SHARE = 0.2  # share of the non-idempotent requests in all requests


class RequestPaths(NamedTuple):
    """The path prefixes of an idempotent and a non-idempotent route."""

    read: str
    order: str


SHORT_PATHS = RequestPaths(READ_PATH, NON_IDEMPOTENT_PATH)


class ClientRequest(NamedTuple):
    """One attempt: its id, its request line and headers without Content-Length, and its body."""

    attempt_id: str
    head: bytes
    body: bytes


class Client:
    """Sends requests and records their responses. Each attempt has its own attempt id.

    Attributes:
        id_prefix: The beginning of each attempt id, which differs between clients that share a ledger.
    """

    id_prefix = "a"

    def __init__(self, cluster: ClusterProcesses, ledger: TrafficLedger, random_source: random.Random) -> None:
        """Creates a client that has sent nothing.

        Args:
            cluster: Names the gateways.
            ledger: Records each attempt with its response.
            random_source: Draws gateways, kinds of request and the time between requests.
        """
        self._cluster = cluster
        self._ledger = ledger
        self._random_source = random_source
        self._attempt_numbers = itertools.count(1)
        self.served = 0  # requests answered with 200
        self.given_up = 0  # requests without a 200 after their last attempt

    async def send_traffic(self, seconds: float, rate_per_s: float) -> None:
        """Sends requests at random times, and returns once all have ended.

        Args:
            seconds: For how long new requests are started.
            rate_per_s: Mean number of requests per second.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as requests:
            while loop.time() < end_s:
                is_non_idempotent = self._random_source.random() < NON_IDEMPOTENT_SHARE
                requests.create_task(self._send_with_retries(is_non_idempotent))
                await asyncio.sleep(self._random_source.expovariate(rate_per_s))

    async def _send_with_retries(self, is_non_idempotent: bool) -> None:
        """Sends one request. Retries a non-idempotent one only after a rejection, which proves that it has not run."""
        for _ in range(MAX_ATTEMPTS):
            status = await self.send_once(is_non_idempotent)
            if status == OK:
                self.served += 1
                return
            if is_non_idempotent and status not in REJECTION_STATUSES:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.given_up += 1

    async def send_once(self, is_non_idempotent: bool) -> int:
        """Sends one attempt.

        Returns:
            The status of the response, or NO_RESPONSE.
        """
        request = self.make_request(is_non_idempotent)
        ip = self._random_source.choice(list(self._cluster.gateways.values()))
        response = await send_request((ip, FRONT_PORT), request.head, request.body)
        return self.note_response(request, response)

    def make_request(
        self,
        is_non_idempotent: bool,
        more_headers: str = "",
        *,
        paths: RequestPaths = SHORT_PATHS,
        deadline_s: float = ROUTE_TIMEOUT_S,
    ) -> ClientRequest:
        """Returns the next attempt, and records it in the ledger as one without a response.

        Args:
            is_non_idempotent: Whether it is sent to the non-idempotent one of the two routes.
            more_headers: Further header lines, each with its line end.
            paths: The prefixes of the two routes.
            deadline_s: How long the client says that it waits.
        """
        attempt_id = f"{self.id_prefix}{next(self._attempt_numbers)}"
        self._ledger.statuses[attempt_id] = NO_RESPONSE
        if is_non_idempotent:
            self._ledger.orders.add(attempt_id)
        method, path = ("POST", paths.order) if is_non_idempotent else ("GET", paths.read)
        head = (
            f"{method} {path}x HTTP/1.1\r\nHost: {HOSTNAME}\r\nAttempt-Id: {attempt_id}\r\n"
            f"Deadline-Ms: {deadline_s * 1000:.0f}\r\nApi-Key: {API_KEY}\r\n{more_headers}"
        )
        return ClientRequest(attempt_id, head.encode(), b"order" if is_non_idempotent else b"")

    def note_response(self, request: ClientRequest, response: Message | None) -> int:
        """Records the response of an attempt in the ledger, and returns its status or NO_RESPONSE."""
        if response is None:
            return NO_RESPONSE
        self._ledger.statuses[request.attempt_id] = response.status
        if response.status == OK:
            self._check_response(request.attempt_id, response)
        return response.status

    def _check_response(self, attempt_id: str, response: Message) -> None:
        id_matches = response.headers.get(b"attempt-id") == attempt_id.encode()
        if not id_matches or not response.headers.get(b"server-stamp"):
            self._ledger.report(
                Rule.MATCHING_RESPONSE,
                f"{attempt_id} received a response without its attempt id or without a server stamp",
            )
