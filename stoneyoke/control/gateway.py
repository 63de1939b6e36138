"""The decisions of one gateway: which RPCs are admitted, forwarded to which backend, retried or rejected.

A host calls Gateway.handle(event, now) and carries out the actions that it returns (events.py, actions.py). The
ordinary path (docs/design.md): a gateway's share of a customer's quota is its part of the demand that all gateways
count. An RPC over the share is rejected at once, with the time until its bucket holds enough. Further mechanisms:

1. Ranking            Backends are ordered by measured latency and filled from the top, each up to a limit.
2. Concurrency limit  Attempts in flight are limited so that the mean latency stays well below the soft deadline.
3. Priority           An RPC that is late, or of low value, may fill only a share of the limit.
4. Silent backends    A backend that does not respond is ranked last. RPCs safe to repeat are cancelled and retried.
5. Ejection           A backend whose share of failures is far above the fleet's median gets no attempts for a while.
6. Slow start         A cold backend gets a budget of attempts. A ceiling's bucket starts empty.
"""

import math
from collections.abc import Callable
from typing import Any

from stoneyoke.control import events
from stoneyoke.control.actions import Action, SetTimer, Subscribe
from stoneyoke.control.backend_selection import RANKING_TICKS, STALL_US, BackendSelector
from stoneyoke.control.context import TICK_US, DecisionContext
from stoneyoke.control.parameters import GatewayParameters
from stoneyoke.control.quota_shares import QuotaShares
from stoneyoke.control.quotas import Quotas
from stoneyoke.control.retry_policy import RetryPolicy
from stoneyoke.control.rpc_runner import RpcRunner
from stoneyoke.limits.token_bucket import SECOND


class Gateway:
    """Decides for one gateway. It has no clock and does no I/O: the host passes in the time and the events."""

    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        """Starts an incarnation at `now` (Unix time in us, as in all calls)."""
        self.context = DecisionContext(parameters, now)
        self.quotas = Quotas(self.context)
        self.shares = QuotaShares(self.context, self.quotas)
        self.backends = BackendSelector(self.context)
        self.retry_policy = RetryPolicy(self.context, self.quotas, self.backends)
        self.rpcs = RpcRunner(self.context, self.retry_policy, self.quotas, self.backends)
        self.ticking, self.tick_of_second = False, 0
        self.subscribe_at: float = now
        self.handlers: dict[type, Callable[[Any], None]] = {
            events.Arrival: self.rpcs.start,
            events.AttemptEnded: self.rpcs.attempt_ended,
            events.TimerFired: self.tick,
            events.CounterReply: self.quotas.counter_replied,
            events.EndpointsChanged: self.endpoints_changed,
            events.PeerEvidence: self.peer_evidence_changed,
            events.ClientGone: self.rpcs.client_gone,
            events.ResponseStarted: self.rpcs.response_started,
            events.ParametersChanged: self.parameters_changed,
        }

    @property
    def parameters(self) -> GatewayParameters:
        """The current parameters."""
        return self.context.parameters

    def is_open_rpc(self, rpc: int) -> bool:
        """Whether an RPC waits for its response or has attempts in flight. Its index must not be reused then."""
        return rpc in self.rpcs.open

    def is_known_backend(self, backend: int) -> bool:
        """Whether a backend is listed or has attempts in flight. Its index must not be reused then."""
        return backend in self.backends.table.by_index

    def handle(self, event: events.Event, now: int) -> list[Action]:
        """Decides on an event.

        Returns:
            The actions for the host, in order. After an exception, those decided so far stay in `context.actions`.
        """
        context = self.context
        if now - context.now > STALL_US and self.ticking:
            context.resumed_at = now
            self.backends.table.process_stalled(now)
        context.now, context.actions = now, []
        if not self.ticking:
            self.ticking = True
            self.set_timer()
        self.handlers[type(event)](event)
        return context.actions

    def set_timer(self) -> None:
        """Sets the next tick. Each gateway has its own phase, so that queries don't reach the counter all at once."""
        parameters = self.context.parameters
        phase_us = parameters.own_index * TICK_US // parameters.gateways
        self.context.actions.append(SetTimer(TICK_US - (self.context.now - phase_us) % TICK_US, 0))

    def tick(self, _: events.TimerFired) -> None:
        """Does the periodic work: shares and their counter queries, the ranking, and RPCs whose next check is due."""
        self.set_timer()
        tick = self.context.now % SECOND // TICK_US
        if tick < self.tick_of_second:
            self.shares.close_second()
        self.tick_of_second = tick
        self.shares.schedule.send_due(tick)
        if tick % RANKING_TICKS == 0:
            self.backends.check_ranking()
        if self.context.parameters.must_subscribe and self.context.now >= self.subscribe_at:
            self.subscribe_at = math.inf
            self.context.actions.append(Subscribe())
        self.rpcs.resume_due()

    def endpoints_changed(self, event: events.EndpointsChanged) -> None:
        """Applies discovery's report. After a failed query, subscribes again in a random 0.5 to 1.5 s."""
        if event.failed:
            self.subscribe_at = self.context.now + int((0.5 + self.context.random_source.draw()) * SECOND)
            return
        for backend in self.backends.table.update(event):
            self.backends.mark_cold(backend, backend.started_us)
        self.backends.renew_order()

    def peer_evidence_changed(self, event: events.PeerEvidence) -> None:
        """Applies what the gateways have agreed on about backends."""
        self.backends.peer_evidence = event
        self.backends.renew_order()

    def parameters_changed(self, event: events.ParametersChanged) -> None:
        """Replaces the parameters, and resizes the retry budget with them. Measurements stay."""
        parameters, budget = event.parameters, self.retry_policy.retry_budget
        self.context.replace_parameters(parameters)
        budget.resize(parameters.retry_budget_per_s, parameters.retry_budget_depth, self.context.now)
