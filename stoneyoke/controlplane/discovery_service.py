"""Discovery at one controller: hears backends, tells other controllers, and says what a majority knows.

What is decided stands in instance_registry and startup_sync; this file asks them and carries out. Heartbeats and leaves
come in by `heartbeat` and `leave`, other controllers' tellings by `update`, `refresh` and `merge_rows`.

A drain or leave is acknowledged once a majority of the voters has it in memory:

* Answers are counted for ACK_WINDOW_S by the clock at the count, so also after this process stood still meanwhile. A
  voter that answered and has restarted since is not synced, and becomes so only by pulls after that time: see
  startup_sync. So its answer may be counted though what it knew is lost.
* The voters are the same at the start of the telling and at its end; else nothing is acknowledged.
* A process that stands still between its count and its answer: the backend takes an answer only within a second and
  calls the next gateway then, so a late one acknowledges nothing. One inside that second tells what was true at the
  count, and remains so: restarts after it do not matter to startup_sync. Others that still lack the drain are told all
  the same, by this telling or by their pulls.
* A process that stood still takes nothing for a while that others may have sent before, and says so."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from stoneyoke.api.calls import Acknowledged, Answer, Heartbeat, Leave, Unavailable
from stoneyoke.consensus.quorum import majority
from stoneyoke.controlplane.instance_registry import InstanceRegistry, row_from_heartbeat
from stoneyoke.controlplane.startup_sync import ACK_WINDOW_S, StartupSync
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import (
    HeartbeatRow,
    InstanceRefresh,
    InstanceRow,
    InstanceUpdate,
    InstanceUpdateResponse,
    Message,
)

FORWARD_INTERVAL_S = 0.2
SWEEP_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 2.0  # a sweep as late as that means that the process stood still
STALL_RECOVERY_S = 1.0  # for so long after it what arrives may have been sent before


class PeerLink(Protocol):
    """The way to another controller."""

    async def call(self, message: Message, within_s: float) -> Message:
        """Its answer. Raises PeerUnreachable."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What discovery needs of its controller. voters: the addresses of the current ones; peers: by address; has_quorum:
    with a majority of the voters; changed: wakes whoever waits for news."""

    own_address: str
    voters: Callable[[], tuple[str, ...]]
    peers: Callable[[], Mapping[str, PeerLink]]
    has_quorum: Callable[[], bool]
    clock: Callable[[], float]
    changed: Callable[[], None]
    spawn: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]


class DiscoveryService:
    """silent_s: see InstanceRegistry. heartbeat_round_s: see StartupSync."""

    def __init__(self, surroundings: Surroundings, *, silent_s: float, heartbeat_round_s: float) -> None:
        self.surroundings, self.clock = surroundings, surroundings.clock
        self.registry = InstanceRegistry(silent_s)
        self.startup_sync = StartupSync(surroundings.own_address, self.clock(), heartbeat_round_s)
        self.swept_at = self.clock()
        self.recovering_until = -1e9
        self.last_forwarded: dict[str, InstanceRow] = {}  # what other controllers were told of an instance last
        self.pending_heartbeats: dict[str, None] = {}  # instances whose heartbeats came here since others were told

    def mark_first_start(self) -> None:
        """To be called once the disk has shown that this is the whole system's first start."""
        self.startup_sync.mark_first_start()

    # ---- what backends say ----

    async def heartbeat(self, beat: Heartbeat) -> Answer:
        """One that says nothing new is acknowledged while this controller is in touch; a drain by a majority."""
        if self.recovering_from_stall():
            return Unavailable("stood still")
        if self.registry.merge(row_from_heartbeat(beat), self.clock()):
            self.surroundings.changed()
        self.pending_heartbeats[beat.instance] = None
        if beat.draining:
            return await self.acknowledge_by_majority(self.registry.records[beat.instance].row)
        return Acknowledged() if self.surroundings.has_quorum() else Unavailable("cut off from most controllers")

    async def leave(self, asked: Leave) -> Answer:
        row = self.registry.leave(asked.instance, self.clock())
        self.surroundings.changed()
        return await self.acknowledge_by_majority(row)

    async def acknowledge_by_majority(self, row: InstanceRow) -> Answer:
        """What must not be lost with this controller is acknowledged once a majority knows it."""
        if not self.surroundings.has_quorum():
            return Unavailable("cut off from most controllers")
        voters = self.surroundings.voters()
        known = await self.replicate([row], voters)
        if not voters or known < majority(len(voters)) or self.surroundings.voters() != voters:
            return Unavailable("too few controllers know yet")
        return Acknowledged()

    # ---- telling other controllers ----

    async def replicate(self, rows: list[InstanceRow], voters: tuple[str, ...]) -> int:
        """How many of the voters know of these, this controller included; not waiting once it is a majority. Those
        left over are told all the same."""
        begun_at, update = self.clock(), InstanceUpdate(instances=list(rows))
        known, enough = int(self.surroundings.own_address in voters), majority(len(voters) or 1)
        waiting = {
            self.surroundings.spawn(self.send(peer, update)): address
            for address, peer in self.surroundings.peers().items()
        }
        while waiting and known < enough:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                address = waiting.pop(task)
                known += address in voters and task.result() and self.clock() - begun_at <= ACK_WINDOW_S
        return known

    async def send(self, peer: PeerLink, message: InstanceUpdate | InstanceRefresh) -> bool:
        """Whether the peer has taken it."""
        with contextlib.suppress(PeerUnreachable):
            answer = await peer.call(message, ACK_WINDOW_S)
            return isinstance(answer, InstanceUpdateResponse) and answer.accepted
        return False

    async def run_forwarding(self) -> None:
        """Runs for as long as the process: what was heard goes on to the other controllers."""
        while True:
            await asyncio.sleep(FORWARD_INTERVAL_S)
            names, self.pending_heartbeats = list(self.pending_heartbeats), {}
            if names:
                await self.forward_heartbeats(self.registry.rows_of(names, self.clock()))
            if len(self.last_forwarded) > 2 * len(self.registry.records) + 100:
                self.last_forwarded.clear()

    async def forward_heartbeats(self, rows: list[InstanceRow]) -> None:
        """Rows whole where they replicate something new, else only that they were heard again."""
        bare = [row._replace(call_seq=0, warmup_left_s=float(row.warmup_left_s > 0)) for row in rows]
        new = [self.last_forwarded.get(what.instance) != what for what in bare]
        self.last_forwarded |= {what.instance: what for what in bare}
        if fresh := [row for row, is_new in zip(rows, new, strict=True) if is_new]:
            await self.replicate(fresh, self.surroundings.voters())
        if again := [
            HeartbeatRow(row.instance, row.call_seq) for row, is_new in zip(rows, new, strict=True) if not is_new
        ]:
            for peer in self.surroundings.peers().values():
                self.surroundings.spawn(self.send(peer, InstanceRefresh(heartbeats=again)))

    # ---- what other controllers replicate ----

    def handle_update(self, update: InstanceUpdate) -> InstanceUpdateResponse:
        """What may have been sent long ago is not taken."""
        if self.recovering_from_stall():
            return InstanceUpdateResponse(accepted=False)
        self.merge_rows(update.instances)
        return InstanceUpdateResponse()

    def handle_refresh(self, refresh: InstanceRefresh) -> InstanceUpdateResponse:
        if self.recovering_from_stall():
            return InstanceUpdateResponse(accepted=False)
        now = self.clock()
        if any([self.registry.refresh(name, call_seq, now) for name, call_seq in refresh.heartbeats]):
            self.surroundings.changed()
        return InstanceUpdateResponse()

    def merge_rows(self, rows: Iterable[InstanceRow]) -> None:
        """Rows that a pull or an update brought."""
        now = self.clock()
        if any([self.registry.merge(row, now) for row in rows]):
            self.surroundings.changed()

    def record_pull(self, address: str, synced: bool, begun_at: float) -> None:
        """To be called after each pull whose rows were heard whole; begun_at: when the request was sent."""
        before = self.startup_sync.synced
        self.startup_sync.update_voters(self.surroundings.voters(), self.clock())
        self.startup_sync.record_pull(address, synced, begun_at)
        if self.synced() != before:
            self.surroundings.changed()  # gateways that start wait for it

    # ---- time ----

    async def run_sweeper(self) -> None:
        """Runs for as long as the process."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        now, before = self.clock(), (self.registry.seq, self.startup_sync.synced)
        if now - self.swept_at > STALL_THRESHOLD_S:
            self.recovering_until = now + STALL_RECOVERY_S
        self.swept_at = now
        synced = self.synced()
        self.registry.sweep(now)
        if (self.registry.seq, synced) != before:
            self.surroundings.changed()

    def recovering_from_stall(self) -> bool:
        """This process stood still a moment ago: what arrives may have waited at its door."""
        now = self.clock()
        return now < self.recovering_until or now - self.swept_at > STALL_THRESHOLD_S

    def synced(self) -> bool:
        """This controller knows each drain that was acknowledged, as far as startup_sync says."""
        if self.recovering_from_stall() or not self.surroundings.has_quorum():
            self.startup_sync.note_gap(self.clock())
        return self.startup_sync.evaluate(self.surroundings.voters(), self.clock())
