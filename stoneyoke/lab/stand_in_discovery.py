"""A stand-in for discovery: it lists the endpoints of all backends, to each gateway with a different delay."""

import asyncio
import math
import random
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from stoneyoke.lab.http import Request, ServerConnection
from stoneyoke.lab.ledger_writer import LedgerWriter
from stoneyoke.lab.worker_messages import (
    AgentSetup,
    ChangeDiscoveryFault,
    ChangeEndpoint,
    Command,
    DiscoverySetup,
    Reply,
)

BACKLOG = 16
PATH = "/v1/servers"
TIMER_SLACK_S = 0.001  # added to timers, so that none fires just before the time that it waits for
LEFT = "left"

Endpoint = dict[str, Any]  # as the protocol lists it, without its address


class EndpointChange(NamedTuple):
    """A new state of an endpoint, from a time on."""

    at_s: float  # loop time
    backend: int  # number of the backend, which determines the address
    endpoint: Endpoint


class PendingRequest(NamedTuple):
    """A long poll: a request that waits for changes after an index."""

    request: Request
    after: int  # index after which the gateway wants changes
    deadline_s: float  # loop time at which the request gets a response even without changes


class StandInDiscovery:
    """The role of discovery. Its index is the number of changes."""

    def __init__(self, setup: DiscoverySetup, ledger: LedgerWriter) -> None:
        """Listens after `start`."""
        self.ledger = ledger
        self.down = self.reorders = False
        self.changes = [
            EndpointChange(-math.inf, backend, endpoint) for backend, endpoint in enumerate(setup.endpoints)
        ]
        self._endpoints = setup.endpoints
        self._backends: dict[str, int] = {endpoint["name"]: n for n, endpoint in enumerate(setup.endpoints)}
        self._agents = [DiscoveryAgent(self, agent) for agent in setup.agents]

    async def start(self) -> None:
        """Starts to listen at a separate address for each gateway."""
        for agent in self._agents:
            await agent.listen()

    async def execute(self, command: Command) -> Reply | None:
        """Changes an endpoint, or starts or ends a fault."""
        match command:
            case ChangeEndpoint():
                self._change_endpoint(command)
            case ChangeDiscoveryFault():
                self._change_fault(command)
        return None

    def _change_endpoint(self, command: ChangeEndpoint) -> None:
        if command.replaces is not None:
            self._backends[command.name] = command.replaces
        backend = self._backends[command.name]
        endpoint = dict(self._endpoints[backend], name=command.name, status=command.status, since_ms=command.since_ms)
        self.changes.append(EndpointChange(asyncio.get_running_loop().time(), backend, endpoint))
        self.ledger.add("list", command.name, command.status)
        self._notify_agents()

    def _change_fault(self, command: ChangeDiscoveryFault) -> None:
        match command.fault.kind:
            case "down":
                self.down = command.begins
            case "reorder":
                self.reorders = command.begins
            case _:  # stale
                random_source = random.Random(command.number)
                for agent in self._agents:
                    if random_source.random() < command.fault.part:
                        agent.set_frozen(command.begins)
        self._notify_agents()

    def _notify_agents(self) -> None:
        for agent in self._agents:
            agent.check_after_delay()

    async def shut_down(self) -> None:
        """Stops listening."""
        for agent in self._agents:
            agent.close()


class DiscoveryAgent:
    """Discovery as one gateway reaches it."""

    def __init__(self, discovery: StandInDiscovery, setup: AgentSetup) -> None:
        """Opens no socket; see `listen`."""
        self._discovery = discovery
        self._setup = setup
        self._frozen_at_s = math.inf  # loop time; later changes are not visible to the gateway
        self._pending: list[PendingRequest] = []
        self._is_odd_response = False

    async def listen(self) -> None:
        """Starts to accept connections of the gateway."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._receive), *self._setup.address, backlog=BACKLOG
        )

    def close(self) -> None:
        """Stops listening."""
        self._server.close()

    def set_frozen(self, frozen: bool) -> None:
        """Hides later changes from the gateway, or shows them again."""
        self._frozen_at_s = asyncio.get_running_loop().time() if frozen else math.inf

    def check_after_delay(self) -> None:
        """Responds to waiting requests once the latest change is visible to this gateway."""
        asyncio.get_running_loop().call_later(self._setup.delay_s + TIMER_SLACK_S, self._check)

    def _visible_index(self) -> int:
        """Returns how many of the changes are visible to this gateway now."""
        now_s = min(asyncio.get_running_loop().time(), self._frozen_at_s)
        return sum(change.at_s + self._setup.delay_s <= now_s for change in self._discovery.changes)

    def _receive(self, request: Request) -> None:
        url = urlsplit(request.target.decode())
        if url.path != PATH:
            request.respond(404)
            return
        query = parse_qs(url.query)
        if "from" not in query:
            self._respond(request, None)
            return
        loop, wait_s = asyncio.get_running_loop(), int(query["hold_ms"][0]) / 1000
        self._pending.append(PendingRequest(request, int(query["from"][0]), loop.time() + wait_s))
        loop.call_later(wait_s + TIMER_SLACK_S, self._check)
        self._check()

    def _check(self) -> None:
        """Responds to the waiting requests for which there are changes, or whose deadline has passed."""
        now_s, visible = asyncio.get_running_loop().time(), self._visible_index()
        still_pending = []
        for pending in self._pending:
            if visible > pending.after or now_s >= pending.deadline_s:
                self._respond(pending.request, pending.after)
            else:
                still_pending.append(pending)
        self._pending = still_pending

    def _respond(self, request: Request, since: int | None) -> None:
        """Sends the changes after an index; all endpoints if it is None."""
        if self._discovery.down:
            return
        index = self._visible_index()
        self._is_odd_response = not self._is_odd_response
        if self._discovery.reorders and self._is_odd_response and index > 1:
            index, since = index - 1, None  # sends an older complete list after a newer one
        complete = since is None
        latest = {change.endpoint["name"]: change for change in self._discovery.changes[since or 0 : index]}
        if complete:
            latest = {name: change for name, change in latest.items() if change.endpoint["status"] != LEFT}
        addresses = self._setup.backend_addresses
        endpoints = [change.endpoint | {"address": addresses[change.backend]} for change in latest.values()]
        body = msgspec.json.encode({"index": index, "snapshot": complete, "endpoints": endpoints})
        if request.respond(200, body):
            statuses = [(name, change.endpoint["status"]) for name, change in latest.items()]
            self._discovery.ledger.add("told", self._setup.gateway, index, complete, statuses)
