"""Interim: the instances as this controller knows them, and what of them others must know."""

import asyncio
from collections.abc import Callable, Mapping

from stoneyoke.api.calls import Acknowledged, Answer, Heartbeat, Leave, Unavailable
from stoneyoke.controlplane.instance_registry import InstanceRegistry, Row, row_of
from stoneyoke.controlplane.peers import Peer
from stoneyoke.controlplane.quorum import majority
from stoneyoke.controlplane.replication import Spawn
from stoneyoke.transport.messages import InstanceRefresh, InstanceUpdate, InstanceUpdateResponse, Message
from stoneyoke.transport.peers import PeerUnreachable

CALL_S, TELL_S, SWEEP_S, SETTLE_S = 0.7, 0.2, 0.25, 1.0


class DiscoveryService:
    def __init__(
        self,
        own_address: str,
        *,
        silent_s: float,
        fresh: bool,
        voters: Callable[[], tuple[str, ...]],
        peers: Callable[[], Mapping[str, Peer]],
        in_touch: Callable[[], bool],
        clock: Callable[[], float],
        changed: Callable[[], None],
        spawn: Spawn,
    ) -> None:
        self.own_address, self.voters, self.peers, self.in_touch = own_address, voters, peers, in_touch
        self.clock, self.changed, self.spawn = clock, changed, spawn
        self.registry, self.fresh, self.born = InstanceRegistry(silent_s), fresh, clock()
        self.told: dict[str, Row] = {}
        self.heard: dict[str, None] = {}

    def settled(self) -> bool:
        age = self.clock() - self.born
        return (
            self.fresh or age > SETTLE_S and (any(peer.settled for peer in self.peers().values()) or age > 3 * SETTLE_S)
        )

    def pulled_from(self, address: str, settled: bool) -> None:
        pass

    def apply_rows(self, rows: list[Row]) -> None:
        now = self.clock()
        if any([self.registry.hear(row, now) for row in rows]):
            self.changed()

    def updated(self, message: InstanceUpdate) -> InstanceUpdateResponse:
        self.apply_rows([Row(*row) for row in message.rows])
        return InstanceUpdateResponse()

    def refreshed(self, message: InstanceRefresh) -> InstanceUpdateResponse:
        now = self.clock()
        if any([self.registry.again(name, seq, now) for name, seq in message.beats]):
            self.changed()
        return InstanceUpdateResponse()

    async def heartbeat(self, beat: Heartbeat) -> Answer:
        if self.registry.hear(row_of(beat), self.clock()):
            self.changed()
        self.heard[beat.instance] = None
        if beat.draining:
            return await self.spread(self.registry.records[beat.instance].row)
        return Acknowledged() if self.in_touch() else Unavailable("cut off from most controllers")

    async def leave(self, asked: Leave) -> Answer:
        row = self.registry.leave(asked.instance, self.clock())
        self.changed()
        return await self.spread(row)

    async def spread(self, row: Row) -> Answer:
        if not self.in_touch():
            return Unavailable("cut off from most controllers")
        if await self.tell([row]) < majority(len(self.voters())):
            return Unavailable("too few controllers know yet")
        return Acknowledged()

    async def tell(self, rows: list[Row]) -> int:
        async def one(peer: Peer) -> bool:
            try:
                return isinstance(await peer.link.call(InstanceUpdate(list(rows)), CALL_S), InstanceUpdateResponse)
            except PeerUnreachable:
                return False

        voters = self.voters()
        know, enough = int(self.own_address in voters), majority(len(voters) or 1)
        waiting = {self.spawn(one(peer)): name for name, peer in self.peers().items()}
        while waiting and know < enough:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            know += sum(task.result() and waiting[task] in voters for task in done)
            for task in done:
                del waiting[task]
        return know

    async def tell_often(self) -> None:
        while True:
            await asyncio.sleep(TELL_S)
            names, self.heard = list(self.heard), {}
            if names:
                await self.tell_beats(self.registry.heard(names, self.clock()))
            if len(self.told) > 2 * len(self.registry.records) + 100:
                self.told.clear()

    async def tell_beats(self, rows: list[Row]) -> None:
        bare = [row._replace(call_seq=0, warm_s=float(row.warm_s > 0)) for row in rows]
        fresh = [row for row, what in zip(rows, bare, strict=True) if self.told.get(row.instance) != what]
        self.told |= {what.instance: what for what in bare}
        if fresh:
            await self.tell(fresh)
        if again := [(row.instance, row.call_seq) for row in rows if row not in fresh]:
            for peer in self.peers().values():
                self.spawn(self.send(peer, InstanceRefresh(again)))

    async def send(self, peer: Peer, message: Message) -> None:
        try:
            await peer.link.call(message, CALL_S)
        except PeerUnreachable:
            return

    async def sweep_often(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            seq = self.registry.seq
            self.registry.sweep(self.clock())
            if self.registry.seq > seq:
                self.changed()
