"""Plain cases of the mechanism and the rules."""

import pytest
from helpers import METHODS, START, Bench, of, plan, sent

from stoneyoke.control.actions import (
    Abandon,
    AddToCounter,
    CancelAttempt,
    ForgetCustomer,
    Reject,
    StartAttempt,
    Subscribe,
)
from stoneyoke.control.events import AnswerStarted, Arrival, CounterReply, Endpoint, EndpointsChanged
from stoneyoke.control.parameters import AttemptOutcome, BackendState


def drain(bench, **call):
    """RPCs until the store is empty; the first pushback ends it."""
    while not (refused := of(Reject, bench.arrive(**call))):
        bench.end(bench.next_rpc, 0, sent([a for _, a in bench.log])[-1].backend)
    return refused[0]


def test_over_quota_is_pushed_back_at_once_with_the_time_the_store_needs():
    bench = Bench()
    wait = drain(bench).retry_after_us
    assert len(sent([a for _, a in bench.log])) == 6  # a third of the burst and two lumps
    assert 750_000 <= wait <= 1_750_000  # a unit at a third of 4 a second, and up to a second of jitter


def test_what_can_never_fit_is_told_the_longest_wait():
    refused = of(Reject, Bench().arrive(units=50.0))
    assert 20_000_000 <= refused[0].retry_after_us <= 40_000_000


def test_early_returners_get_double_waits_then_a_block_and_what_fits_passes():
    bench = Bench()
    drain(bench)
    waits = [of(Reject, bench.arrive())[0].retry_after_us for _ in range(40)]
    assert max(waits[-5:]) >= 5_000_000 > max(waits[:5])
    bench.pass_time(1_500_000)
    assert sent(bench.arrive())


def count_all(total):
    def answer(action):
        return CounterReply(action.name, True, total) if isinstance(action, AddToCounter) else None

    return answer


def lost(action):
    return CounterReply(action.name, False, 0.0) if isinstance(action, AddToCounter) else None


@pytest.mark.parametrize("total, slice_", [(20.0, None), (0.5, 1 / 3), (1e9, 1 / 30)])
def test_slice_is_own_part_of_the_finished_second_with_a_floor_and_lost_counts_change_nothing(total, slice_):
    bench = Bench()
    drain(bench)
    own = bench.next_rpc
    bench.pass_time(1_950_000, count_all(total))
    assert bench.gateway.quotas.customers[0].share == pytest.approx(slice_ or own / total)


def test_a_growing_slice_mints_no_units():
    bench = Bench()
    drain(bench)
    customer = bench.gateway.quotas.customers[0]
    customer.take_share(1.0, bench.now)
    assert customer.bucket.level < 1


def test_silent_counter_leads_back_to_the_even_slice():
    bench = Bench()
    drain(bench)
    bench.pass_time(3_000_000, count_all(50.0))
    assert bench.gateway.quotas.customers[0].share < 0.3
    drain(bench)
    bench.pass_time(8_000_000, lost)
    assert bench.gateway.quotas.customers[0].share == pytest.approx(1 / 3)


def test_a_lost_call_now_and_then_is_no_silence():
    bench = Bench()
    drain(bench)
    bench.pass_time(3_000_000, count_all(50.0))
    bench.gateway.quotas.counter.asked_at = bench.now + 2_000_000
    for action in [a for _, a in bench.log if isinstance(a, AddToCounter)][:2]:
        bench.tell(lost(action))
    bench.arrive()
    bench.pass_time(1_000_000)
    assert bench.gateway.quotas.customers[0].share < 0.3


@pytest.mark.parametrize("parameters", [plan(), plan(rate=0.0, burst=0.0, parallel=9)])
def test_idle_customers_are_forgotten(parameters):
    bench = Bench(plans=(parameters,))
    for customer in range(50):
        bench.arrive(customer=customer)
        bench.end(bench.next_rpc, 0, sent([a for _, a in bench.log])[-1].backend)
    assert len(of(ForgetCustomer, bench.pass_time(20_000_000))) == 50 and not bench.gateway.quotas.customers


def test_thin_customers_seen_once_leave_nothing_behind_for_long():
    bench = Bench(gateways=100, plans=(plan(0.1, 12.0, ceiling_rate=2.0, ceiling_burst=24.0),))
    bench.pass_time(30_000_000)
    for customer in range(20):
        for out in sent(bench.arrive(customer=customer, units=0.2, width=100.0)):
            bench.end(bench.next_rpc, 0, out.backend)
    assert len(bench.gateway.quotas.customers) == 20
    bench.pass_time(75_000_000)
    assert not bench.gateway.quotas.customers


def test_ceiling_starts_empty_so_a_restart_hands_out_nothing():
    bench = Bench(plans=(plan(100.0, 100.0, ceiling_rate=3.0, ceiling_burst=30.0),))
    assert of(Reject, bench.arrive())
    bench.pass_time(3_000_000)
    assert [bool(sent(bench.arrive())) for _ in range(5)] == [True, True, True, False, False]


def test_parallel_cap_counts_what_is_out_and_what_the_others_likely_have_and_frees_it():
    bench = Bench(plans=(plan(12.0, 300.0, parallel=6),))
    # The others: 8 a second, a sixth of a second each.
    assert [bool(sent(bench.arrive())) for _ in range(6)] == [True] * 5 + [False]
    first = sent([a for _, a in bench.log])[0]
    bench.end(1, 0, first.backend)
    assert sent(bench.arrive())


@pytest.mark.parametrize(
    "method, outcome, answer",
    [
        (2, AttemptOutcome.ERROR, Abandon),
        (2, AttemptOutcome.TIMED_OUT, Abandon),
        (2, AttemptOutcome.NO_CONNECTION, StartAttempt),
        (0, AttemptOutcome.ERROR, StartAttempt),
        (1, AttemptOutcome.BROKEN, StartAttempt),
        (3, AttemptOutcome.CANCELLED, StartAttempt),
    ],
)
def test_what_follows_a_failed_call_out(method, outcome, answer):
    bench = Bench()
    first = sent(bench.arrive(method=method))[0]
    after = bench.end(1, 0, first.backend, outcome)
    assert isinstance(after[0], answer)
    if method == 1:
        assert after[0].backend % 2 == first.backend % 2  # its zone


def test_deduplicated_rpc_is_not_sent_past_the_memory_and_pushed_back_only_if_all_drop_repeats():
    for method, answer in ((1, Abandon), (3, Reject)):
        bench = Bench()
        first = sent(bench.arrive(method=method, wait=6_000_000))[0]
        bench.now += METHODS[method].deduplication_window_us
        assert isinstance(bench.end(1, 0, first.backend, AttemptOutcome.ERROR)[0], answer)


def test_deduplicated_rpc_that_may_have_run_leaves_its_group_for_nothing():
    for fleet, answer in ((2, Abandon), (3, StartAttempt)):  # zones 0 and 1; then 0, 1 and 0
        bench = Bench(fleet=fleet)
        first = sent(bench.arrive(method=1))[0]
        assert isinstance(bench.end(1, 0, first.backend, AttemptOutcome.ERROR)[0], answer)


def test_idempotent_rpc_that_may_have_run_goes_anywhere():
    bench = Bench(fleet=6)
    (out,) = sent(bench.arrive())
    for n in range(4):  # no two of these have a cell of their own left
        (out,) = sent(bench.end(out.rpc, n, out.backend, AttemptOutcome.BROKEN))
    (out,) = sent(bench.arrive())
    bench.gateway.backends.concurrency.latency = 0.4  # a jam, which going round would only feed
    assert of(Reject, bench.end(out.rpc, 0, out.backend, AttemptOutcome.BROKEN))


def test_timed_out_at_the_deadline_still_gets_an_answer():
    for method, answer in ((2, Abandon), (0, Reject)):
        bench = Bench()
        first = sent(bench.arrive(method=method))[0]
        bench.now += 2_500_000
        after = bench.end(1, 0, first.backend, AttemptOutcome.TIMED_OUT, closed=False)
        assert of(answer, after) and not sent(after)


def test_what_a_whole_list_leaves_out_is_gone():
    bench = Bench()
    bench.tell(EndpointsChanged(True, False, [Endpoint(3, 1, 0, 0, BackendState.READY)]))
    assert all(a.backend == 3 for a in load(bench, 3))


def test_a_draining_backend_gets_nothing_new_and_an_empty_fleet_is_answered():
    bench = Bench(fleet=1)
    bench.tell(EndpointsChanged(False, False, [Endpoint(0, 0, 0, 0, BackendState.DRAINING)]))
    assert of(Reject, bench.arrive())


def crowd(gateways, **changes):
    return [Bench(gateways=gateways, own_index=i, seed=i, **changes) for i in range(gateways)]


def test_many_gateways_parts_of_a_cold_budget_sum_to_the_whole_from_the_first_moment():
    benches = crowd(200, fleet=2, started={0: START}, plans=(plan(1e6, 1e6),))
    cold = 0
    for bench in benches:
        bench.gateway.backends.concurrency.answers_per_s = 0.1  # 20 a second over all, from the one warm backend
    for _ in range(10):  # a window of 1.5 s, of which each gateway uses all it may
        for bench in benches:
            bench.pass_time(150_000)
            bench.gateway.backends.concurrency.answers_per_s = 0.1
            for out in sent(bench.arrive()):
                cold += out.backend == 0
                bench.end(bench.next_rpc, 0, out.backend, AttemptOutcome.CANCELLED, closed=True)
    # A quarter of the capacity at least, twice that may be sent: 15 in 1.5 s. Rounded up it would be 200.
    assert 2 <= cold <= 15


def test_one_that_turns_warm_between_renewals_draws_no_crowd():
    bench = Bench(fleet=6, started={5: START - 9_990_000}, plans=(plan(1e6, 1e6),))
    bench.now += 20_000
    assert bench.gateway.backends.order[0].index == 5
    got = [out.backend for i in range(14) for out in sent(bench.arrive(customer=i))]
    assert got.count(5) <= 1 and len(got) == 14


def test_small_rooms_grow_again_within_seconds_of_prompt_answers():
    bench = Bench(gateways=100, plans=(plan(1e6, 1e6),))
    bench.gateway.backends.concurrency.limit = 0.3
    for _ in range(30):  # three RPCs a second
        bench.pass_time(330_000)
        outs = sent(bench.arrive())
        bench.pass_time(100_000)
        for out in outs:
            bench.end(bench.next_rpc, 0, out.backend)
    assert bench.gateway.backends.concurrency.limit > 1.0


def test_what_took_no_connection_is_taken_for_cold_when_it_is_back():
    bench = Bench(fleet=2, plans=(plan(1e6, 1e6),))
    first = sent(bench.arrive())[0].backend
    other = sent(bench.end(1, 0, first, AttemptOutcome.NO_CONNECTION))[0].backend
    bench.end(1, 1, other)
    bench.pass_time(1_200_000)
    got = [out.backend for i in range(20) for out in sent(bench.arrive(customer=i))]
    assert got.count(first) <= 1 and other in got


def test_cut_connections_alone_make_no_backend_cold_nor_leave_none_to_send_to():
    bench = Bench(fleet=3, plans=(plan(1e6, 1e6),))
    for turn in range(40):
        bench.pass_time(100_000)
        (out,) = sent(bench.arrive(units=0.01))
        if turn % 4 == 0:
            (out,) = sent(bench.end(out.rpc, 0, out.backend, AttemptOutcome.CUT))
        bench.end(out.rpc, int(turn % 4 == 0), out.backend)
    assert all(backend.is_warm and not backend.started_us for backend in bench.gateway.backends.table.backends.values())


def test_many_gateways_rooms_are_fractions_that_sum_to_the_whole():
    benches, through = crowd(200, fleet=20, has_counter=False), 0
    for bench in benches:
        bench.gateway.backends.concurrency.limit = 0.3
        through += len(sent(bench.arrive(width=200.0)))
    assert 40 <= through <= 80


def test_many_gateways_first_let_a_customer_in_then_only_its_part_of_the_quota():
    # 10 units a second asked of a plan of 4, through 100 gateways, each of which sees a tenth of a unit.
    benches, got = crowd(100, plans=(plan(4.0, 12.0),), has_counter=False), []
    for second in range(60):
        for bench in benches[second % 10 :: 10]:
            got += [second] * len(sent(bench.arrive(width=100.0)))
            if second >= 10:
                bench.gateway.quotas.customers[0].others_units, bench.gateway.quotas.customers[0].others_s = (
                    9.9 * 5,
                    5.0,
                )
                bench.gateway.quotas.customers[0].counted_at = bench.now
            for out in sent([a for _, a in bench.log[-2:]]):
                bench.end(bench.next_rpc, 0, out.backend)
        for bench in benches:
            bench.pass_time(1_000_000)
    assert sum(s < 10 for s in got) == 100  # nobody is shut out before its demand is known
    assert 0.25 <= sum(s >= 20 for s in got) / 400 <= 0.6


def test_where_few_can_be_asked_about_one_call_counts_and_weighs_for_those_left_out():
    bench = Bench(gateways=100)
    bench.gateway.quotas.load.periodic_until = bench.now + 60_000_000
    calls = []
    for i in range(40):
        bench.gateway.quotas.load.queried_share = 0.5
        bench.arrive(customer=i, width=100.0)
    bench.pass_time(3_000_000, lambda a: calls.append(a) if isinstance(a, AddToCounter) else None)
    assert 8 <= len(calls) <= 32 and all(a.amount == 2.0 for a in calls)


def test_a_full_store_takes_an_rpc_dearer_than_it_holds_and_owes_the_rest():
    bench = Bench(plans=(plan(1.0, 12.0),), gateways=100, has_counter=False)
    assert sent(bench.arrive(units=8.0, width=100.0)) and bench.gateway.quotas.customers[0].bucket.level < -6
    assert of(Reject, bench.arrive(units=1.0, width=100.0))


def test_gateways_of_a_hall_begin_at_different_backends():
    firsts = [sent(b.arrive())[0].backend for b in crowd(30, fleet=20)]
    assert len(set(firsts)) == 10 and max(firsts.count(f) for f in firsts) <= 4


def test_a_fleet_that_turns_most_away_is_not_gone_round():
    bench = Bench(fleet=20, plans=(plan(1e6, 1e6),))
    tries = []
    for _ in range(12):
        actions, n = bench.arrive(), 0
        while out := sent(actions):
            actions, n = bench.end(bench.next_rpc, n, out[0].backend, AttemptOutcome.REJECTED), n + 1
        tries.append(n)
    assert tries[0] > 1 and tries[-1] <= 1 and bench.gateway.backends.concurrency.limit < 16


def test_quiet_backend_loses_what_may_be_repeated():
    bench = Bench()
    first = sent(bench.arrive())[0]
    off = of(CancelAttempt, bench.pass_time(1_500_000))
    assert off and off[0].attempt == 0
    again = sent(bench.end(1, 0, first.backend, AttemptOutcome.CANCELLED))
    assert again and again[0].backend != first.backend


def test_settled_units_are_taken_or_given_back():
    bench = Bench(settles_units=True)
    first = sent(bench.arrive())[0]
    bench.end(1, 0, first.backend, units=7.0)
    assert bench.gateway.quotas.customers[0].bucket.level == pytest.approx(6 - 7)


def test_unreadable_costs_and_totals_poison_nothing():
    bench = Bench()
    for units in (float("nan"), float("inf"), 0.0, -3.0):
        bench.arrive(units=units)
    bench.pass_time(2_000_000, count_all(float("nan")))
    assert 0 <= bench.gateway.quotas.customers[0].bucket.level <= 6 and bench.gateway.quotas.customers[0].share == 1 / 3


def test_late_events_on_ended_rpcs_are_ignored():
    bench = Bench()
    first = sent(bench.arrive())[0]
    bench.end(1, 0, first.backend)
    assert not bench.end(1, 0, first.backend) and not bench.tell(CounterReply(5, True, 1.0))


def test_a_lost_subscription_is_asked_for_again():
    bench = Bench(must_subscribe=True)
    assert of(Subscribe, bench.pass_time(100_000))
    bench.tell(EndpointsChanged(False, True))
    assert of(Subscribe, bench.pass_time(2_000_000))


def test_same_events_same_actions():
    logs = []
    for _ in range(2):
        bench = Bench()
        for i in range(60):
            bench.tell(
                Arrival(
                    rpc=i,
                    method=i % 4,
                    plan=0,
                    customer=i % 3,
                    customer_id=i % 3,
                    wait_us=2_500_000,
                    units=1.0,
                    customer_gateways=3.0,
                )
            )
        bench.pass_time(3_000_000, count_all(9.0))
        logs.append(bench.log)
    assert logs[0] == logs[1]


def test_a_full_room_pushes_back_first_what_comes_too_late_or_is_worth_little():
    bench = Bench(plans=(plan(1000.0, 3000.0), plan(1000.0, 3000.0, price=0.1)))
    bench.arrive(customer=1)
    bench.gateway.backends.concurrency.limit = 10.0
    while sent(bench.arrive(wait=1_200_000)):
        pass  # later tries: a part of the room
    assert bench.gateway.backends.concurrency.in_flight == 4
    while sent(bench.arrive(customer=2, plan=1)):
        pass
    assert 4 < bench.gateway.backends.concurrency.in_flight < 10
    assert sent(bench.arrive())


def test_a_first_try_with_a_short_wait_is_no_later_one_where_clients_mark_those():
    bench = Bench(plans=(plan(1000.0, 3000.0),))
    bench.arrive(customer=1, repeat=True)  # waits for longer than a first try does here
    bench.gateway.backends.concurrency.limit = 10.0
    while sent(bench.arrive(wait=1_200_000, repeat=True)):
        pass
    assert bench.gateway.backends.concurrency.in_flight == 4 and sent(bench.arrive(wait=1_200_000, repeat=False))


def load(bench, number, **call):
    """As many RPCs of as many customers; the call-outs that came of it."""
    return [sent(bench.arrive(customer=100 + i, **call))[0] for i in range(number)]


def test_answers_that_take_long_shrink_the_room_and_prompt_ones_widen_it():
    bench = Bench()
    bench.gateway.backends.concurrency.limit = 12.0
    for first, took, grows in ((1, 900_000, False), (11, 50_000, True)):
        outs, before = load(bench, 10), bench.gateway.backends.concurrency.limit
        bench.now += took
        for rpc, out in enumerate(outs, first):
            bench.end(rpc, 0, out.backend)
        assert (bench.gateway.backends.concurrency.limit > before) is grows


def test_a_backend_that_refuses_quickly_is_not_taken_for_a_quick_one():
    bench = Bench()
    for _ in range(12):
        actions = bench.arrive(customer=bench.next_rpc)
        while out := sent(actions):
            n = sum(1 for _, a in bench.log if isinstance(a, StartAttempt) and a.rpc == bench.next_rpc) - 1
            bench.now += 1000 if out[0].backend == 0 else 100_000
            actions = bench.end(
                bench.next_rpc, n, out[0].backend, AttemptOutcome.REJECTED if out[0].backend == 0 else AttemptOutcome.OK
            )
    bench.pass_time(300_000)
    assert bench.gateway.backends.order[-1].index == 0 and bench.gateway.backends.table.backends[0].latency_band > 0


def test_one_answer_of_three_means_does_not_sink_a_backend():
    bench = Bench()
    out = sent(bench.arrive())[0]
    bench.now += int(3 * bench.gateway.context.methods[0].mean_latency_us)
    bench.end(1, 0, out.backend)
    bench.gateway.backends.renew_order()
    assert bench.gateway.backends.table.backends[out.backend].latency_band == 0


def test_lost_call_outs_leave_the_room_to_others_while_good_answers_are_prompt():
    bench = Bench()
    load(bench, 6, method=2, wait=6_000_000)
    bench.gateway.backends.concurrency.limit = 4.0
    assert of(Reject, bench.arrive())
    bench.pass_time(700_000)
    assert sent(bench.arrive())


def test_a_crowded_counter_is_called_less_and_a_lost_connection_is_no_crowd():
    bench = Bench(gateways=100, plans=(plan(4.0, 12.0, ceiling_rate=8.0, ceiling_burst=24.0),))

    def ask(added, total, after=5_000):
        asked = of(AddToCounter, bench.arrive(customer=bench.next_rpc, width=100.0))
        bench.now += after
        for call in asked:
            bench.tell(CounterReply(call.name, added, total))

    for _ in range(30):
        ask(False, float("nan"))
        ask(True, 1.0)  # a silent counter would be no crowd either
    assert bench.gateway.quotas.load.queried_share == 1.0
    for _ in range(20):
        ask(False, 0.0)
        ask(True, 1.0)
    turned_away = bench.gateway.quotas.load.queried_share
    assert turned_away < 0.7
    for _ in range(100):
        ask(True, 1.0)
    assert bench.gateway.quotas.load.queried_share == 1.0
    for _ in range(40):
        ask(True, 1.0, 60_000)
    assert bench.gateway.quotas.load.queried_share < 0.1  # slow ones delay RPCs


def test_a_failing_backend_rests_and_no_connection_rests_it_at_once():
    bench = Bench()
    out = sent(bench.arrive())[0]
    again = sent(bench.end(1, 0, out.backend, AttemptOutcome.NO_CONNECTION))[0]
    assert again.backend != out.backend
    bench.end(1, 1, again.backend)
    assert all(o.backend != out.backend for o in load(bench, 5))


def test_what_was_out_while_the_gateway_itself_stood_still_is_not_measured():
    bench = Bench()
    outs = load(bench, 6)
    bench.pass_time(100_000)
    concurrency_limit, bench.now = bench.gateway.backends.concurrency.limit, bench.now + 2_000_000
    for rpc, out in enumerate(outs, 1):
        bench.end(rpc, 0, out.backend)
    assert (
        bench.gateway.backends.concurrency.limit >= concurrency_limit
        and bench.gateway.backends.concurrency.latency < 0.2
    )


def test_a_begun_stream_is_left_alone_and_an_ended_one_lets_go():
    bench = Bench()
    first = sent(bench.arrive())[0]
    bench.tell(AnswerStarted(1))
    later = bench.pass_time(5_000_000)
    assert not of(CancelAttempt, later) and not sent(later) and bench.gateway.holds(1)
    bench.end(1, 0, first.backend)
    assert not bench.gateway.holds(1)
