"""The ledger finds what breaks each rule in rows made up for it, and nothing in rows that keep them."""

import pytest

from stoneyoke.lab.cli import SHIPPED
from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.plan import draw_plan
from stoneyoke.lab.scenario_file import read_scenario

SCENARIO = read_scenario(SHIPPED / "small.toml")
PLAN = draw_plan(SCENARIO, 1)
READ, ORDER, SWITCH = 0, 1, 2
GATEWAY, BACKEND, OTHER = "a/g000", "a/b000", "b/b001"
S = 1_000_000


def customer(plan):
    return next(n for n, c in enumerate(PLAN.customers) if c.plan == plan)


def rpc(id_, at, method=READ, plan=0, gateway=GATEWAY, status=200, answered=None, words=None, until=None):
    until = at + 3 * S if until is None else until
    rows = [["rpc", at, id_, 1, customer(plan), method, gateway, 0, until]]
    if status is not None:
        rows.append(
            [
                "ans",
                at + S // 10 if answered is None else answered,
                id_,
                status,
                f"{id_} {BACKEND}" if words is None else words,
                0.0,
            ]
        )
    return rows


def call(id_, at, backend=BACKEND, ran=True, end=None, what="ok"):
    rows = [["call", at, id_, backend, 7]] + ([["ran", at, id_, backend, "k"]] if ran else [])
    return rows + [["end", at + S // 20 if end is None else end, id_, backend, what]]


def broken_rules(*parts):
    return [v.rule for v in Ledger([row for part in parts for row in part], SCENARIO, PLAN).violations()]


def test_a_clean_run_breaks_no_rule():
    assert (
        broken_rules(
            rpc("r1", S),
            call("r1", S),
            rpc("r2", 2 * S, ORDER, status=429, words=""),
            rpc("r3", S, SWITCH),
            call("r3", S),
        )
        == []
    )


@pytest.mark.parametrize(
    "rows",
    [
        rpc("r", S, status=None),
        rpc("r", S, status=-1, words="no answer", answered=5 * S),
        rpc("r", S, status=-2, words="closed"),
        rpc("r", S, answered=4 * S + 400_000),
        rpc("r", S, words="another a/b000"),
    ],
)
def test_a_try_without_its_own_answer_in_time_breaks_a_rule(rows):
    assert broken_rules(rows) == ["lost"]


def test_a_failed_gateway_or_link_and_a_client_that_gives_up_excuse_a_missing_answer():
    kill = [["process", 2 * S, GATEWAY, "SIGKILL", 9]]
    assert broken_rules(rpc("r", S, status=None), kill) == []
    assert broken_rules(rpc("r", 9 * S, status=None), kill, [["process", 3 * S, GATEWAY, "started", 9]]) == ["lost"]
    slow = [*kill, ["process", 3 * S, GATEWAY, "started", 9], ["told", 7 * S, GATEWAY, 5, True, []]]
    assert broken_rules(rpc("r", 6 * S, status=-2, words="closed"), slow) == []  # it does not listen yet
    assert broken_rules(rpc("r", 8 * S, status=-2, words="closed"), slow) == ["lost"]
    cut = [["fault", S, 0, "cut", True, [], "a/clients", "*"], ["fault", 3 * S, 0, "cut", False, [], "a/clients", "*"]]
    assert broken_rules(rpc("r", 2 * S, status=None), cut) == []
    assert broken_rules(rpc("r", 6 * S, status=None), cut) == ["lost"]
    assert broken_rules(rpc("r", S, status=-1, words="gave up")) == []


def test_repeated_effects_effects_despite_rejection_and_concurrent_attempts_are_found():
    both = call("r", S), call("r", S + S // 5, OTHER)
    assert broken_rules(rpc("r", S, READ), *both) == []
    assert broken_rules(rpc("r", S, ORDER), *both) == ["twice"]
    assert broken_rules(rpc("r", S, SWITCH), *both) == ["twice"]
    assert broken_rules(rpc("r", S, SWITCH, status=503, words=""), call("r", S, what="answer lost")) == ["twice"]
    assert broken_rules(rpc("r", S, READ), call("r", S, end=2 * S), call("r", S + S // 5, OTHER)) == ["twice"]
    # One that was given up on closed its connection: its answer was heard by nobody.
    unheard = call("r", S, end=2 * S, what="unheard ok")
    assert broken_rules(rpc("r", S, READ), unheard, call("r", S + S // 5, OTHER)) == []


def endpoints_sent(at, status, whole=False, gateway=GATEWAY):
    return [["told", at, gateway, 5, whole, [[BACKEND, status]] if status else []]]


def test_an_attempt_past_the_grace_of_a_drain_is_found_unless_the_gateway_may_not_know():
    late = rpc("r", 3 * S), call("r", 3 * S)
    assert broken_rules(endpoints_sent(0, "active", True), endpoints_sent(2 * S, "leaving"), *late) == ["drain"]
    assert broken_rules(endpoints_sent(0, "active", True), endpoints_sent(2 * S, None, True), *late) == ["drain"]
    assert broken_rules(endpoints_sent(0, "active", True), endpoints_sent(2 * S + 600_000, "leaving"), *late) == []
    assert (
        broken_rules(
            endpoints_sent(0, "active", True), endpoints_sent(S, "leaving"), endpoints_sent(2 * S, "active"), *late
        )
        == []
    )
    assert (
        broken_rules(
            endpoints_sent(0, "active", True),
            endpoints_sent(S, "leaving"),
            [["process", S, GATEWAY, "SIGKILL", 1], ["process", 2 * S, GATEWAY, "started", 1]],
            *late,
        )
        == []
    )


def test_overload_of_a_cold_backend_is_found():
    started = [["backend", S, BACKEND, "started"]]
    some = [row for n in range(60) for row in rpc(f"r{n}", S + n * 10_000) + call(f"r{n}", S + n * 10_000)]
    many = [row for n in range(500) for row in rpc(f"r{n}", S + n * 2_000) + call(f"r{n}", S + n * 2_000)]
    assert broken_rules(started, some) == []
    assert broken_rules(started, many) == ["cold"]
    assert broken_rules(many) == []


def test_an_exceeded_rate_limit_is_found():
    def burst(n):
        return [row for i in range(n) for row in rpc(f"w{i}", S + i, ORDER, 1) + call(f"w{i}", S + i)]

    assert broken_rules(burst(22)) == []
    assert "ceiling" in broken_rules(burst(40))


def test_a_lagging_stand_in_makes_a_run_void():
    rows = [["lag", n * 50_000, "front", 1.0] for n in range(100)]
    assert not Ledger(rows, SCENARIO, PLAN).void()
    rows += [["lag", n * 50_000, "links0", 400.0 if n % 10 == 0 else 1.0] for n in range(100)]
    assert "links0 was the limit" in Ledger(rows, SCENARIO, PLAN).void()


def test_figures_show_goodput_quotas_and_crossed_zones():
    arrivals = PLAN.arrivals[:50]
    rows = []
    for a in arrivals:
        id_ = f"n{a.number}"
        rows += [
            ["rpc", a.at_us, id_, a.number, a.customer, a.method, GATEWAY, 0, a.at_us + a.wait_us],
            ["ans", a.at_us + 50_000, id_, 200, f"{id_} x", 0.0],
        ] + call(id_, a.at_us, OTHER)
    figures = Ledger(rows, SCENARIO, PLAN).figures()
    assert 0 < figures["goodput"] < 0.2 and figures["crossed zones"] == 1.0 and figures["tries"] == 50
    assert abs(figures["ms p50"] - 50) < 1 and figures["refused"] == 0
