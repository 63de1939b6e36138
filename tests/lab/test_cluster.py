"""The whole system as real processes on loopback, with two of them killed; and a ledger that can tell."""

import asyncio
import os

from stoneyoke.lab.cluster import Ledger, trial


def test_a_controller_and_a_gateway_are_killed_and_nothing_is_lost_or_doubled():
    ledger, client = asyncio.run(trial(6.0, 2, 30.0, 3, block=1 + os.getpid() % 250))
    assert ledger.judge() == []
    assert client.served > 60 and client.given_up < 0.2 * client.served
    assert ledger.orders and all(ledger.runs[mark] <= 1 for mark in ledger.orders)


def test_the_ledger_tells_what_must_not_be():
    ledger = Ledger()
    ledger.orders |= {"a", "b"}
    ledger.answers |= {"a": 200, "b": 503, "c": 200}
    ledger.runs.update({"a": 2, "b": 1, "z": 1})
    told = "\n".join(ledger.judge())
    assert all(word in told for word in ("TWICE: a", "REFUSED: b", "MIXED: c", "UNASKED: z"))
    assert len(ledger.judge()) == 4
