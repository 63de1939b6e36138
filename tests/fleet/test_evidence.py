"""The conditions under which one gateway ejects a backend, and those under which it must not."""

import pytest
from simulated_cluster import OVERDUE_AFTER_US, SECOND_US, START_US

from stoneyoke.control.events import KnownBackend
from stoneyoke.fleet.evidence import (
    MAX_EJECTION_US,
    MIN_CANDIDATE_US,
    MIN_UNHEALTHY_REPORTER_SHARE,
    OWN_SUCCESS_US,
    PROBE_SLOT_US,
    PROBERS_PER_SLOT,
    ZONE_EJECTION_DIVISOR,
    Evidence,
)
from stoneyoke.fleet.messages import NO_AGE, BackendReport
from stoneyoke.fleet.observations import MAX_REPORT_AGE_US, backend_id
from stoneyoke.fleet.peer_reports import REPORT_LIFETIME_US

BACKENDS = [KnownBackend(b, f"b{b}", "a", 1) for b in range(12)]
IDS = [backend_id(backend) for backend in BACKENDS]


def unhealthy(backend, age=0):
    return BackendReport(IDS[backend], 1, 1, NO_AGE, age, 10)


def healthy(backend, age=0):
    return BackendReport(IDS[backend], 1, 0, age, NO_AGE, 10)


def slow(backend):
    return BackendReport(IDS[backend], 3, 0, 0, NO_AGE, 40)


def new_evidence(name="me"):
    evidence = Evidence(name, OVERDUE_AFTER_US, START_US)
    evidence.set_backends(BACKENDS)
    return evidence


def receive_responses(evidence, reporters, reports, now=START_US, first=0):
    for n in range(first, first + reporters):
        evidence.receive_response(f"w{n}", reports, now)


def ejected_backends(evidence, now=START_US, others=20):
    """Returns the ejected backends.

    Ejections are updated twice, MIN_CANDIDATE_US apart, so that the candidates are old enough. With a million members
    this gateway is not chosen to probe.
    """
    evidence.update_ejections(now - MIN_CANDIDATE_US, others)
    evidence.update_ejections(now, others)
    return set(evidence.advice(now, 1_000_000).ejected_backends)


def test_a_backend_that_most_reporters_find_unhealthy_is_ejected():
    evidence = new_evidence()
    receive_responses(evidence, 8, [unhealthy(3)])
    receive_responses(evidence, 4, [healthy(3)], first=8)
    receive_responses(evidence, 8, [], first=12)
    assert ejected_backends(evidence) == {3}


def test_a_backend_that_is_slow_for_most_reporters_is_ejected():
    evidence = new_evidence()
    receive_responses(evidence, 8, [slow(3)])
    assert ejected_backends(evidence) == {3}


@pytest.mark.parametrize(
    "unhealthy_reporters, healthy_reporters, empty_responses",
    [
        (1, 0, 0),  # a single reporter, in however small a fleet
        (7, 0, 0),  # fewer than MIN_UNHEALTHY_REPORTER_SHARE of the minimum sample size
        (19, 0, 81),  # fewer than MIN_UNHEALTHY_REPORTER_SHARE of the reporters
        (40, 40, 0),  # half of the reporters that saw the backend
    ],
)
def test_too_few_unhealthy_reports_eject_nothing(unhealthy_reporters, healthy_reporters, empty_responses):
    evidence = new_evidence()
    receive_responses(evidence, unhealthy_reporters, [unhealthy(3)])
    receive_responses(evidence, healthy_reporters, [healthy(3)], first=unhealthy_reporters)
    receive_responses(evidence, empty_responses, [], first=unhealthy_reporters + healthy_reporters)
    assert ejected_backends(evidence, others=100 if unhealthy_reporters > 1 else 2) == set()


def test_the_documented_share_of_unhealthy_reporters_suffices():
    evidence = new_evidence()
    receive_responses(evidence, round(MIN_UNHEALTHY_REPORTER_SHARE * 300), [unhealthy(3)])
    assert ejected_backends(evidence, others=300) == {3}
    assert ejected_backends(new_evidence(), others=300) == set()


def test_a_candidate_is_ejected_only_after_its_minimum_time():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(3)])
    evidence.update_ejections(START_US, 20)
    evidence.update_ejections(START_US + MIN_CANDIDATE_US - 1, 20)
    assert not evidence.ejections
    evidence.update_ejections(START_US + MIN_CANDIDATE_US, 20)
    assert evidence.ejections


def test_a_reporter_counts_once_however_often_it_reports():
    evidence = new_evidence()
    for _ in range(50):
        evidence.receive_response("liar", [unhealthy(3)], START_US)
    assert ejected_backends(evidence) == set()


def test_a_reporter_that_finds_most_backends_unhealthy_does_not_count():
    evidence = new_evidence()
    receive_responses(evidence, 30, [unhealthy(b) for b in range(7)])
    assert ejected_backends(evidence) == set()
    receive_responses(evidence, 30, [unhealthy(b) for b in range(3)])
    assert ejected_backends(evidence) == {0, 1, 2}


def test_a_bounded_part_of_a_zone_is_ejected_highest_shares_first():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(b) for b in range(6)])
    receive_responses(evidence, 8, [healthy(b) for b in (0, 1)], first=20)
    ejected = ejected_backends(evidence)
    assert len(ejected) == 12 // ZONE_EJECTION_DIVISOR and ejected == {2, 3, 4, 5}


def test_a_zone_of_two_backends_loses_none():
    evidence = new_evidence()
    evidence.set_backends(BACKENDS[:2])
    receive_responses(evidence, 20, [unhealthy(0)])
    assert ejected_backends(evidence) == set()


def test_own_observations_override_reports():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(3)])
    evidence.attempt_started(1, 3, START_US)
    evidence.attempt_ended(1, True, START_US)
    assert ejected_backends(evidence) == set()
    receive_responses(evidence, 20, [unhealthy(3)], START_US + OWN_SUCCESS_US)
    assert ejected_backends(evidence, START_US + OWN_SUCCESS_US) == {3}


def test_an_ejection_ends_without_new_reports():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(3)])
    assert ejected_backends(evidence) == {3}
    assert ejected_backends(evidence, START_US + REPORT_LIFETIME_US - 1) == {3}
    assert ejected_backends(evidence, START_US + REPORT_LIFETIME_US) == set()


def test_observations_that_were_old_when_reported_do_not_count():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(3, age=MAX_REPORT_AGE_US // 100_000)])
    assert ejected_backends(evidence) == set()


def test_renewing_an_ejection_needs_fewer_reporters_and_ends_at_the_maximum_time():
    evidence = new_evidence()
    receive_responses(evidence, 100, [unhealthy(3)])
    assert ejected_backends(evidence, others=100) == {3}
    for second in range(5, 70, 5):
        now = START_US + second * SECOND_US
        receive_responses(evidence, 8, [unhealthy(3)], now)
        receive_responses(evidence, 92, [], now, first=8)
        assert ejected_backends(evidence, now, 100) == ({3} if second * SECOND_US < MAX_EJECTION_US else set())


def test_no_ejection_outlives_a_restart_or_removal_of_its_backend():
    evidence = new_evidence()
    receive_responses(evidence, 20, [unhealthy(3), unhealthy(4)])
    assert ejected_backends(evidence) == {3, 4}
    changed = [KnownBackend(3, "b3", "a", 9) if k.index == 3 else k for k in BACKENDS if k.index != 4]
    evidence.set_backends(changed)
    assert ejected_backends(evidence) == set()


def test_gateways_take_turns_to_probe_with_one_attempt_each():
    gateways = [new_evidence(f"g{n}") for n in range(60)]
    for evidence in gateways:
        receive_responses(evidence, 20, [unhealthy(3)])
        ejected_backends(evidence)
    probers = []
    for slot in range(40):
        now = START_US + slot * PROBE_SLOT_US
        slot_probers = [evidence.gateway for evidence in gateways if evidence.advice(now, 60).probed]
        probers += slot_probers
        for evidence in gateways:
            if evidence.advice(now, 60).probed:
                evidence.attempt_started(1, 3, now)
                assert evidence.advice(now, 60).probed == set() and 3 in evidence.advice(now, 60).ejected_backends
    assert 20 * PROBERS_PER_SLOT < len(probers) < 60 * PROBERS_PER_SLOT and len(set(probers)) > 40


def test_an_overdue_attempt_counts_as_failed_once_until_its_late_response():
    evidence = new_evidence()
    evidence.attempt_started(1, 3, START_US)
    for step in range(12):
        evidence.check_overdue(START_US + step * 100_000)
    (report,) = evidence.reports(START_US + SECOND_US)
    assert report.unhealthy and report.failures == 1 and report.backend_id == IDS[3]
    evidence.attempt_ended(1, True, START_US + 2 * SECOND_US)
    assert not any(e.unhealthy for e in evidence.reports(START_US + 2 * SECOND_US))


def test_attempts_pending_during_a_stall_are_not_reported_as_failures():
    evidence = new_evidence()
    evidence.attempt_started(1, 3, START_US)
    evidence.check_overdue(START_US + 100_000)
    evidence.check_overdue(START_US + 5 * SECOND_US)
    assert evidence.reports(START_US + 5 * SECOND_US) == []


def test_a_gateway_that_finds_most_backends_unhealthy_reports_none():
    evidence = new_evidence()
    for b in range(7):
        evidence.attempt_started(b, b, START_US)
        evidence.attempt_ended(b, False, START_US)
    assert evidence.reports(START_US) == []


def test_healthy_backends_are_reported_only_while_candidates():
    evidence = new_evidence()
    for b in (3, 4):
        evidence.attempt_started(b, b, START_US)
        evidence.attempt_ended(b, True, START_US)
    assert evidence.reports(START_US) == []
    receive_responses(evidence, 2, [unhealthy(3)])
    evidence.update_ejections(START_US, 20)
    assert [e.backend_id for e in evidence.reports(START_US)] == [IDS[3]]


@pytest.mark.parametrize(
    "ends, reported",
    [([True, False], True), ([False, True], False), ([True, True, True, False], True), ([None], False)],
)
def test_the_last_outcome_decides_whether_a_backend_is_reported_unhealthy(ends, reported):
    evidence = new_evidence()
    for n, end in enumerate(ends):
        evidence.attempt_started(n, 3, START_US + n * 1000)
        evidence.attempt_ended(n, end, START_US + n * 200_000)
    assert any(e.unhealthy for e in evidence.reports(START_US + 900_000)) is reported
