"""Agents of up to 200 simulated gateways with traffic: ejections, false reports, loss, and bytes sent."""

import pytest
from simulated_cluster import KEY, SECOND_US, START_US, SimulatedCluster, always_succeeds, member_record, no_partition

from stoneyoke.fleet.datagram_codec import DatagramCodec
from stoneyoke.fleet.messages import NO_AGE, BackendReport, Message, MessageKind
from stoneyoke.fleet.observations import backend_id

UNRESPONSIVE_BACKEND = 7


def unresponsive_from(at):
    return lambda gateway, backend, now: None if backend == UNRESPONSIVE_BACKEND and now >= at else True


def report_unhealthy(backends):
    return lambda gateway, now: [
        BackendReport(backend_id(gateway.cluster.backends[b]), 9, 9, NO_AGE, 0, 10) for b in backends
    ]


def bytes_per_second(cluster, seconds):
    before = sum(gateway.sent_bytes for gateway in cluster.gateways)
    cluster.run(seconds)
    return (sum(gateway.sent_bytes for gateway in cluster.gateways) - before) / seconds / len(cluster.gateways)


def test_200_gateways_eject_an_unresponsive_backend_and_reinstate_it_once_it_responds():
    """Each gateway sends 3 attempts a second to 40 backends.

    Without reports of others, 99% of the gateways would have tried the backend only after 60 s.
    """
    cluster = SimulatedCluster(200, backends=40, attempts_per_s=3.0, seed=5)
    cluster.run(15)
    assert cluster.ejecting_share(UNRESPONSIVE_BACKEND) == 0
    failed_at = cluster.now_us
    cluster.backend_outcome = unresponsive_from(failed_at)
    cluster.assert_within(20, lambda: cluster.ejecting_share(UNRESPONSIVE_BACKEND) >= 0.95)
    since = cluster.now_us + SECOND_US
    before = sum(gateway.sent_bytes for gateway in cluster.gateways)
    cluster.run(5)
    assert cluster.ejecting_share(UNRESPONSIVE_BACKEND) >= 0.85
    assert (sum(gateway.sent_bytes for gateway in cluster.gateways) - before) / 5 / 200 < 2_200
    later_attempts = [b for n in cluster.gateways for at, b in n.attempts if at > since]
    assert 3 <= later_attempts.count(UNRESPONSIVE_BACKEND) < 0.35 * len(later_attempts) / 40
    assert not any(cluster.ejecting_share(b) > 0.02 for b in range(40) if b != UNRESPONSIVE_BACKEND)
    cluster.backend_outcome = always_succeeds
    cluster.assert_within(30, lambda: cluster.ejecting_share(UNRESPONSIVE_BACKEND) <= 0.01)


def test_bytes_sent_by_each_gateway_do_not_grow_with_the_fleet():
    costs = {}
    for count in (20, 100):
        cluster = SimulatedCluster(count, backends=20, attempts_per_s=1.0)
        cluster.run(45)
        costs[count] = bytes_per_second(cluster, 10)
    assert costs[100] < 1.5 * costs[20] < 450, costs


@pytest.mark.parametrize("rate", [3.0, 0.1])
def test_false_reports_of_a_tenth_of_gateways_eject_no_healthy_backend(rate):
    cluster = SimulatedCluster(100, backends=20, attempts_per_s=rate, seed=2)
    for gateway in cluster.gateways[:10]:
        gateway.false_reports = report_unhealthy([1, 2, 3])
    cluster.run(10)
    highest_share = 0.0

    def observe():
        nonlocal highest_share
        highest_share = max(highest_share, *(cluster.ejecting_share(b) for b in (1, 2, 3)))

    cluster.run(30, observe)
    assert highest_share <= 0.1


def test_a_gateway_that_reports_most_backends_unhealthy_is_ignored():
    cluster = SimulatedCluster(12, backends=12, attempts_per_s=3.0)
    cluster.gateways[4].false_reports = report_unhealthy(range(12))
    cluster.gateways[5].false_reports = report_unhealthy(range(5))
    cluster.run(20)
    assert all(cluster.ejecting_share(b) == 0 for b in range(12))


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_lost_datagrams_cause_no_false_ejection_and_hide_no_unresponsive_backend(loss):
    cluster = SimulatedCluster(100, backends=20, attempts_per_s=3.0, loss=loss, seed=4)
    cluster.run(30)
    assert all(cluster.ejecting_share(b) == 0 for b in range(20))
    cluster.backend_outcome = unresponsive_from(cluster.now_us)
    cluster.assert_within(20, lambda: cluster.ejecting_share(UNRESPONSIVE_BACKEND) >= 0.95)


def test_random_failures_cause_no_ejection():
    cluster = SimulatedCluster(60, backends=20, attempts_per_s=3.0)
    random_source = cluster.random_source
    cluster.backend_outcome = lambda gateway, backend, now: random_source.random() > 0.1
    highest_share = 0.0

    def observe():
        nonlocal highest_share
        highest_share = max(highest_share, *(cluster.ejecting_share(b) for b in range(20)))

    cluster.run(40, observe)
    assert highest_share <= 0.05


def test_in_a_partition_each_side_ejects_only_backends_that_it_cannot_reach():
    """Backends 0 and 7 respond to one half only. The other half ejects them until the partition ends."""
    cluster = SimulatedCluster(40, backends=12, attempts_per_s=3.0)
    cluster.run(10)

    def in_different_halves(a, b):
        return a.number % 2 != b.number % 2

    cluster.is_partitioned = in_different_halves
    cluster.backend_outcome = (
        lambda gateway, backend, now: True if backend not in (0, 7) or gateway.number % 2 else None
    )
    odd = [n for n in cluster.gateways if n.number % 2]
    cluster.run(20)
    assert all(not n.agent.advice.ejected_backends for n in odd)
    assert sum(0 in n.agent.advice.ejected_backends for n in cluster.gateways if n.number % 2 == 0) >= 15
    cluster.is_partitioned, cluster.backend_outcome = no_partition, always_succeeds
    cluster.assert_within(40, lambda: all(cluster.ejecting_share(b) == 0 for b in range(12)))


def test_datagrams_that_are_refused_are_counted_and_change_nothing():
    cluster = SimulatedCluster(5)
    cluster.run(10)
    gateway = cluster.gateways[0]
    before = gateway.present()
    forged = DatagramCodec([b"not the key of it"]).encode(
        Message(member_record("evil"), 1, gateway.now_us(), MessageKind.PING, 1)
    )
    whole = DatagramCodec([KEY]).encode(
        Message(member_record("g3", started_at_ms=1), 1, gateway.now_us(), MessageKind.PING, 1)
    )
    for data in (forged, forged[:40], b"", bytes(5000), whole):
        for to, _ in gateway.agent.receive(data, gateway.now_us()):
            assert to != ("10.9.9.9", 7000) or data is whole
    assert gateway.present() == before and sum(gateway.counts.values()) > 4
    assert {what for what in gateway.counts if what != "fleet: datagrams"} == {
        "fleet: datagrams of an unknown key",
        "fleet: datagrams cut",
        "fleet: datagrams oversized",
        "fleet: datagrams of an earlier life",
    } | ({"fleet: datagrams forged"} & set(gateway.counts))


def test_the_same_seed_gives_the_same_run():
    def trace():
        cluster = SimulatedCluster(20, backends=6, attempts_per_s=2.0, loss=0.1, seed=9)
        cluster.run(10)
        return [(n.sent_datagrams, n.sent_bytes, n.attempts) for n in cluster.gateways]

    assert trace() == trace()
    assert START_US
