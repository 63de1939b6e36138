"""The discovery service of one controller: registers instances by their heartbeats and replicates them to its peers.

The decisions are in instance_registry and startup_sync; this module executes them. Heartbeats and leaves of instances
arrive in `heartbeat` and `leave`, rows of other controllers in `handle_update`, `handle_refresh` and `merge_rows`.

A drain or a leave is acknowledged once a majority of the voters has it in memory. The module handles four races:

* A voter responds, then restarts and loses the row, before its response is counted. Counting it is safe: responses
  count for at most ACK_WINDOW_S, by the counting controller's clock, and a restarted voter becomes synced again only
  by pulls that begin after that window (see startup_sync).
* The voters change while responses are counted. Unless they are the same before and after, nothing is acknowledged.
* A process is suspended between its count and its response to the instance. An instance accepts a response only within
  a second and then calls the next controller, so a later response acknowledges nothing. A response within that second
  states what was true at the count, and startup_sync tolerates restarts after the count. Controllers that still lack
  the drain receive it by the same update or by their pulls.
* A process was suspended, and messages sent before are still in its sockets. It refuses updates for a while, and says
  so in its responses.
"""

import asyncio
import contextlib
from collections.abc import Iterable

from stoneyoke.api.calls import Acknowledged, ApiResult, Heartbeat, Leave, Unavailable
from stoneyoke.consensus.quorum import majority
from stoneyoke.controlplane.cluster_view import ClusterView
from stoneyoke.controlplane.controller_context import ControllerContext
from stoneyoke.controlplane.instance_registry import InstanceRegistry, row_from_heartbeat
from stoneyoke.controlplane.peers import PeerLink
from stoneyoke.controlplane.startup_sync import ACK_WINDOW_S, StartupSync
from stoneyoke.transport.errors import PeerUnreachable
from stoneyoke.transport.messages import (
    HeartbeatRow,
    InstanceRefresh,
    InstanceRow,
    InstanceUpdate,
    InstanceUpdateResponse,
)

FORWARD_INTERVAL_S = 0.2
SWEEP_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 2.0  # this many seconds without a sweep mean that the process was suspended (stalled)
STALL_RECOVERY_S = 1.0  # messages received within this many seconds after a stall may have been sent before it
FORWARDED_SLACK = 100  # last_forwarded is cleared beyond twice the size of the registry plus this many instances
NEVER = -1e9

STALLED = Unavailable("stood still")
NO_QUORUM = Unavailable("cut off from most controllers")
TOO_FEW_VOTERS = Unavailable("too few controllers know yet")


class DiscoveryService:
    """The instances at one controller, and their replication to its peers."""

    def __init__(
        self,
        cluster: ClusterView,
        context: ControllerContext,
        *,
        silence_timeout_s: float,
        heartbeat_round_s: float,
    ) -> None:
        """Starts with no instances, not synced.

        Args:
            cluster: the current voters, links and quorum.
            context: shared parts of the controller.
            silence_timeout_s: see InstanceRegistry.
            heartbeat_round_s: see StartupSync.
        """
        self.cluster, self.context, self.clock = cluster, context, context.clock
        self.registry = InstanceRegistry(silence_timeout_s)
        self.startup_sync = StartupSync(cluster.own_address, self.clock(), heartbeat_round_s)
        self.swept_at = self.clock()
        self.recovering_until = NEVER
        self.last_forwarded: dict[str, InstanceRow] = {}  # the row last sent to the peers, by instance
        self.pending_heartbeats: dict[str, None] = {}  # instances with a heartbeat that is not forwarded yet

    def mark_first_start(self) -> None:
        """Marks this controller as synced; to be called if the disk shows that the system starts for the first time."""
        self.startup_sync.mark_first_start()

    # ---- calls of instances ----

    async def heartbeat(self, request: Heartbeat) -> ApiResult:
        """Handles a heartbeat.

        A heartbeat that reports a drain is acknowledged once a majority of the voters has the drain. Any other one is
        acknowledged by this controller alone, provided that it has a quorum.
        """
        if self.recovering_from_stall():
            return STALLED
        if self.registry.merge(row_from_heartbeat(request), self.clock()):
            self.context.changes.notify()
        self.pending_heartbeats[request.instance] = None
        if request.draining:
            return await self.acknowledge_by_majority(self.registry.records[request.instance].row)
        return Acknowledged() if self.cluster.has_quorum() else NO_QUORUM

    async def leave(self, request: Leave) -> ApiResult:
        """Handles an instance's leave, which is acknowledged once a majority of the voters has it."""
        row = self.registry.leave(request.instance, self.clock())
        self.context.changes.notify()
        return await self.acknowledge_by_majority(row)

    async def acknowledge_by_majority(self, row: InstanceRow) -> ApiResult:
        """Replicates a row that must survive the loss of this controller; acknowledges it once a majority has it."""
        if not self.cluster.has_quorum():
            return NO_QUORUM
        voters = self.cluster.voters()
        known = await self.replicate([row], voters)
        if not voters or known < majority(len(voters)) or self.cluster.voters() != voters:
            return TOO_FEW_VOTERS
        return Acknowledged()

    # ---- to other controllers ----

    async def replicate(self, rows: list[InstanceRow], voters: tuple[str, ...]) -> int:
        """Sends rows to all peers and returns how many of the voters have them, counting this controller if it votes.

        Returns as soon as a majority has them. The requests to the other peers continue in the background.
        """
        started_at, update = self.clock(), InstanceUpdate(instances=list(rows))
        known, required = int(self.cluster.own_address in voters), majority(len(voters) or 1)
        pending = {
            self.context.tasks.spawn(self.send(link, update)): address for address, link in self.cluster.links().items()
        }
        while pending and known < required:
            done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                address = pending.pop(task)
                in_window = self.clock() - started_at <= ACK_WINDOW_S
                known += address in voters and task.result() and in_window
        return known

    async def send(self, link: PeerLink, message: InstanceUpdate | InstanceRefresh) -> bool:
        """Sends a message and returns whether the peer accepted it."""
        with contextlib.suppress(PeerUnreachable):
            response = await link.call(message, ACK_WINDOW_S)
            return isinstance(response, InstanceUpdateResponse) and response.accepted
        return False

    async def run_forwarding(self) -> None:
        """Forwards heartbeats to the peers, for as long as the process runs."""
        while True:
            await asyncio.sleep(FORWARD_INTERVAL_S)
            names, self.pending_heartbeats = list(self.pending_heartbeats), {}
            if names:
                await self.forward_heartbeats(self.registry.rows_of(names, self.clock()))
            if len(self.last_forwarded) > 2 * len(self.registry.records) + FORWARDED_SLACK:
                self.last_forwarded.clear()

    async def forward_heartbeats(self, rows: list[InstanceRow]) -> None:
        """Sends changed rows in full and the others as refreshes, which are a fifth of the size."""
        changed: list[InstanceRow] = []
        repeated: list[HeartbeatRow] = []
        for row in rows:
            content = row._replace(call_seq=0, warmup_left_s=float(row.warmup_left_s > 0))
            if self.last_forwarded.get(row.instance) != content:
                self.last_forwarded[row.instance] = content
                changed.append(row)
            else:
                repeated.append(HeartbeatRow(row.instance, row.call_seq))
        if changed:
            await self.replicate(changed, self.cluster.voters())
        if repeated:
            for link in self.cluster.links().values():
                self.context.tasks.spawn(self.send(link, InstanceRefresh(heartbeats=repeated)))

    # ---- from other controllers ----

    def handle_update(self, update: InstanceUpdate) -> InstanceUpdateResponse:
        """Merges another controller's rows, unless they may have been sent before a stall of this process."""
        if self.recovering_from_stall():
            return InstanceUpdateResponse(accepted=False)
        self.merge_rows(update.instances)
        return InstanceUpdateResponse()

    def handle_refresh(self, refresh: InstanceRefresh) -> InstanceUpdateResponse:
        """Applies heartbeats that repeat known rows, unless they may have been sent before a stall of this process."""
        if self.recovering_from_stall():
            return InstanceUpdateResponse(accepted=False)
        now = self.clock()
        changes = [self.registry.refresh(name, call_seq, now) for name, call_seq in refresh.heartbeats]
        if any(changes):
            self.context.changes.notify()
        return InstanceUpdateResponse()

    def merge_rows(self, rows: Iterable[InstanceRow]) -> None:
        """Merges the rows of a pull or an update."""
        now = self.clock()
        changes = [self.registry.merge(row, now) for row in rows]
        if any(changes):
            self.context.changes.notify()

    def record_pull(self, address: str, synced: bool, request_sent_at: float) -> None:
        """Records a pull from another controller, after its rows were merged.

        Args:
            address: the controller that was pulled from.
            synced: whether that controller's response says that it is synced.
            request_sent_at: when the request was sent.
        """
        was_synced = self.startup_sync.synced
        self.startup_sync.update_voters(self.cluster.voters(), self.clock())
        self.startup_sync.record_pull(address, synced, request_sent_at)
        if self.synced() != was_synced:
            self.context.changes.notify()  # gateways that start wait until controllers are synced

    # ---- periodic work ----

    async def run_sweeper(self) -> None:
        """Sweeps for as long as the process runs."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Detects stalls of this process, removes expired records, updates whether this controller is synced."""
        now, before = self.clock(), (self.registry.seq, self.startup_sync.synced)
        if now - self.swept_at > STALL_THRESHOLD_S:
            self.recovering_until = now + STALL_RECOVERY_S
        self.swept_at = now
        synced = self.synced()
        self.registry.sweep(now)
        if (self.registry.seq, synced) != before:
            self.context.changes.notify()

    def recovering_from_stall(self) -> bool:
        """Returns whether this process was suspended until recently: messages may have waited in its sockets."""
        now = self.clock()
        return now < self.recovering_until or now - self.swept_at > STALL_THRESHOLD_S

    def synced(self) -> bool:
        """Returns whether this controller knows each acknowledged drain (see startup_sync)."""
        if self.recovering_from_stall() or not self.cluster.has_quorum():
            self.startup_sync.record_gap(self.clock())
        return self.startup_sync.evaluate(self.cluster.voters(), self.clock())
