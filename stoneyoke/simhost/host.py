"""Hosts gateway instances on the simulator's wire: translates words, ids and frames. Decides nothing."""

import json
import math
from typing import Any, BinaryIO

from stoneyoke.control import Gateway
from stoneyoke.interface import (
    Abort, Action, AddCount, Arrival, CallOff, CallOut, CallOutEnded, ClientGone, CountAnswer, Effect, Event,
    FleetNews, Forget, Group, Listed, Method, Outcome, Plan, PushBack, SetTimer, State,
    StreamBegun, Subscribe, Terms, TimerFired,
)
from stoneyoke.simhost import wire

OUTCOMES = {
    200: Outcome.OK, 500: Outcome.ERROR, 503: Outcome.TURNED_AWAY, 504: Outcome.TIMED_OUT,
    502: Outcome.NO_CONNECTION, 598: Outcome.BROKEN, 499: Outcome.CALLED_OFF, 410: Outcome.NOT_SENT,
}
EFFECTS = {
    "idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.DEDUPLICATED,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
MOST_US = 2**32 - 1


class BadStart(Exception):
    """A start message that lacks something needed; the text names it."""


def field(table: Any, key: str, kind: type, low: float = 0.0) -> Any:
    """A needed value, or BadStart naming it."""
    value = table.get(key) if isinstance(table, dict) else None
    if kind in (int, float):
        if isinstance(value, int | float) and not isinstance(value, bool):
            if math.isfinite(value) and value >= low:
                return kind(value)
    elif isinstance(value, kind):
        return value
    raise BadStart(f"start message: {key!r} is missing or unusable: {value!r}")


def read_terms(seed: int, text: bytes) -> Terms:
    try:
        top = json.loads(text)
    except ValueError as bad:
        raise BadStart(f"start message is not JSON: {bad}") from bad
    caps, rules, extra = (field(top, key, dict) for key in ("caps", "rules", "extra"))
    methods = []
    for row in field(top, "classes", list):
        effect = field(row, "effect", str)
        if effect not in EFFECTS:
            raise BadStart(f"start message: 'effect' is unusable: {effect!r}")
        group = row.get("group", "cell")
        if effect == "deduplicated" and group not in {g.value for g in Group}:
            raise BadStart(f"start message: 'group' is unusable: {group!r}")
        methods.append(Method(
            EFFECTS[effect],
            Group(group) if effect == "deduplicated" else Group.CELL,
            field(row, "aim-us", int, 1), field(row, "deadline-us", int, 1),
            field(row, "memory-span-us", int) if effect == "deduplicated" else 0,
            field(row, "gain", float),
        ))
    plans = [Plan(
        field(row, "units-per-s", float), field(row, "depth", float),
        field(row, "worth-factor", float), field(row, "parallel", int),
        field(row, "cap-rate", float), field(row, "cap-depth", float),
    ) for row in field(top, "tariffs", list)]
    return Terms(
        seed, field(top, "balancers", int, 1), field(top, "self-index", int), field(top, "zone", int),
        tuple(methods), tuple(plans), field(caps, "try-limit", int, 1), bool(caps.get("cancel", False)),
        bool(extra.get("has-counter", False)),
        bool(extra.get("settles", False)), top.get("discovery") == "subscribe",
        field(extra, "units-top", float), field(rules, "cold-from", float), field(rules, "ramp-time-us", int),
        field(rules, "overload-factor", float), field(rules, "overload-for-us", int),
    )


class Door:
    """Gives each foreign id a small index, and takes indices back for the next."""

    def __init__(self) -> None:
        self.index: dict[int, int] = {}
        self.names: list[int] = []
        self.free: list[int] = []

    def enter(self, name: int) -> int:
        at = self.index.get(name)
        if at is None:
            if self.free:
                at = self.free.pop()
                self.names[at] = name
            else:
                at = len(self.names)
                self.names.append(name)
            self.index[name] = at
        return at

    def leave(self, at: int) -> None:
        if self.index.pop(self.names[at], None) is not None:
            self.free.append(at)


class Instance:
    """One gateway on the wire. RPC and customer indices are taken back when the gateway lets go of them."""

    def __init__(self, who: int, terms: Terms, now: int) -> None:
        self.who = who
        self.rpcs, self.backends, self.customers = Door(), Door(), Door()
        self.gateway = Gateway(terms, now)

    def tell(self, event: Event, now: int, reply: wire.Reply) -> None:
        for action in self.gateway.handle(event, now):
            self.put(action, reply)
            if isinstance(action, PushBack | Abort) and not self.gateway.holds(action.rpc):
                self.rpcs.leave(action.rpc)

    def tell_rpc(self, number: int, event: Event, now: int, reply: wire.Reply) -> None:
        self.tell(event, now, reply)
        at = self.rpcs.index.get(number)
        if at is not None and not self.gateway.holds(at):
            self.rpcs.leave(at)

    def put(self, action: Action, reply: wire.Reply) -> None:
        who = self.who
        match action:
            case CallOut(rpc, backend, limit):
                to = self.backends.names[backend]
                reply.add(wire.SEND, who, self.rpcs.names[rpc], to, min(limit, MOST_US))
            case PushBack(rpc, wait):
                reply.add(wire.DECLINE, who, self.rpcs.names[rpc], min(wait, MOST_US))
            case Abort(rpc):
                reply.add(wire.REPORT_FAILURE, who, self.rpcs.names[rpc])
            case CallOff(rpc, n):
                reply.add(wire.CALL_OFF, who, self.rpcs.names[rpc], n)
            case SetTimer(delay, token):
                reply.add(wire.TIMER, who, delay, token)
            case AddCount(name, life, amount):
                reply.add(wire.BUMP, who, name, life, amount)
            case Subscribe():
                reply.add(wire.OBSERVE, who, 1)
            case Forget(customer):
                self.customers.leave(customer)


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
            except BadStart as bad:
                reply.add_text(wire.BROKEN, fields[0], str(bad))
            except Exception as error:  # whatever breaks in the decisions is told, never swallowed
                reply.add_text(wire.BROKEN, fields[0], f"{type(error).__name__}: {error}")
        return reply.frame()

    def take(self, code: int, fields: tuple[Any, ...], batch: wire.Batch, reply: wire.Reply) -> None:
        who, now = fields[0], batch.clock
        if code == wire.SPAWN:
            terms = read_terms(fields[1], batch.piece(*fields[2:]))
            self.instances[who] = Instance(who, terms, now)
            return
        if code == wire.KILLED:
            self.instances.pop(who, None)
            return
        inst = self.instances.get(who)
        if inst is None:
            return
        if code == wire.ACCEPT:
            _, req, method, plan, customer, wait, units, width, _, _ = fields
            inst.tell_rpc(req, Arrival(
                inst.rpcs.enter(req), method, plan, inst.customers.enter(customer), customer, wait, units,
                width,
            ), now, reply)
        elif code == wire.VERDICT:
            _, req, _, _, n, backend, cost, outcome, closed, *_ = fields
            if outcome not in OUTCOMES:
                raise wire.Malformed(f"frame {batch.number}: unknown outcome {outcome}")
            rpc = inst.rpcs.index.get(req)
            if rpc is not None:
                inst.tell_rpc(req, CallOutEnded(
                    rpc, n, inst.backends.enter(backend), OUTCOMES[outcome], bool(closed), float(cost),
                ), now, reply)
        elif code in (wire.GONE, wire.FIRST):
            rpc = inst.rpcs.index.get(fields[1])
            if rpc is not None:
                event = ClientGone(rpc) if code == wire.GONE else StreamBegun(rpc)
                inst.tell_rpc(fields[1], event, now, reply)
        elif code == wire.WAKEUP:
            inst.tell(TimerFired(fields[1]), now, reply)
        elif code == wire.COUNTED:
            _, name, _, outcome, total = fields
            inst.tell(CountAnswer(name, OUTCOMES.get(outcome) is Outcome.OK, total), now, reply)
        elif code == wire.LIST_NEWS:
            _, mode, _, bank = fields
            if mode == 3:
                inst.tell(FleetNews(False, True), now, reply)
                return
            if bank not in self.banks:
                raise wire.Malformed(f"frame {batch.number}: list {bank} was never given")
            entries = [
                Listed(inst.backends.enter(backend), zone, cell, started, State(state))
                for cell, zone, _, _, backend, started, state in self.banks[bank]
            ]
            inst.tell(FleetNews(mode != 0, False, entries), now, reply)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    for batch in wire.batches(source):
        sink.write(host.answer(batch))
        sink.flush()
