"""Dispatches the messages of gateways and other controllers to the parts of a controller that handle them."""

from collections.abc import Awaitable, Callable
from typing import Any

from stoneyoke.consensus.replication import Replication
from stoneyoke.controlplane.chosen_configuration import ChosenConfiguration
from stoneyoke.controlplane.discovery_service import DiscoveryService
from stoneyoke.controlplane.pull_service import PullService
from stoneyoke.controlplane.quota_lease import QuotaLease
from stoneyoke.transport.messages import (
    AcceptRequest,
    ChosenNotice,
    FetchRequest,
    InstanceRefresh,
    InstanceUpdate,
    LeaseRequest,
    Message,
    PrepareRequest,
    PullRequest,
    QueryRequest,
    QuotaRequest,
    ValueRequest,
)


class MessageRouter:
    """Tables of handlers by message type: synchronous ones, and asynchronous ones that wait for a disk or a change."""

    def __init__(
        self,
        *,
        pulls: PullService,
        replication: Replication,
        discovery: DiscoveryService,
        lease: QuotaLease,
        configuration: ChosenConfiguration,
    ) -> None:
        """Builds the tables from the parts' handlers."""
        self._handlers: dict[type, Callable[[Any], Message]] = {
            FetchRequest: lambda _: configuration.handle_fetch(replication.replica),
            InstanceUpdate: discovery.handle_update,
            InstanceRefresh: discovery.handle_refresh,
            LeaseRequest: lease.handle_request,
            QuotaRequest: lease.allocate,
        }
        self._async_handlers: dict[type, Callable[[Any], Awaitable[Message]]] = {
            PullRequest: pulls.handle_pull,
            PrepareRequest: replication.handle,
            AcceptRequest: replication.handle,
            QueryRequest: replication.handle,
            ValueRequest: replication.handle,
            ChosenNotice: replication.handle,
        }

    async def dispatch(self, message: Message) -> Message | None:
        """Returns the response to a message; None if the message is no request."""
        kind = type(message)
        if handler := self._handlers.get(kind):
            return handler(message)
        if async_handler := self._async_handlers.get(kind):
            return await async_handler(message)
        return None
