"""Hosts gateway instances on the simulator's wire: translates words, ids and frames. Decides nothing."""

import json
from typing import Any, BinaryIO

from stoneyoke.control import Gateway
from stoneyoke.control.actions import (
    Abandon,
    Action,
    AddToCounter,
    CancelAttempt,
    ForgetCustomer,
    Reject,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from stoneyoke.control.events import (
    AnswerStarted,
    Arrival,
    AttemptEnded,
    ClientGone,
    CounterReply,
    Endpoint,
    EndpointsChanged,
    Event,
    TimerFired,
)
from stoneyoke.control.parameters import AttemptOutcome, BackendState, GatewayParameters
from stoneyoke.runtime.id_index import IdIndex
from stoneyoke.simhost import wire
from stoneyoke.single_gateway.errors import InvalidConfiguration
from stoneyoke.single_gateway.parameters import read_parameters

OUTCOMES = {
    200: AttemptOutcome.OK,
    500: AttemptOutcome.ERROR,
    503: AttemptOutcome.REJECTED,
    504: AttemptOutcome.TIMED_OUT,
    502: AttemptOutcome.NO_CONNECTION,
    598: AttemptOutcome.BROKEN,
    499: AttemptOutcome.CANCELLED,
    410: AttemptOutcome.NOT_SENT,
}
MOST_US = 2**32 - 1


class Instance:
    """One gateway on the wire. RPC and customer indices are taken back when the gateway lets go of them."""

    def __init__(self, who: int, parameters: GatewayParameters, now: int) -> None:
        self.who = who
        self.rpcs, self.backends, self.customers = IdIndex[int](), IdIndex[int](), IdIndex[int]()
        self.gateway = Gateway(parameters, now)

    def tell(self, event: Event, now: int, reply: wire.Reply) -> None:
        for action in self.gateway.handle(event, now):
            self.put(action, reply)
            if isinstance(action, Reject | Abandon) and not self.gateway.holds(action.rpc):
                self.rpcs.release(action.rpc)

    def tell_rpc(self, number: int, event: Event, now: int, reply: wire.Reply) -> None:
        self.tell(event, now, reply)
        at = self.rpcs.index_by_id.get(number)
        if at is not None and not self.gateway.holds(at):
            self.rpcs.release(at)

    def put(self, action: Action, reply: wire.Reply) -> None:
        who = self.who
        match action:
            case StartAttempt(rpc, backend, limit):
                to = self.backends.id_by_index[backend]
                reply.add(wire.SEND, who, self.rpcs.id_by_index[rpc], to, min(limit, MOST_US))
            case Reject(rpc, wait):
                reply.add(wire.DECLINE, who, self.rpcs.id_by_index[rpc], min(wait, MOST_US))
            case Abandon(rpc):
                reply.add(wire.REPORT_FAILURE, who, self.rpcs.id_by_index[rpc])
            case CancelAttempt(rpc, n):
                reply.add(wire.CALL_OFF, who, self.rpcs.id_by_index[rpc], n)
            case SetTimer(delay, token):
                reply.add(wire.TIMER, who, delay, token)
            case AddToCounter(name, life, amount):
                reply.add(wire.BUMP, who, name, life, amount)
            case Subscribe():
                reply.add(wire.OBSERVE, who, 1)
            case ForgetCustomer(customer):
                self.customers.release(customer)


class Host:
    """All instances of one process, kept apart."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.banks: dict[int, list[tuple[Any, ...]]] = {}

    def answer(self, batch: wire.Batch) -> bytes:
        reply = wire.Reply(batch.number)
        for code, fields in batch.events():
            if code == wire.MANIFEST:
                bank, offset, count = fields
                self.banks[bank] = batch.entries(offset, count)
                continue
            try:
                self.take(code, fields, batch, reply)
            except wire.Malformed:
                raise
            except InvalidConfiguration as bad:
                reply.add_text(wire.BROKEN, fields[0], str(bad))
            except Exception as error:  # whatever breaks in the decisions is told, never swallowed
                reply.add_text(wire.BROKEN, fields[0], f"{type(error).__name__}: {error}")
        return reply.frame()

    def take(self, code: int, fields: tuple[Any, ...], batch: wire.Batch, reply: wire.Reply) -> None:
        who, now = fields[0], batch.clock
        if code == wire.SPAWN:
            try:
                settings = json.loads(batch.piece(*fields[2:]))
            except ValueError as bad:
                raise InvalidConfiguration(f"start message is not JSON: {bad}") from bad
            parameters = read_parameters(fields[1], settings)
            self.instances[who] = Instance(who, parameters, now)
            return
        if code == wire.KILLED:
            self.instances.pop(who, None)
            return
        inst = self.instances.get(who)
        if inst is None:
            return
        if code == wire.ACCEPT:
            _, req, method, plan, customer, wait, units, width, _, bits = fields
            inst.tell_rpc(
                req,
                Arrival(
                    rpc=inst.rpcs.acquire(req),
                    method=method,
                    plan=plan,
                    customer=inst.customers.acquire(customer),
                    customer_id=customer,
                    wait_us=wait,
                    units=units,
                    customer_gateways=width,
                    is_retry=bool(bits & wire.REPEAT) if inst.gateway.parameters.clients_mark_retries else None,
                ),
                now,
                reply,
            )
        elif code == wire.VERDICT:
            _, req, _, _, n, backend, cost, outcome, closed, *_ = fields
            if outcome not in OUTCOMES:
                raise wire.Malformed(f"frame {batch.number}: unknown outcome {outcome}")
            rpc = inst.rpcs.index_by_id.get(req)
            if rpc is not None:
                inst.tell_rpc(
                    req,
                    AttemptEnded(
                        rpc=rpc,
                        attempt=n,
                        backend=inst.backends.acquire(backend),
                        outcome=OUTCOMES[outcome],
                        is_final=bool(closed),
                        settled_units=float(cost),
                    ),
                    now,
                    reply,
                )
        elif code in (wire.GONE, wire.FIRST):
            rpc = inst.rpcs.index_by_id.get(fields[1])
            if rpc is not None:
                event = ClientGone(rpc) if code == wire.GONE else AnswerStarted(rpc)
                inst.tell_rpc(fields[1], event, now, reply)
        elif code == wire.WAKEUP:
            inst.tell(TimerFired(fields[1]), now, reply)
        elif code == wire.COUNTED:
            _, name, _, outcome, total = fields
            inst.tell(CounterReply(name, OUTCOMES.get(outcome) is AttemptOutcome.OK, total), now, reply)
        elif code == wire.LIST_NEWS:
            _, mode, _, bank = fields
            if mode == 3:
                inst.tell(EndpointsChanged(False, True), now, reply)
                return
            if bank not in self.banks:
                raise wire.Malformed(f"frame {batch.number}: list {bank} was never given")
            entries = [
                Endpoint(inst.backends.acquire(backend), zone, cell, started, BackendState(state))
                for cell, zone, _, _, backend, started, state in self.banks[bank]
            ]
            inst.tell(EndpointsChanged(mode != 0, False, entries), now, reply)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each frame of the simulator until its input ends."""
    host = Host()
    for batch in wire.batches(source):
        sink.write(host.answer(batch))
        sink.flush()
