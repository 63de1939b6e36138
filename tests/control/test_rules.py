"""Random runs: the guarantees for RPCs hold after every step, whatever the outcomes of attempts."""

from decision_bench import METHODS, DecisionBench, attempts_in, plan
from hypothesis import given, settings
from hypothesis import strategies as st

from stoneyoke.control.actions import CancelAttempt, FailRpc, Reject, StartAttempt
from stoneyoke.control.events import ClientGone, Endpoint, EndpointsChanged
from stoneyoke.control.parameters import AttemptOutcome, BackendState, DeduplicationScope, Idempotency

# Independent of PROVEN_NOT_RUN: after these outcomes no byte can have been sent, or the backend rejected the attempt.
NOT_RUN = (AttemptOutcome.REJECTED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.CUT, AttemptOutcome.NOT_SENT)
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 3), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(AttemptOutcome)),
    st.tuples(st.just("pass"), st.integers(1, 40), st.none()),
    st.tuples(st.just("list"), st.integers(0, 5), st.sampled_from(BackendState)),
    st.tuples(st.just("gone"), st.integers(0, 50), st.none()),
)
CEILING = {"ceiling_rate": 6.0, "ceiling_burst": 18.0}


class RuleChecker(DecisionBench):
    def __init__(self):
        super().__init__(plans=(plan(40.0, 120.0, **CEILING),), gateways=3)
        self.rpcs = {}  # by RPC: method, customer, deadline, attempts [(backend, time, outcome)], ended
        self.state = dict.fromkeys(range(6), BackendState.READY)
        self.ceilings = {}

    def check(self, before):
        for at, action in self.log[before:]:
            if isinstance(action, StartAttempt | Reject | FailRpc):
                rpc = self.rpcs[action.rpc]
                assert not rpc["ended"], "more than one final answer, or an attempt after it"
                method = METHODS[rpc["method"]]
                ran = [c for c in rpc["attempts"] if c[2] not in NOT_RUN]
                if isinstance(action, StartAttempt):
                    assert all(c[2] for c in rpc["attempts"]), "two attempts in flight at once"
                    assert self.state[action.backend] is BackendState.READY
                    assert at < rpc["deadline"]
                    if ran and method.idempotency is Idempotency.DEDUPLICATED:
                        assert at <= ran[0][1] + method.deduplication_window_us
                        assert (
                            method.deduplication_scope is DeduplicationScope.ALL or action.backend % 2 == ran[0][0] % 2
                        )
                    assert not (ran and method.idempotency is Idempotency.NON_IDEMPOTENT)
                    if not rpc["attempts"]:
                        level, last = self.ceilings.get(rpc["customer"], (0.0, self.log[0][0]))
                        level = min(6.0, level + 2.0 * (at - last) / 1e6) - 1
                        assert level >= -1e-6, "ceiling exceeded"
                        self.ceilings[rpc["customer"]] = level, at
                    rpc["attempts"].append([action.backend, at, None])
                else:
                    rpc["ended"] = True
                    if isinstance(action, Reject) and ran:
                        assert method.idempotency is not Idempotency.NON_IDEMPOTENT
                        assert (
                            method.idempotency is Idempotency.IDEMPOTENT
                            or method.deduplication_scope is DeduplicationScope.ALL
                        )
        for number, rpc in self.rpcs.items():
            if not rpc["ended"]:
                assert any(c[2] is None for c in rpc["attempts"]), f"RPC {number} has neither a response nor an attempt"

    def step(self, what, number, detail):
        before = len(self.log)
        if what == "arrive":
            self.rpcs[self.next_rpc + 1] = {
                "method": number,
                "customer": detail,
                "deadline": self.now + 2_500_000,
                "attempts": [],
                "ended": False,
            }
            self.arrive(number, detail)
        elif what == "end":
            out = [(r, n) for r, rpc in self.rpcs.items() for n, c in enumerate(rpc["attempts"]) if c[2] is None]
            if out:
                self.finish(*out[number % len(out)], detail)
        elif what == "pass":
            for _ in range(number):
                self.pass_time(50_000)
                for r, rpc in self.rpcs.items():
                    if not rpc["ended"] and self.now >= rpc["deadline"]:
                        self.finish(r, len(rpc["attempts"]) - 1, AttemptOutcome.TIMED_OUT)
        elif what == "list":
            self.state[number] = detail
            self.dispatch(EndpointsChanged(False, False, [Endpoint(number, number % 2, number % 3, 0, detail)]))
        elif self.rpcs:
            rpc = list(self.rpcs)[number % len(self.rpcs)]
            self.rpcs[rpc]["ended"] = True
            self.dispatch(ClientGone(rpc))
        self.check(before)

    def finish(self, number, attempt, outcome):
        """Ends an attempt; it is final if it succeeded or the RPC already has its response."""
        rpc = self.rpcs[number]
        rpc["attempts"][attempt][2] = outcome
        rpc["ended"] = rpc["ended"] or outcome is AttemptOutcome.OK
        self.end_attempt(number, attempt, rpc["attempts"][attempt][0], outcome, is_final=rpc["ended"])


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_after_every_step(steps):
    checker = RuleChecker()
    for step in steps:
        checker.step(*step)
    for rpc in list(checker.rpcs):  # ends all attempts in flight, after which no RPC may remain
        while any(c[2] is None for c in checker.rpcs[rpc]["attempts"]):
            before = len(checker.log)
            n = next(i for i, c in enumerate(checker.rpcs[rpc]["attempts"]) if c[2] is None)
            checker.finish(rpc, n, AttemptOutcome.OK)
            checker.check(before)
    assert not checker.gateway.rpcs.open
    assert all(not of.attempt < 0 for _, of in checker.log if isinstance(of, CancelAttempt))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers(0, 400), max_size=80))
def test_a_cold_backend_never_gets_more_than_its_budget_in_a_window(gaps):
    bench = DecisionBench(fleet=6, started={0: 1_000_000_000_000}, plans=(plan(9000.0, 9000.0),))
    times, peak = [], 1.0
    for gap in gaps:
        bench.pass_time(gap * 1000)
        for action in attempts_in(bench.arrive()):
            bench.end_attempt(bench.next_rpc, 0, action.backend)
            peak = max(peak, bench.gateway.backends.concurrency.responses_per_s)
            if action.backend == 0:
                times.append(bench.now)
    for at in times:
        window = [t for t in times if at <= t < at + 1_500_000]
        assert len(window) <= max(1, 2.0 * peak * 1.5)
