"""Each gateway's share of a customer's quota: its part of the demand that all gateways add up at the shared counter."""

import math

from stoneyoke.control.actions import ForgetCustomer
from stoneyoke.control.context import DecisionContext
from stoneyoke.control.counter_calls import QuerySchedule, ScheduledQuery, demand_name
from stoneyoke.control.counter_load import SILENT_QUERIES
from stoneyoke.control.customer import Customer
from stoneyoke.control.events import CounterReply
from stoneyoke.control.quotas import Quotas
from stoneyoke.limits.token_bucket import SECOND

DECAY = 0.6  # factor on the demand counted so far, each period


class QuotaShares:
    """Counts demand and recomputes the shares each second."""

    def __init__(self, context: DecisionContext, quotas: Quotas) -> None:
        """Manages the shares of the customers of `quotas`."""
        self.context, self.quotas = context, quotas
        self.schedule = QuerySchedule(quotas.counter, self.read_total)

    def close_second(self) -> None:
        """Called once a second: closes the periods that end now, schedules their queries and recomputes all shares."""
        now, counter = self.context.now, self.quotas.counter
        second = now // SECOND
        self.schedule.clear()
        silent = counter.unanswered >= SILENT_QUERIES and counter.last_query_at - counter.last_reply_at > SECOND
        for customer in list(self.quotas.customers.values()):
            if (second + customer.customer_id) % customer.period_s == 0:
                self.close_period(customer, second)
            if now - customer.others_read_at > (2 if silent else 20) * SECOND:
                customer.others_units = customer.others_s = 0.0
            self.renew_share(customer)
            if customer.may_be_forgotten(now):
                del self.quotas.customers[customer.index]
                self.context.actions.append(ForgetCustomer(customer.index))

    def close_period(self, customer: Customer, second: int) -> None:
        """Adds the period's demand to the customer's own. Counts it if it is shared and the bucket was low lately."""
        units, customer.demand_units = customer.demand_units, 0.0
        customer.own_units = DECAY * customer.own_units + units
        customer.own_s = DECAY * customer.own_s + customer.period_s
        is_shared = self.context.parameters.has_counter and customer.even_share < 1
        if is_shared and self.context.now < customer.counting_until:
            self.schedule_queries(customer, units, second)

    def schedule_queries(self, customer: Customer, units: float, second: int) -> None:
        """Schedules the counter queries for a period's demand: an addition and a later read, or one query for both."""
        load, draw = self.quotas.load, self.context.random_source.draw
        name, queried_share = demand_name(customer.customer_id, second), load.queried_share
        if not customer.shared_bucket:
            if units > 0:
                self.schedule.add_units(customer, name, units)
            if draw() < queried_share:
                self.schedule.add_reading(customer, name, units)
        elif units > 0 and not load.rpcs_query_bucket(customer.shared_bucket) and draw() < queried_share:
            # While the counter is overloaded, each query that is sent is scaled up for those that are skipped.
            self.schedule.add_both(customer, name, units / queried_share, draw())

    def read_total(self, query: ScheduledQuery, reply: CounterReply) -> None:
        """Updates the other gateways' demand from a counter total."""
        customer = self.quotas.customers.get(query.customer)
        if not customer or not reply.added or not math.isfinite(reply.total):
            return
        if reply.total < query.own_units * 0.999:  # the counter has lost values; treated like a missing reply
            return
        periods = (self.context.now - customer.others_read_at) / SECOND / customer.period_s
        retained = DECAY ** min(20.0, periods)
        customer.others_read_at = self.context.now
        customer.others_units = retained * customer.others_units + reply.total - query.own_units
        customer.others_s = retained * customer.others_s + query.period_share * customer.period_s
        self.renew_share(customer)

    def renew_share(self, customer: Customer) -> None:
        """Sets the share to the own part of the counted demand; to the even share while the others' is not known."""
        own = customer.own_units / max(customer.own_s, 1)
        demand = own + customer.others_units / max(customer.others_s, 0.01)
        is_known = demand > 0 and customer.others_s > 0
        customer.set_share(own / demand if is_known else customer.even_share, self.context.now)
