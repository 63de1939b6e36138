"""Evaluates ledgers of hand-written rows: the violations of each rule are found, and none in rows without one."""

import pytest

from stoneyoke.lab.cli import SHIPPED_SCENARIOS
from stoneyoke.lab.ledger import Ledger
from stoneyoke.lab.plan import draw_plan
from stoneyoke.lab.scenario_file import read_scenario

SCENARIO = read_scenario(SHIPPED_SCENARIOS / "small.toml")
PLAN = draw_plan(SCENARIO, 1)
READ, ORDER, SWITCH = 0, 1, 2
GATEWAY, BACKEND, OTHER = "a/g000", "a/b000", "b/b001"
SECOND_US = 1_000_000


def customer(plan):
    return next(n for n, c in enumerate(PLAN.customers) if c.plan == plan)


def try_rows(  # noqa: PLR0913 -- a builder: each argument is a property that a test varies
    id_, at, method=READ, plan=0, gateway=GATEWAY, status=200, answered_at=None, words=None, deadline=None
):
    deadline = at + 3 * SECOND_US if deadline is None else deadline
    rows = [["rpc", at, id_, 1, customer(plan), method, gateway, 0, deadline]]
    if status is not None:
        rows.append(
            [
                "ans",
                at + SECOND_US // 10 if answered_at is None else answered_at,
                id_,
                status,
                f"{id_} {BACKEND}" if words is None else words,
                0.0,
            ]
        )
    return rows


def attempt_rows(  # noqa: PLR0913 -- a builder: each argument is a property that a test varies
    id_, at, backend=BACKEND, ran=True, end=None, outcome="ok"
):
    rows = [["call", at, id_, backend, 7]] + ([["ran", at, id_, backend, "k"]] if ran else [])
    return rows + [["end", at + SECOND_US // 20 if end is None else end, id_, backend, outcome]]


def violated_rules(*parts):
    return [v.rule for v in Ledger([row for part in parts for row in part], SCENARIO, PLAN).violations()]


def test_a_run_without_violations_reports_none():
    assert (
        violated_rules(
            try_rows("r1", SECOND_US),
            attempt_rows("r1", SECOND_US),
            try_rows("r2", 2 * SECOND_US, ORDER, status=429, words=""),
            try_rows("r3", SECOND_US, SWITCH),
            attempt_rows("r3", SECOND_US),
        )
        == []
    )


@pytest.mark.parametrize(
    "rows",
    [
        try_rows("r", SECOND_US, status=None),
        try_rows("r", SECOND_US, status=-1, words="no answer", answered_at=5 * SECOND_US),
        try_rows("r", SECOND_US, status=-2, words="closed"),
        try_rows("r", SECOND_US, answered_at=4 * SECOND_US + 400_000),
        try_rows("r", SECOND_US, words="another a/b000"),
    ],
)
def test_a_try_without_its_own_response_in_time_is_a_violation(rows):
    assert violated_rules(rows) == ["lost"]


def test_a_missing_response_is_no_violation_if_the_gateway_or_link_failed_or_the_client_gave_up():
    kill = [["process", 2 * SECOND_US, GATEWAY, "SIGKILL", 9]]
    assert violated_rules(try_rows("r", SECOND_US, status=None), kill) == []
    assert violated_rules(
        try_rows("r", 9 * SECOND_US, status=None), kill, [["process", 3 * SECOND_US, GATEWAY, "started", 9]]
    ) == ["lost"]
    restart = [*kill, ["process", 3 * SECOND_US, GATEWAY, "started", 9], ["told", 7 * SECOND_US, GATEWAY, 5, True, []]]
    # The gateway has started, but doesn't listen yet.
    assert violated_rules(try_rows("r", 6 * SECOND_US, status=-2, words="closed"), restart) == []
    assert violated_rules(try_rows("r", 8 * SECOND_US, status=-2, words="closed"), restart) == ["lost"]
    cut = [
        ["fault", SECOND_US, 0, "cut", True, [], "a/clients", "*"],
        ["fault", 3 * SECOND_US, 0, "cut", False, [], "a/clients", "*"],
    ]
    assert violated_rules(try_rows("r", 2 * SECOND_US, status=None), cut) == []
    assert violated_rules(try_rows("r", 6 * SECOND_US, status=None), cut) == ["lost"]
    assert violated_rules(try_rows("r", SECOND_US, status=-1, words="gave up")) == []


def test_repeated_executions_executions_despite_rejection_and_concurrent_attempts_are_found():
    attempts = attempt_rows("r", SECOND_US), attempt_rows("r", SECOND_US + SECOND_US // 5, OTHER)
    assert violated_rules(try_rows("r", SECOND_US, READ), *attempts) == []
    assert violated_rules(try_rows("r", SECOND_US, ORDER), *attempts) == ["twice"]
    assert violated_rules(try_rows("r", SECOND_US, SWITCH), *attempts) == ["twice"]
    assert violated_rules(
        try_rows("r", SECOND_US, SWITCH, status=503, words=""), attempt_rows("r", SECOND_US, outcome="answer lost")
    ) == ["twice"]
    assert violated_rules(
        try_rows("r", SECOND_US, READ),
        attempt_rows("r", SECOND_US, end=2 * SECOND_US),
        attempt_rows("r", SECOND_US + SECOND_US // 5, OTHER),
    ) == ["twice"]
    # The gateway cancelled the first attempt by closing its connection, so nobody received its response.
    cancelled = attempt_rows("r", SECOND_US, end=2 * SECOND_US, outcome="unheard ok")
    assert (
        violated_rules(try_rows("r", SECOND_US, READ), cancelled, attempt_rows("r", SECOND_US + SECOND_US // 5, OTHER))
        == []
    )


def endpoints_sent(at, status, complete=False, gateway=GATEWAY):
    return [["told", at, gateway, 5, complete, [[BACKEND, status]] if status else []]]


def test_an_attempt_after_the_grace_period_of_a_drain_is_found_unless_the_gateway_may_not_know_of_the_drain():
    late_attempt = try_rows("r", 3 * SECOND_US), attempt_rows("r", 3 * SECOND_US)
    assert violated_rules(
        endpoints_sent(0, "active", True), endpoints_sent(2 * SECOND_US, "leaving"), *late_attempt
    ) == ["drain"]
    assert violated_rules(
        endpoints_sent(0, "active", True), endpoints_sent(2 * SECOND_US, None, True), *late_attempt
    ) == ["drain"]
    assert (
        violated_rules(
            endpoints_sent(0, "active", True), endpoints_sent(2 * SECOND_US + 600_000, "leaving"), *late_attempt
        )
        == []
    )
    assert (
        violated_rules(
            endpoints_sent(0, "active", True),
            endpoints_sent(SECOND_US, "leaving"),
            endpoints_sent(2 * SECOND_US, "active"),
            *late_attempt,
        )
        == []
    )
    assert (
        violated_rules(
            endpoints_sent(0, "active", True),
            endpoints_sent(SECOND_US, "leaving"),
            [["process", SECOND_US, GATEWAY, "SIGKILL", 1], ["process", 2 * SECOND_US, GATEWAY, "started", 1]],
            *late_attempt,
        )
        == []
    )


def test_overload_of_a_cold_backend_is_found():
    started = [["backend", SECOND_US, BACKEND, "started"]]
    moderate_load = [
        row
        for n in range(60)
        for row in try_rows(f"r{n}", SECOND_US + n * 10_000) + attempt_rows(f"r{n}", SECOND_US + n * 10_000)
    ]
    excessive_load = [
        row
        for n in range(500)
        for row in try_rows(f"r{n}", SECOND_US + n * 2_000) + attempt_rows(f"r{n}", SECOND_US + n * 2_000)
    ]
    assert violated_rules(started, moderate_load) == []
    assert violated_rules(started, excessive_load) == ["cold"]
    assert violated_rules(excessive_load) == []


def test_an_exceeded_rate_limit_is_found():
    def burst(n):
        return [
            row
            for i in range(n)
            for row in try_rows(f"w{i}", SECOND_US + i, ORDER, 1) + attempt_rows(f"w{i}", SECOND_US + i)
        ]

    assert violated_rules(burst(22)) == []
    assert "ceiling" in violated_rules(burst(40))


def test_a_lagging_stand_in_makes_a_run_void():
    rows = [["lag", n * 50_000, "front", 1.0] for n in range(100)]
    assert not Ledger(rows, SCENARIO, PLAN).void_reason()
    rows += [["lag", n * 50_000, "links0", 400.0 if n % 10 == 0 else 1.0] for n in range(100)]
    assert "links0 was the limit" in Ledger(rows, SCENARIO, PLAN).void_reason()


def test_figures_show_goodput_quotas_and_crossed_zones():
    arrivals = PLAN.arrivals[:50]
    rows = []
    for a in arrivals:
        id_ = f"n{a.number}"
        rows += [
            ["rpc", a.at_us, id_, a.number, a.customer, a.method, GATEWAY, 0, a.at_us + a.wait_us],
            ["ans", a.at_us + 50_000, id_, 200, f"{id_} x", 0.0],
        ] + attempt_rows(id_, a.at_us, OTHER)
    figures = Ledger(rows, SCENARIO, PLAN).figures()
    assert 0 < figures["goodput"] < 0.2 and figures["crossed zones"] == 1.0 and figures["tries"] == 50
    assert abs(figures["ms p50"] - 50) < 1 and figures["refused"] == 0
