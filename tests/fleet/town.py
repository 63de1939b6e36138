"""Councils of many gateways on one clock and one network, both simulated and seeded, with faults between
them."""

import heapq
import itertools
import random

from stoneyoke.control.events import KnownBackend
from stoneyoke.fleet.agent import TICK, FleetAgent
from stoneyoke.fleet.messages import ALIVE, Member

SECOND = 1_000_000
START = 1_700_000_000 * SECOND
KEY = b"a key of the tests"
SILENT = 600_000


class Node:
    def __init__(self, town, number, name, life):
        self.town, self.number, self.name = town, number, name
        self.address = (f"10.0.{number // 250}.{number % 250 + 1}", 7000)
        self.skew = 0
        self.up, self.frozen, self.waiting = True, False, []
        self.sent_bytes = self.sent = 0
        self.liar = None  # what it says instead of what it saw
        self.counts = {}
        self.logged = []  # (time, member)
        seeds = town.seeds
        own = Member(name, *self.address, "abc"[number % 3], life)
        seed = town.random_source.getrandbits(60)
        self.agent = FleetAgent(own, seeds, town.keys, SILENT, seed, self.clock(), self.count)
        self.agent.listed(town.backends)
        self.rpcs = itertools.count(1)
        self.calls = []  # (time, backend)

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def clock(self):
        return self.town.now + self.skew

    def members(self):
        return {m.name for m in self.agent.members.present()}

    def alive(self):
        return {m.name for m in self.agent.members.alive()}


class Town:
    def __init__(self, count, seed=1, seeds=2, backends=0, loss=0.0, rate=0.0, answers=None, delay=(1_000, 5_000)):
        self.random_source = random.Random(seed)
        self.now, self.queue, self.order = START, [], itertools.count()
        self.loss, self.delay, self.rate = loss, delay, rate
        self.keys = [KEY]
        self.doubled = 0.0
        self.cut = lambda a, b: False
        self.answers = answers or (lambda node, backend, now: True)  # True, False, or None: silence
        self.backends = [KnownBackend(b, f"b{b}", "abc"[b % 3], 1) for b in range(backends)]
        self.nodes = []
        self.seeds = [(f"10.0.0.{n + 1}", 7000) for n in range(seeds)]
        self.by_address = {}
        for number in range(count):
            self.start(number)

    def start(self, number, name=None, life=None, at=None):
        """A new life of a gateway; its first tick comes at a time of its own."""
        node = Node(self, number, name or f"g{number}", life or self.now // 1000)
        if at:
            node.address = at
        self.nodes.append(node)
        self.by_address[node.address] = node
        self.at(self.random_source.randrange(TICK), self.tick, node)
        if self.rate:
            self.at(self.pause(), self.call, node)
        return node

    def kill(self, node):
        node.up = False

    def freeze(self, node, frozen):
        node.frozen = frozen
        if not frozen:
            for data in node.waiting:
                self.deliver(node, data)
            node.waiting = []

    def at(self, delay, work, *args):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), work, args))

    def run(self, seconds, each=None):
        until = self.now + int(seconds * SECOND)
        look = self.now
        while self.queue and self.queue[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self.queue)
            work(*args)
            if each and self.now >= look:
                look = self.now + 100_000
                if each():
                    return
        self.now = until

    def until(self, holds, seconds):
        """Runs until holds(); the time it took in seconds, or an assertion error after so many."""
        began, done = self.now, []

        def look():
            if holds():
                done.append(self.now)
            return bool(done)

        self.run(seconds, look)
        assert done, f"not within {seconds} s"
        return (done[0] - began) / SECOND

    # ---- the network ----

    def send(self, node, datagrams):
        for address, data in datagrams:
            node.sent_bytes += len(data)
            node.sent += 1
            to = self.by_address.get(address)
            if to is None or self.random_source.random() < self.loss or self.cut(node, to):
                continue
            for _ in range(2 if self.random_source.random() < self.doubled else 1):
                self.at(self.random_source.randrange(*self.delay), self.deliver, to, data)

    def deliver(self, node, data):
        if not node.up:
            return
        if node.frozen:
            node.waiting.append(data)
            return
        self.send(node, node.agent.datagram(data, node.clock()))

    def tick(self, node):
        if not node.up:
            return
        if not node.frozen:
            self.send(node, node.agent.tick(node.clock()))
            node.logged += [(self.now, m) for m in node.agent.changes()]
            if node.liar:
                node.agent.evidence.own = lambda now, asked=(): node.liar(node, now)
        self.at(TICK, self.tick, node)

    # ---- call-outs ----

    def pause(self):
        return int(self.random_source.expovariate(self.rate) * SECOND) + 1

    def call(self, node):
        """A call-out to some backend that is not left out, to one that is probed first."""
        if not node.up:
            return
        self.at(self.pause(), self.call, node)
        if node.frozen:
            return
        advice = node.agent.advice
        free = [b.index for b in self.backends if b.index not in advice.left_out]
        backend = min(advice.probed) if advice.probed else self.random_source.choice(free)
        rpc = next(node.rpcs)
        node.calls.append((self.now, backend))
        node.agent.evidence.sent(rpc, backend, node.clock())
        good = self.answers(node, backend, self.now)
        self.at(50_000 if good is not None else 2 * SILENT, self.answer, node, rpc, good)

    def answer(self, node, rpc, good):
        if node.up and not node.frozen:
            node.agent.evidence.ended(rpc, bool(good), node.clock())

    # ---- looks ----

    def lives(self):
        return [node for node in self.nodes if node.up and not node.frozen]

    def whole(self):
        """Everybody who runs knows all who run, as alive, and nobody else."""
        names = {node.name for node in self.lives()}
        return all(node.alive() == node.members() == names - {node.name} for node in self.lives())

    def leave_out(self, backend):
        """The part of the gateways that leave a backend out, or only probe it."""
        nodes = self.lives()
        return sum(backend in n.agent.advice.left_out | n.agent.advice.probed for n in nodes) / len(nodes)


def record(name="x", state=ALIVE, life=5, incarnation=0, by=""):
    return Member(name, "10.9.9.9", 7000, "a", life, incarnation, state, by)
