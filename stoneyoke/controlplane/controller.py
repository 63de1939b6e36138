"""A controller at work: ties the control plane's state to the disk, the other cores, gateways and callers.

What is decided stands in word, register, duties, ring and limits.shares; this file asks them and carries out."""

import asyncio
import contextlib
import json
import random
import time
import zlib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, ParamSpec, TypeVar

from loguru import logger

from stoneyoke.controlplane.voter_set import LOST_S, Reply, change, to_propose, wanted_size
from stoneyoke.controlplane.leases import RENEW_S, TTL_S, LeaseGranter, LeaseHolder
from stoneyoke.controlplane.quorum import majority
from stoneyoke.controlplane.instance_registry import Phase, InstanceRegistry, Row, row_of
from stoneyoke.controlplane.heartbeat_ring import HeartbeatWatch
from stoneyoke.controlplane.replica import NO_BALLOT, Ballot, VoterSet, ReplicaStatus, Replica
from stoneyoke.storage.record_store import RecordStore, StorageError
from stoneyoke.api.calls import (
    Answer,
    Asked,
    Heartbeat,
    Leave,
    ReadStatus,
    Acknowledged,
    ReadConfiguration,
    Rejected,
    ReplaceConfiguration,
    Unavailable,
    Document,
)
from stoneyoke.api.configuration import Configuration, Version, read_configuration
from stoneyoke.api.schema import InvalidField
from stoneyoke.limits.shares import FORGET_S, QuotaAllocator
from stoneyoke.transport.messages import (
    InstanceRefresh,
    FetchResponse,
    LeaseRequest,
    QuotaRequest,
    QuotaResponse,
    FetchRequest,
    LeaseResponse,
    StoreRequest,
    StoreResponse,
    Message,
    Muster,
    Mustered,
    PullResponse,
    PullRequest,
    InstanceUpdate,
    InstanceUpdateResponse,
)
from stoneyoke.transport.peers import PeerUnreachable, PeerClient

ANSWER_S = 0.85  # a caller moves on after a second of silence (PROTOCOL, The operator)
LARGE_S = 1.0 / (1 << 20)  # a second more for each MiB
CALL_S = 0.7
PULL_S = 0.25  # how long a core may hold another's pull
PAUSE_S = 0.15  # after a peer that did not answer
TELL_S = 0.2
TOUCH_S = 1.2  # a peer that answered within this is in touch
SETTLE_S = 1.0  # after a start; by then whoever is up has answered
CREW_S = 0.5
ABSTAIN_S = 3.0  # several times as long as a step of a round may take
UNRULED_S = 3.0  # nobody had the duty for so long: several leases
QUOTAS = "quotas"

P = ParamSpec("P")
R = TypeVar("R")


@dataclass(slots=True)
class Peer:
    """Another core: its wire, what it said of itself, and how far its news was heard."""

    wire: PeerClient
    vote: ReplicaStatus | None = None
    heard_at: float = -1e9
    life: str = ""
    seq: int = 0
    settled: bool = False
    pilots: tuple[str, ...] = ()  # whose beats it has heard
    keeper: str = ""  # who has the duty of the quotas, by its word
    leaving: bool = False
    steady_at: float = -1e9  # since when it has answered without a break
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


class Controller:
    """port: of the cores' station. silent_s: see InstanceRegistry."""

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        zone: str,
        hold: RecordStore,
        seeds: tuple[str, ...],
        *,
        first_start: bool,
        silent_s: float,
        bounds: dict[str, float],
        losses: int,
        clock: Callable[[], float] = time.monotonic,
        dial: Callable[[tuple[str, int]], PeerClient] = PeerClient,
        chance: random.Random | None = None,
    ) -> None:
        self.name, self.ip, self.port, self.zone, self.hold, self.clock = name, ip, port, zone, hold, clock
        self.dial, self.chance = dial, chance or random.SystemRandom()
        self.life, self.born = f"{self.chance.getrandbits(48):012x}", clock()
        self.seeds, self.first_start, self.bounds = seeds, first_start, bounds
        self.word, self.register, self.watch = Replica(ip), InstanceRegistry(silent_s), HeartbeatWatch(10.0)
        self.grantor, self.tenure = LeaseGranter(self.born, False), LeaseHolder()
        self.peers: dict[str, Peer] = {}
        self.keeper: QuotaAllocator | None = None
        self.chart: Configuration | None = None
        self.disk = asyncio.Lock()  # one record is written at a time
        self.alarm = asyncio.Event()  # set and renewed when gateways should hear of something
        self.told: dict[str, Row] = {}  # what other cores were told of an instance last
        self.heard: dict[str, None] = {}  # instances whose beats came to this core since it told others
        self.tasks: set[asyncio.Future[Any]] = set()  # kept until they are done
        self.fresh = first_start
        self.crew_size = wanted_size(losses)
        self.copy_at = 0.0  # not before, after a copy that could not be kept
        self.stood_at = -1e9  # when it got a vote back that its disk had lost
        self.leaving = False  # it ends soon, for good as far as it knows
        self.round = 0  # of changes of who votes
        self.roll = 0  # rises with each change of the cores and gateways known
        self.pilots: dict[str, tuple[Version, float, bool]] = {}  # by name: version, when, ready

    # ---- start ----

    async def start(self) -> None:
        word, wrong = await self.blocking(self.hold.load, "word")
        crew, wronger = await self.blocking(self.hold.load, "crew")
        for what in (*wrong, *wronger):
            logger.warning("disk: {}", what)
        self.fresh = self.first_start and crew is None
        version, body = Version(), b""
        if word and b"body" in word:
            try:
                self.chart = read_configuration(word[b"body"])
                version, body = self.chart.version, self.chart.body
            except InvalidField as bad:
                logger.error("disk: the configuration held can't be read: {}", bad)
                crew = None  # then this core does not know what it acknowledged: it copies before it votes
        self.word.found(read_crew(crew), bool(crew and crew.get(b"standing") == b"1"), version, body)
        self.word.promised, self.word.pending = read_change(crew)
        if self.fresh:
            self.word.first(self.seeds)
            await self.keep_crew()
        self.grantor = LeaseGranter(self.clock(), self.fresh)
        self.meet_core(*self.seeds, *self.word.crew.names)
        for work in (self.tell_often(), self.sweep_often(), self.do_duties(), self.tend_crew()):
            self.spawn(work)

    def spawn(self, work: Coroutine[Any, Any, R]) -> asyncio.Task[R]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def blocking(self, work: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
        return await asyncio.get_running_loop().run_in_executor(None, lambda: work(*args, **kwargs))

    def changed(self) -> None:
        """Whoever waits for news is answered."""
        self.alarm.set()
        self.alarm = asyncio.Event()

    async def leave(self, within_s: float) -> None:
        """Hands its vote to a core that may have it, if there is one; returns then, or when the time is up."""
        self.leaving = True
        self.changed()
        now, crew = self.clock(), self.word.crew
        if not any(name not in crew.names and now - peer.heard_at < TOUCH_S for name, peer in self.peers.items()):
            return
        try:
            async with asyncio.timeout(within_s):
                while self.ip in self.word.crew.names:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            logger.warning("left as a voter of crew {}", self.word.crew.number)

    # ---- the operator's word on disk ----

    async def keep_word(self, chart: Configuration) -> None:
        """On disk when this returns, if it is higher than what is held. Raises StorageError."""
        async with self.disk:
            if not self.word.rises(chart.version):
                return
            await self.blocking(self.hold.keep, "word", {b"body": chart.body})
            self.word.hold(chart.version, chart.body)
            self.chart = chart
        self.changed()

    async def keep_crew(self) -> None:
        async with self.disk:
            crew = self.word.crew
            await self.blocking(
                self.hold.keep,
                "crew",
                {
                    b"number": b"%d" % crew.number,
                    b"names": ",".join(crew.names).encode(),
                    b"standing": b"%d" % self.word.standing,
                    b"promised": json.dumps(self.word.promised).encode(),
                    b"pending": json.dumps(self.word.pending).encode(),
                },
            )
        self.changed()

    # ---- other cores ----

    def meet_core(self, *names: str) -> None:
        for name in names:
            if name and name != self.ip and name not in self.peers:
                self.roll += 1
                peer = self.peers[name] = Peer(self.dial((name, self.port)))
                peer.tasks.append(self.spawn(self.follow(name, peer)))

    async def follow(self, name: str, peer: Peer) -> None:
        """Pulls what another core knows, for as long as this process lives."""
        while True:
            try:
                await self.pull(peer, int(PULL_S * 1000))
                await asyncio.sleep(0.05)
            except PeerUnreachable:
                await asyncio.sleep(PAUSE_S)
            except Exception:
                logger.exception("following {} failed", name)
                await asyncio.sleep(1.0)

    async def pull(self, peer: Peer, wait_ms: int) -> None:
        news = await peer.wire.call(
            PullRequest(
                self.name,
                self.ip,
                "controller",
                self.zone,
                peer.life,
                peer.seq,
                stamp(self.word.version),
                True,
                False,
                wait_ms,
                self.life,
                -1,
            ),
            CALL_S + wait_ms / 1000,
        )
        if not isinstance(news, PullResponse):
            raise PeerUnreachable("an answer of another kind")
        now = self.clock()
        if now - peer.heard_at > TOUCH_S or peer.life != news.life:
            peer.steady_at = now
        if peer.life != news.life:
            peer.vote = None  # its disk may be another
        peer.heard_at, peer.life, peer.seq, peer.settled = now, news.life, news.seq, news.settled
        peer.pilots, peer.keeper, peer.leaving = tuple(news.pilots), news.keeper, news.leaving
        for row in news.rows:
            if self.register.hear(Row(*row), now):
                self.changed()
        self.meet_core(*news.cores)
        await self.voted(peer, Version(*news.stamp), VoterSet(news.crew_number, tuple(news.crew)), news.standing)

    async def voted(self, peer: Peer, version: Version, crew: VoterSet, standing: bool) -> None:
        """Another core has said what it holds: a higher configuration is copied, a newer list of voters too."""
        if peer.vote:  # what it said in answer to a StoreRequest may have overtaken this; within a life it only rises
            version = max(version, peer.vote.version)
        peer.vote = ReplicaStatus(version, crew, standing)
        if self.word.rises(version):
            await self.copy(peer)
        votes = self.votes()
        if (newer := self.word.learn_crew(votes)) and self.word.sure(newer):
            logger.info("crew {}: {}", newer.number, newer.names)
            await self.try_disk(self.keep_crew())
        if self.word.may_stand(self.votes(fresh=True)):
            self.word.standing, self.stood_at = True, self.clock()
            logger.info("copied enough to vote: {}", self.word.version)
            if not await self.try_disk(self.keep_crew()):
                self.word.standing = False

    async def try_disk(self, work: Awaitable[None]) -> bool:
        try:
            await work
            return True
        except StorageError as bad:
            logger.error("disk: {}", bad)
            return False

    async def copy(self, peer: Peer) -> None:
        if self.clock() < self.copy_at:
            return
        bill = await peer.wire.call(FetchRequest(), CALL_S + 1.0)
        if isinstance(bill, FetchResponse) and bill.body:
            try:
                await self.keep_word(read_configuration(zlib.decompress(bill.body)))
            except (InvalidField, StorageError, zlib.error) as bad:
                self.copy_at = self.clock() + 1.0  # the disk refuses: not at every telling
                logger.error("a configuration from {} is not kept: {}", peer.wire.address[0], bad)

    def votes(self, fresh: bool = False) -> dict[str, ReplicaStatus]:
        """What the other cores said; fresh: of late."""
        now = self.clock()
        return {
            name: peer.vote
            for name, peer in self.peers.items()
            if peer.vote and (not fresh or now - peer.heard_at < TOUCH_S)
        }

    def in_touch(self) -> bool:
        """More than half of the voters, this one included, are heard."""
        now, crew = self.clock(), self.word.crew.names
        near = sum(name == self.ip or name in self.peers and now - self.peers[name].heard_at < TOUCH_S for name in crew)
        return bool(crew) and near >= majority(len(crew))

    def settled(self) -> bool:
        return (
            self.fresh
            or self.clock() - self.born > SETTLE_S
            and (any(peer.settled for peer in self.peers.values()) or self.clock() - self.born > 3 * SETTLE_S)
        )

    async def tell(self, rows: list[Row]) -> int:
        """How many of the voters know of these now, this one included."""

        async def one(peer: Peer) -> bool:
            try:
                return isinstance(await peer.wire.call(InstanceUpdate(list(rows)), CALL_S), InstanceUpdateResponse)
            except PeerUnreachable:
                return False

        crew = self.word.crew.names
        know, enough = int(self.ip in crew), majority(len(crew) or 1)
        waiting = {self.spawn(one(peer)): name for name, peer in self.peers.items()}
        while waiting and know < enough:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            know += sum(task.result() and waiting[task] in crew for task in done)
            for task in done:
                del waiting[task]
        return know  # the rest hear of it all the same

    async def tell_often(self) -> None:
        while True:
            await asyncio.sleep(TELL_S)
            names, self.heard = list(self.heard), {}
            if names:
                await self.tell_beats(self.register.heard(names, self.clock()))
            if len(self.told) > 2 * len(self.register.records) + 100:
                self.told.clear()

    async def tell_beats(self, rows: list[Row]) -> None:
        """Rows whole where they tell something new, else only that they were heard again."""
        bare = [row._replace(call_seq=0, warm_s=float(row.warm_s > 0)) for row in rows]
        fresh = [row for row, what in zip(rows, bare, strict=True) if self.told.get(row.instance) != what]
        self.told |= {what.instance: what for what in bare}
        if fresh:
            await self.tell(fresh)
        if again := [(row.instance, row.call_seq) for row in rows if row not in fresh]:
            for peer in self.peers.values():
                self.spawn(self.send(peer, InstanceRefresh(again)))

    async def send(self, peer: Peer, message: Message) -> None:
        with contextlib.suppress(PeerUnreachable):
            await peer.wire.call(message, CALL_S)

    async def sweep_often(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            seq = self.register.seq
            self.register.sweep(self.clock())
            if self.watch.sweep(self.clock()):
                self.roll += 1
                self.changed()
            elif self.register.seq > seq:
                self.changed()

    # ---- duties ----

    async def do_duties(self) -> None:
        while True:
            now, crew = self.clock(), self.word.crew.names
            held = self.tenure.holds(now)
            _, holder, _ = self.grant_of(QUOTAS)
            if now < self.grantor.silent_until:  # nobody can have it before
                await asyncio.sleep(max(0.01, self.grantor.silent_until - now))
                continue
            if self.word.votes() and (held or not holder or holder == self.ip):
                if not held:  # those with a lower place go first
                    await asyncio.sleep(0.1 * crew.index(self.ip) + 0.05 * self.chance.random())
                await self.ask_duty(crew)
            if self.tenure.holds(self.clock()) != held or not held:
                self.keep_quotas()
            await asyncio.sleep(RENEW_S if held else 0.2)

    async def ask_duty(self, crew: tuple[str, ...]) -> None:
        began = self.clock()
        self.tenure.ask(began)
        number = self.tenure.number
        ok, _, _ = self.grantor.ask(QUOTAS, self.ip, self.life, TTL_S, began, self.tenure.number)
        self.tenure.answer(self.ip, ok, crew, began, began)

        async def one(name: str, peer: Peer) -> None:
            try:
                answer = await peer.wire.call(
                    LeaseRequest(QUOTAS, self.ip, self.life, int(TTL_S * 1000), number), CALL_S
                )
            except PeerUnreachable:
                return
            if isinstance(answer, LeaseResponse) and answer.crew_number == self.word.crew.number:
                self.tenure.answer(name, answer.ok and answer.standing, crew, began, self.clock())

        asked = [self.spawn(one(name, self.peers[name])) for name in crew if name in self.peers]
        if asked:
            await asyncio.wait(asked, timeout=0.3)
        if not self.tenure.holds(self.clock()):
            # Rivals that each hold a part of the voters would renew that for ever: given back, and by chance later.
            self.tenure.ask(self.clock())
            self.grantor.ask(QUOTAS, self.ip, self.life, 0.0, self.clock(), self.tenure.number)
            for name in crew:
                if name in self.peers:
                    self.spawn(
                        self.send(self.peers[name], LeaseRequest(QUOTAS, self.ip, self.life, 0, self.tenure.number))
                    )
            await asyncio.sleep(0.3 * self.chance.random())

    def keep_quotas(self) -> None:
        now = self.clock()
        if not self.tenure.holds(now):
            if self.keeper:
                logger.info("duty of the quotas: ended")
                self.changed()
            self.keeper = None
        elif self.keeper is None:
            logger.info("duty of the quotas: taken")
            self.keeper = QuotaAllocator(self.bounds, now, self.gateways())
            self.changed()

    def gateways(self) -> list[str]:
        """Those that were there of late, by this core's word or another's: they may hold parts."""
        now = self.clock()
        return sorted(
            {name for name, (_, at, _) in self.pilots.items() if now - at < FORGET_S}
            | {name for peer in self.peers.values() if now - peer.heard_at < FORGET_S for name in peer.pilots}
        )

    # ---- who votes ----

    async def tend_crew(self) -> None:
        """Whoever holds the duty also changes who votes, and ends changes that were left half way. With one left half
        way too few may vote for anybody to get the duty: then each that votes tries to end it, at a time of its own."""
        ruled_at = self.clock()
        while True:
            await asyncio.sleep(CREW_S * (0.8 + 0.4 * self.chance.random()))
            now, crew = self.clock(), self.word.crew
            held = self.tenure.holds(now)
            if (
                held
                or self.grant_of(QUOTAS)[1]
                or any(peer.keeper for peer in self.peers.values() if now - peer.heard_at < TOUCH_S)
            ):
                ruled_at = now
            if not self.word.member() or not held and now - ruled_at < UNRULED_S:
                continue
            silent = {
                name: LOST_S + 1 if self.peers[name].leaving else now - max(self.peers[name].heard_at, self.born)
                for name in crew.names
                if name in self.peers
            }
            if self.leaving:
                silent[self.ip] = LOST_S + 1
            steady = {
                name: now - peer.steady_at
                for name, peer in self.peers.items()
                if now - peer.heard_at < TOUCH_S and peer.vote and not peer.leaving
            }
            wish = change(crew, silent, steady, self.crew_size) if held else crew.names
            half_way = self.word.pending is not None or any(
                vote.crew.number == crew.number and not vote.standing and name in crew.names
                for name, vote in self.votes(fresh=True).items()
            )
            if wish != crew.names or half_way:
                try:
                    await self.change_crew(crew, wish)
                except (PeerUnreachable, StorageError) as bad:
                    logger.warning("the change of crew {} was not ended: {}", crew.number, bad)

    async def muster(self, names: tuple[str, ...], asked: Muster) -> list[tuple[Reply, Version, str]]:
        """The answers to one step of a round, this core's own first; not waiting for the rest once enough agree."""

        async def one(name: str) -> tuple[Reply, Version, str] | None:
            try:
                said = await (self.mustered(asked) if name == self.ip else self.peers[name].wire.call(asked, CALL_S))
            except (PeerUnreachable, KeyError):
                return None
            if not isinstance(said, Mustered):
                return None
            pending = (said.pending_ballot, tuple(said.pending)) if said.pending else None
            return (
                Reply(said.ok, VoterSet(said.crew_number, tuple(said.crew)), said.promised, pending),
                Version(*said.stamp),
                name,
            )

        heard = [await one(self.ip)] if self.ip in names else []
        waiting = {self.spawn(one(name)) for name in names if name != self.ip}
        while waiting and sum(said is not None and said[0].ok for said in heard) < majority(len(names)):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            heard += [task.result() for task in done]
        return [said for said in heard if said]

    async def change_crew(self, crew: VoterSet, wish: tuple[str, ...]) -> None:
        """One change, from its round to the list being sure; whatever breaks it off leaves it to the next."""
        self.round = max(self.round, self.word.promised[0]) + 1
        ballot, number, enough = (self.round, self.ip), crew.number + 1, majority(len(crew.names))
        said = await self.muster(crew.names, Muster("promise", number, ballot, []))
        self.round = max([self.round] + [reply.promised[0] for reply, _, _ in said])
        if sum(reply.ok for reply, _, _ in said) < enough:
            return
        names = to_propose(wish, [reply for reply, _, _ in said])
        if names == crew.names:
            return
        said = await self.muster(crew.names, Muster("accept", number, ballot, list(names)))
        if sum(reply.ok for reply, _, _ in said) < enough:
            return
        version, holder = max((version, name) for reply, version, name in said if reply.ok)
        if self.word.rises(version) and holder in self.peers:
            await self.copy(self.peers[holder])
        if self.word.version < version or await self.copy_to(names) < majority(len(names)):
            raise PeerUnreachable("what was acknowledged is not on a majority of the new crew yet")
        self.word.sure(VoterSet(number, names))
        await self.keep_crew()
        logger.info("crew {}: {}", number, names)
        await self.muster(tuple(sorted({*crew.names, *names} - {self.ip})), Muster("sure", number, ballot, list(names)))

    async def copy_to(self, names: tuple[str, ...]) -> int:
        """How many of these hold what this core holds, or more, on their disks."""
        version, body = self.word.version, self.word.body

        async def one(name: str) -> bool:
            if name == self.ip or not body:
                return True
            try:
                kept = await self.peers[name].wire.call(
                    StoreRequest(self.word.crew.number, stamp(version), body), ANSWER_S + LARGE_S * len(body)
                )
            except (PeerUnreachable, KeyError):
                return False
            return isinstance(kept, StoreResponse) and Version(*kept.stamp) >= version

        count, waiting = 0, {self.spawn(one(name)) for name in names}
        while waiting and count < majority(len(names)):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            count += sum(task.result() for task in done)
        return count  # the rest are told all the same

    async def mustered(self, asked: Muster) -> Mustered:
        word, ok = self.word, False
        # One that lost its disk may have promised or accepted before: rounds of then are over after this.
        fit = self.clock() - self.stood_at > ABSTAIN_S
        match asked.step:
            case "promise":
                ok = fit and word.promise(asked.number, asked.ballot)
            case "accept":
                ok = fit and word.accept(asked.number, asked.ballot, tuple(asked.crew))
            case "sure":
                ok = word.sure(VoterSet(asked.number, tuple(asked.crew)))
        ok = ok and await self.try_disk(self.keep_crew())
        ballot, names = word.pending or (NO_BALLOT, ())
        return Mustered(
            ok, word.crew.number, list(word.crew.names), word.promised, ballot, list(names), stamp(word.version)
        )

    def grant_of(self, duty: str) -> tuple[bool, str, float]:
        grant, now = self.grantor.grants.get(duty), self.clock()
        return (True, grant.holder, grant.until - now) if grant and now < grant.until else (False, "", 0.0)

    # ---- what others ask over the station ----

    async def meet(self, message: Message) -> Message | None:
        match message:
            case PullRequest():
                return await self.pulled(message)
            case FetchRequest():
                return FetchResponse(stamp(self.word.version), zlib.compress(self.word.body, 6))
            case StoreRequest():
                return await self.keep(message)
            case InstanceUpdate(rows):
                now = self.clock()
                if any([self.register.hear(Row(*row), now) for row in rows]):
                    self.changed()
                return InstanceUpdateResponse()
            case InstanceRefresh(beats):
                now = self.clock()
                if any([self.register.again(name, seq, now) for name, seq in beats]):
                    self.changed()
                return InstanceUpdateResponse()
            case LeaseRequest(duty, holder, life, ttl_ms, number):
                ok, has, left = False, "", 0.0
                if self.word.votes():
                    ok, has, left = self.grantor.ask(duty, holder, life, ttl_ms / 1000, self.clock(), number)
                return LeaseResponse(ok, has, int(left * 1000), self.word.crew.number, self.word.votes())
            case QuotaRequest():
                return self.draw(message)
            case Muster():
                return await self.mustered(message)
        return None

    async def pulled(self, asked: PullRequest) -> PullResponse:
        if asked.kind == "controller":
            self.meet_core(asked.ip)
        else:
            now = self.clock()
            self.pilots[asked.name] = (Version(*asked.stamp), now, asked.ready)
            if asked.beat and self.watch.beat(asked.name, now):
                self.roll += 1
                self.changed()
        alarm, version = self.alarm, Version(*asked.stamp)
        known = asked.life == self.life
        if (
            known
            and asked.seq >= self.register.seq
            and self.word.version <= version
            and asked.wait_ms > 0
            and (asked.roll == self.roll or asked.kind == "controller")
        ):
            try:
                async with asyncio.timeout(min(asked.wait_ms, 2000) / 1000):
                    await alarm.wait()
            except TimeoutError:
                pass
        now, crew = self.clock(), self.word.crew
        rows = self.register.since(asked.seq if known else 0, now)
        _, keeper, _ = self.grant_of(QUOTAS)
        return PullResponse(
            self.life,
            self.register.seq,
            not known,
            list(rows),
            stamp(self.word.version),
            self.word.votes(),
            self.settled(),
            crew.number,
            list(crew.names),
            keeper,
            self.leaving,
            self.zone,
            self.roll,
            *([], []) if known and asked.roll == self.roll else ([self.ip, *self.peers], list(self.watch.seen)),
        )

    async def keep(self, asked: StoreRequest) -> StoreResponse:
        version = Version(*asked.stamp)
        if self.word.rises(version) and asked.body:
            try:
                chart = read_configuration(asked.body)
                if chart.version == version:
                    await self.keep_word(chart)
            except (InvalidField, StorageError) as bad:
                logger.error("not kept: {}", bad)
        return StoreResponse(stamp(self.word.version), self.word.crew.number, self.word.votes())

    def draw(self, asked: QuotaRequest) -> QuotaResponse:
        now = self.clock()
        if not self.keeper or not self.tenure.holds(now):
            return QuotaResponse(False, [])
        self.keeper.plans(self.chart.tenants or [] if self.chart else [])
        return QuotaResponse(
            True, self.keeper.draw(asked.name, asked.life, asked.deaf_ms / 1000, asked.full, asked.wants, now)
        )

    # ---- what backends and operators ask at the desk ----

    async def call(self, asked: Asked) -> Answer:
        match asked:
            case Heartbeat():
                return await self.beat(asked)
            case Leave(instance):
                row = self.register.leave(instance, self.clock())
                self.changed()
                return await self.spread(row, instance)
            case ReplaceConfiguration(chart):
                return await self.replace(chart)
            case ReadConfiguration():
                return await self.read_back()
            case ReadStatus():
                return Document(json.dumps(self.look(), indent=1).encode())

    async def beat(self, beat: Heartbeat) -> Answer:
        row = row_of(beat)
        if self.register.hear(row, self.clock()):
            self.changed()
        self.heard[beat.instance] = None
        if beat.draining:
            return await self.spread(self.register.records[beat.instance].row, beat.instance)
        return Acknowledged() if self.in_touch() else Unavailable("cut off from most cores")

    async def spread(self, row: Row, instance: str) -> Answer:
        """What must not be lost with this core is acknowledged once a majority knows it."""
        if not self.in_touch():
            return Unavailable("cut off from most cores")
        if await self.tell([row]) < majority(len(self.word.crew.names)):
            return Unavailable("too few cores know yet")
        return Acknowledged()

    async def replace(self, chart: Configuration) -> Answer:
        """Acknowledged once it, or what is above it, is on a majority of the voters' disks."""
        if not self.word.crew.number:
            return Unavailable("who votes is not known yet")
        if not self.in_touch():
            return Unavailable("cut off from most cores")
        if not self.word.rises(chart.version) and self.chart:
            chart = self.chart
        version, done = chart.version, asyncio.Event()

        async def own() -> None:
            await self.try_disk(self.keep_word(chart))
            done.set()

        async def one(peer: Peer) -> None:
            try:
                kept = await peer.wire.call(StoreRequest(self.word.crew.number, stamp(version), chart.body), limit)
            except PeerUnreachable:
                return
            if (
                isinstance(kept, StoreResponse) and kept.crew_number == self.word.crew.number
            ):  # of another list: by its news
                before = peer.vote.version if peer.vote else Version()
                peer.vote = ReplicaStatus(max(before, Version(*kept.stamp)), self.word.crew, kept.standing)
                peer.heard_at = self.clock()
                done.set()

        limit = ANSWER_S + LARGE_S * len(chart.body)
        until = asyncio.get_running_loop().time() + limit
        self.spawn(own())
        for peer in self.peers.values():
            self.spawn(one(peer))
        try:
            async with asyncio.timeout_at(until):
                while not self.word.kept(version, self.votes()):
                    await done.wait()
                    done.clear()
        except TimeoutError:
            logger.warning("{} has no majority yet", version)
            return Unavailable("no majority holds it yet")
        return Acknowledged()

    async def read_back(self) -> Answer:
        async def one(peer: Peer) -> bool:
            try:
                await self.pull(peer, 0)
                return True
            except PeerUnreachable:
                return False

        asked_at = self.clock()
        waiting = {self.spawn(one(self.peers[name])) for name in self.word.crew.names if name in self.peers}
        try:
            async with asyncio.timeout(ANSWER_S):
                while True:
                    fresh = {
                        name: peer.vote for name, peer in self.peers.items() if peer.vote and peer.heard_at >= asked_at
                    }
                    newest = self.word.newest(fresh)
                    if newest is not None and self.word.version >= newest:
                        break
                    if not waiting:
                        return Unavailable("too few cores answer")
                    _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        except TimeoutError:
            return Unavailable("too few cores answer")
        if not self.word.body:
            return Rejected(404, "generation", "no configuration has been put yet")
        return Document(self.word.body)

    def look(self) -> dict[str, object]:
        now, crew = self.clock(), self.word.crew
        return {
            "name": self.name,
            "address": self.ip,
            "version": str(self.word.version),
            "votes": self.word.votes(),
            "crew": {"number": crew.number, "voters": list(crew.names)},
            "in_touch": self.in_touch(),
            "keeper": self.grant_of(QUOTAS)[1],
            "cores": {
                name: {
                    "version": str(peer.vote.version) if peer.vote else None,
                    "votes": bool(peer.vote and peer.vote.standing),
                    "silent_s": round(now - peer.heard_at, 2),
                }
                for name, peer in self.peers.items()
            },
            "pilots": {
                name: {"version": str(version), "silent_s": round(now - at, 2), "ready": ready}
                for name, (version, at, ready) in self.pilots.items()
            },
            "backends": {
                name: {
                    "service": record.row.service,
                    "address": record.row.address,
                    "phase": Phase(record.row.phase).name.lower(),
                    "zone": record.row.zone,
                    "silent_s": round(now - record.heard_at, 2),
                }
                for name, record in self.register.records.items()
            },
        }


def stamp(version: Version) -> tuple[int, bytes]:
    return version.number, version.digest


def read_crew(record: dict[bytes, bytes] | None) -> VoterSet | None:
    if not record:
        return None
    try:
        names = tuple(name for name in record[b"names"].decode().split(",") if name)
        return VoterSet(int(record[b"number"]), names) if names else None
    except (KeyError, ValueError):
        return None


def read_change(record: dict[bytes, bytes] | None) -> tuple[Ballot, tuple[Ballot, tuple[str, ...]] | None]:
    """What was promised and accepted in the change of who votes that was under way."""
    if not record or b"promised" not in record:
        return NO_BALLOT, None
    promised, pending = json.loads(record[b"promised"]), json.loads(record[b"pending"])
    return (promised[0], promised[1]), (((pending[0][0], pending[0][1]), tuple(pending[1])) if pending else None)
