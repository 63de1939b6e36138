"""Leases: at most one holder, whatever happens to messages and processes."""

import random

from ward import each, test

from stoneyoke.controlplane.leases import HOLDER_TTL_FRACTION, LEASE_TTL_S, GrantRequest, LeaseGranter, LeaseHolder
from stoneyoke.lab.simulation.defects.in_scenarios import seeded

NAMES = ("a", "b", "c")
STEPS = 400
RESTART_CHANCE = 0.02
ROUND_CHANCE = 0.3
REQUEST_ARRIVAL_CHANCE = 0.7
RESPONSE_ARRIVAL_CHANCE = 0.8


def request(holder, incarnation, round_number, ttl_s=LEASE_TTL_S):
    return GrantRequest(
        lease_name="quotas", holder=holder, incarnation=incarnation, ttl_s=ttl_s, round_number=round_number
    )


class LeaseHistory:
    """Voters that are also candidates. Messages are lost, late or out of order; voters and candidates restart."""

    def __init__(self, seed):
        self.random_source = random.Random(seed)
        self.granters = {name: LeaseGranter(0.0, True) for name in NAMES}
        self.holders = {name: LeaseHolder() for name in NAMES}
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.requests, self.responses, self.now = [], [], 0.0  # in flight, each with its time of arrival first

    def step(self):
        chance = self.random_source.random
        self.now += self.random_source.expovariate(20)
        name = self.random_source.choice(NAMES)
        if chance() < RESTART_CHANCE:
            self.granters[name] = LeaseGranter(self.now, False)
        if chance() < RESTART_CHANCE:
            self.holders[name] = LeaseHolder()
            self.incarnations[name] += 1
            return
        if chance() < ROUND_CHANCE:
            self.start_round(name)
        self.deliver_requests()
        self.deliver_responses()

    def start_round(self, candidate):
        holder = self.holders[candidate]
        holder.start_round(self.now)
        sent = request(candidate, f"{candidate}-{self.incarnations[candidate]}", holder.round_number)
        for voter in NAMES:
            if self.random_source.random() < REQUEST_ARRIVAL_CHANCE:
                arrives_at = self.now + self.random_source.random() * 0.3
                self.requests.append((arrives_at, candidate, voter, self.now, sent))

    def deliver_requests(self):
        for message in sorted((one for one in self.requests if one[0] <= self.now), key=lambda one: one[:4]):
            self.requests.remove(message)
            _, candidate, voter, round_started_at, sent = message
            granted = self.granters[voter].request(sent, self.now).granted
            if self.random_source.random() < RESPONSE_ARRIVAL_CHANCE:
                delay_s = self.random_source.choice((0.0, 0.05, 1.5)) * self.random_source.random()
                self.responses.append((self.now + delay_s, candidate, voter, granted, round_started_at))

    def deliver_responses(self):
        for message in sorted(one for one in self.responses if one[0] <= self.now):
            self.responses.remove(message)
            _, candidate, voter, granted, round_started_at = message
            if granted:
                self.holders[candidate].record_grant(voter, NAMES, round_started_at)

    def current_holders(self):
        return [name for name in NAMES if self.holders[name].is_held(self.now)]


@test("a lease has at most one holder, whatever messages are lost, late or retried and whatever processes restart")
def _():
    assert HOLDER_TTL_FRACTION < 1
    for seed in range(300):
        history = LeaseHistory(seed)
        for _ in range(STEPS):
            history.step()
            holders = history.current_holders()
            assert len(holders) <= 1, f"{seed} {history.now} {holders}"


def late_release_changes_nothing():
    """Returns whether a release of an older round, which arrives after a newer grant, leaves that grant valid."""
    granter = LeaseGranter(0.0, True)
    granter.request(request("a", "life", 2), 1.0)
    granter.request(request("a", "life", 1, ttl_s=0.0), 1.1)
    return not granter.request(request("b", "other", 1), 1.2).granted


def restarted_voter_waits():
    """Returns whether a restarted voter grants nothing until a lease granted by its previous process has expired."""
    granter = LeaseGranter(0.0, False)
    early = granter.request(request("b", "other", 1), 0.9 * LEASE_TTL_S)
    late = granter.request(request("b", "other", 1), LEASE_TTL_S)
    return not early.granted and late.granted


@test("a late release and a restart free no lease that hasn't expired; the defect {defect} is detected")
def _(
    holds=each(late_release_changes_nothing, restarted_voter_waits),
    defect=each("late_release_counts", "grants_right_after_start"),
):
    assert holds()
    with seeded(defect):
        assert not holds()
