"""The decisions of one gateway: what is admitted, which backend gets it, when it is sent again, what is rejected.

A host calls Gateway.handle(event, now) and carries out the actions that it returns (events.py, actions.py). The
ordinary path (docs/design.md): a customer's share of its quota at this gateway is its part of the counted demand.
An RPC over it is rejected at once, with the time until its bucket holds enough. Mechanisms beside the design:

1. Ranking            Backends are ordered by measured latency and filled from the top, each up to a limit.
2. Concurrency limit  Attempts in flight are limited so that the mean latency stays well inside the soft deadline.
3. Priority           An RPC that comes too late, or is worth little, may fill only a part of the limit.
4. Silent backends    One that answers nothing is ranked last. Idempotent RPCs are cancelled there and sent again.
5. Ejection           A backend whose share of failures is far above the fleet's median gets nothing for a while.
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
    """Decides for one gateway. It has no clock and does no I/O: the host tells the time and what happened."""

    def __init__(self, parameters: GatewayParameters, now: int) -> None:
        """Begins an incarnation at `now` (Unix time in us, as in all calls)."""
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
        """The parameters as they are now."""
        return self.context.parameters

    def holds(self, rpc: int) -> bool:
        """Whether an RPC is owed an answer or has attempts in flight. Its index must not be used anew."""
        return rpc in self.rpcs.open

    def knows(self, backend: int) -> bool:
        """Whether a backend is listed or has attempts in flight. Its index must not be used anew."""
        return backend in self.backends.table.by_index

    def handle(self, event: events.Event, now: int) -> list[Action]:
        """Decides on an event.

        Returns:
            The actions for the host, in order. After an error those decided so far stay in `context.actions`.
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
        """Each gateway ticks at a phase of its own: their queries don't reach the counter all at once."""
        parameters = self.context.parameters
        phase_us = parameters.own_index * TICK_US // parameters.gateways
        self.context.actions.append(SetTimer(TICK_US - (self.context.now - phase_us) % TICK_US, 0))

    def tick(self, _: events.TimerFired) -> None:
        """Does what is done by time: shares and their queries, the ranking, RPCs whose next look is due."""
        self.set_timer()
        tick = self.context.now % SECOND // TICK_US
        if tick < self.tick_of_second:
            self.shares.close_second()
        self.tick_of_second = tick
        self.shares.schedule.send_due(tick)
        if tick % RANKING_TICKS == 0:
            self.backends.look()
        if self.context.parameters.must_subscribe and self.context.now >= self.subscribe_at:
            self.subscribe_at = math.inf
            self.context.actions.append(Subscribe())
        self.rpcs.resume_due()

    def endpoints_changed(self, event: events.EndpointsChanged) -> None:
        """Takes discovery's report. After a failed query subscribes again, a drawn time later."""
        if event.failed:
            self.subscribe_at = self.context.now + int((0.5 + self.context.random_source.draw()) * SECOND)
            return
        for backend in self.backends.table.update(event):
            self.backends.mark_cold(backend, backend.started_us)
        self.backends.renew_order()

    def peer_evidence_changed(self, event: events.PeerEvidence) -> None:
        """Takes what the gateways have agreed on."""
        self.backends.peer_evidence = event
        self.backends.renew_order()

    def parameters_changed(self, event: events.ParametersChanged) -> None:
        """Takes new parameters. What was measured stays. More gateways may share the retry budget now."""
        parameters, budget = event.parameters, self.retry_policy.retry_budget
        self.context.replace_parameters(parameters)
        budget.resize(parameters.retry_budget_per_s, parameters.retry_budget_depth, self.context.now)
