"""Queries to the shared counter: scheduled ones, and pending ones that wait for a reply. Decides nothing."""

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from stoneyoke.control.actions import AddToCounter
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.customer_record import CustomerRecord
from stoneyoke.control.events import CounterReply
from stoneyoke.limits.shared_bucket import KEY_TTL_US, CounterExchange

FIRST_ADD, FIRST_READ, SLOTS = 1, 11, 8  # first ticks for additions and reads, and ticks over which customers spread
BOTH_SLOTS = 18  # ticks over which the queries are spread that both add and read

OnReply = Callable[[CounterReply], None]


class ScheduledQuery(NamedTuple):
    """A counter query that is sent at a tick. Its reply is used for a customer, if one is set."""

    name: int
    amount: float
    customer: int = -1  # -1: the reply is not used
    own_units: float = 0.0  # units that this gateway has added to the value
    period_share: float = 1.0  # share of the period's additions that the total contains by then


class PendingQuery(NamedTuple):
    """A query that was sent and has no reply yet."""

    sent_at: int
    on_reply: OnReply | None


class CounterCalls:
    """Sends queries and matches replies to them. Each query gets one reply; replies of one name come in order."""

    def __init__(self, context: DecisionContext) -> None:
        """Starts without queries."""
        self.context = context
        self.pending: dict[int, deque[PendingQuery]] = {}  # by name
        self.last_query_at = self.last_reply_at = context.now
        self.unanswered = 0  # consecutive queries without a reply

    def add(self, name: int, amount: float, on_reply: OnReply | None = None) -> None:
        """Adds to a value of the counter. `on_reply` is called with the reply, or the report that there was none."""
        self.last_query_at = self.context.now
        self.pending.setdefault(name, deque()).append(PendingQuery(self.last_query_at, on_reply))
        self.context.actions.append(AddToCounter(name, KEY_TTL_US, amount))

    def match(self, reply: CounterReply) -> PendingQuery | None:
        """Removes and returns the pending query of this reply. None: there is none, so the reply is to be ignored."""
        if not (queue := self.pending.get(reply.name)):
            return None
        query = queue.popleft()
        if not queue:
            del self.pending[reply.name]
        if reply.added:
            self.unanswered, self.last_reply_at = 0, self.context.now
        else:
            self.unanswered += 1
        return query

    def run_exchange(self, exchange: CounterExchange, reply: CounterReply | None = None) -> None:
        """Sends an exchange's next query. The exchange gets each reply's total (NaN: no reply) and the time."""
        total = reply.total if reply and reply.added else math.nan
        try:
            name, amount = exchange.send((total, self.context.now)) if reply else next(exchange)
        except StopIteration:
            return
        self.add(name, amount, partial(self.run_exchange, exchange))


class QuerySchedule:
    """The queries of one second, by the tick at which they are sent."""

    def __init__(self, counter: CounterCalls, read: Callable[[ScheduledQuery, CounterReply], None]) -> None:
        """Creates an empty schedule; `read` is called with each reply that is for a customer."""
        self.counter, self.read = counter, read
        self.queries: dict[int, list[ScheduledQuery]] = {}

    def clear(self) -> None:
        """Starts a new second. Queries of the last one that were not sent are dropped."""
        self.queries = {}

    def add_units(self, customer: CustomerRecord, name: int, units: float) -> None:
        """Schedules the addition of a customer's units, in the first half of the second."""
        self.add(FIRST_ADD + customer.customer_id % SLOTS, ScheduledQuery(name, units))

    def add_reading(self, customer: CustomerRecord, name: int, own_units: float) -> None:
        """Schedules the read of a total, in the second half of the second, when all gateways have added their units."""
        query = ScheduledQuery(name, 0.0, customer.index, own_units)
        self.add(FIRST_READ + customer.customer_id % SLOTS, query)

    def add_both(self, customer: CustomerRecord, name: int, units: float, part_of_second: float) -> None:
        """Schedules one query that adds units and reads the total, which contains the others' additions up to then."""
        slot = int(BOTH_SLOTS * part_of_second)
        query = ScheduledQuery(name, units, customer.index, units, (slot + 0.5) / BOTH_SLOTS)
        self.add(FIRST_ADD + slot, query)

    def add(self, tick: int, query: ScheduledQuery) -> None:
        """Schedules a query for a tick of the second."""
        self.queries.setdefault(tick, []).append(query)

    def send_due(self, tick: int) -> None:
        """Sends the queries that are scheduled up to a tick of this second."""
        for due_tick in [one for one in self.queries if one <= tick]:
            for query in self.queries.pop(due_tick):
                on_reply = partial(self.read, query) if query.customer >= 0 else None
                self.counter.add(query.name, query.amount, on_reply)


def demand_name(customer_id: int, second: int) -> int:
    """Returns the counter's name for a customer's demand in a second, the same at every gateway."""
    return (customer_id * 0x9E3779B97F4A7C15 + second * 0xD1B54A32D192ED03) % 2**64
