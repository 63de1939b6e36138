"""The whole system as real processes on loopback, two of which are killed; and the ledger, which detects violations."""

import asyncio
import os

import pytest

from stoneyoke.lab.cluster.traffic_ledger import Rule, TrafficLedger
from stoneyoke.lab.cluster.trial import TrialSettings, run_trial


@pytest.mark.xdist_group("cluster")
def test_killing_a_controller_and_a_gateway_violates_no_rule_and_runs_no_non_idempotent_request_twice():
    settings = TrialSettings(seconds=6.0, gateways=2, rate_per_s=30.0, seed=3, address_block=1 + os.getpid() % 250)
    ledger, client = asyncio.run(run_trial(settings))
    assert ledger.violations() == []
    assert client.served > 60 and client.given_up < 0.2 * client.served
    assert ledger.orders and all(ledger.executions[attempt_id] <= 1 for attempt_id in ledger.orders)


def test_the_ledger_detects_each_violation():
    ledger = TrafficLedger()
    ledger.orders |= {"a", "b"}
    ledger.statuses |= {"a": 200, "b": 503, "c": 200}
    ledger.executions.update({"a": 2, "b": 1, "z": 1})
    found = {(violation.rule, violation.detail.split()[0]) for violation in ledger.violations()}
    assert found == {
        (Rule.ONCE, "a"),
        (Rule.REJECTED_NEVER_RAN, "b"),
        (Rule.MATCHING_RESPONSE, "c"),
        (Rule.ONLY_REQUESTED, "z"),
    }
    assert len(ledger.violations()) == 4
    assert "TWICE: a ran 2 times" in map(str, ledger.violations())
