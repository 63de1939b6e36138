"""Clients' connections, and the life of one RPC."""

import asyncio

from loguru import logger

from stoneyoke.interface import Abort, CallOut, Outcome, PushBack
from stoneyoke.net.backends import Backends
from stoneyoke.net.http import Line, Malformed, Message, read_message, status_line, write_message
from stoneyoke.runtime import Clock, Held, Runtime
from stoneyoke.tally import Tally

KEPT_HEADERS = ((b"req-id", b"Req-Id: "), (b"idempotency-key", b"Idempotency-Key: "))
LONGEST_S = 3600.0  # a deadline beyond this, or units beyond 1e9, are absurd
MOST_UNITS = 1e9
PART_S = 10.0  # a head or body that has begun must be whole, an answer be taken, within this
LATE_CLIENTS_S = 0.5  # the protocol page: for up to 0.4 s after SIGTERM clients still come as if nothing were


class Asked:
    """What an RPC's head says, read and checked."""

    __slots__ = ("account", "method", "plan", "units", "until", "width")

    def __init__(self, message: Message, came: int, names: "Names") -> None:
        headers = message.headers
        path = message.target.split(b"?", 1)[0].split(b"/", 2)
        kind = needed(headers, b"req-kind")
        method = names.methods.get(kind)
        if method is None:
            raise Malformed(f"unknown method {kind[:40]!r}", 404)
        if len(path) < 2 or path[0] or path[1] != kind:
            raise Malformed(f"the path is not one of {kind[:40]!r}")
        if message.method not in (b"GET", b"POST"):
            raise Malformed(f"method {message.method[:20]!r} is not taken", 405)
        plan = names.plans.get(needed(headers, b"x-plan"))
        if plan is None:
            raise Malformed(f"unknown plan {headers[b'x-plan'][:40]!r}")
        needed(headers, b"req-id")
        self.method, self.plan = method, plan
        try:
            self.account = int(needed(headers, b"x-customer"), 16)
            wait_s = float(needed(headers, b"req-deadline"))
            quota = dict(part.split(b"=", 1) for part in needed(headers, b"x-quota").split(b","))
            self.units, self.width = float(quota[b"units"]), float(quota[b"spread"])
        except (ValueError, KeyError) as bad:
            raise Malformed(f"a field that can't be read: {bad}") from bad
        if not 0 <= self.account < 1 << 33 or len(headers[b"x-customer"]) != 16:
            raise Malformed("no customer of 16 hex digits under 2^33")
        if not 0 <= wait_s <= LONGEST_S:
            raise Malformed(f"absurd deadline {wait_s}")
        if not 0 < self.units <= MOST_UNITS or not 1 <= self.width <= MOST_UNITS:
            raise Malformed(f"absurd quota {headers[b'x-quota'][:40]!r}")
        self.until = came + int(wait_s * 1_000_000)


def needed(headers: dict[bytes, bytes], name: bytes) -> bytes:
    value = headers.get(name)
    if not value:
        raise Malformed(f"{name.decode()} is missing")
    return value


class Names:
    """The names of methods and plans, as they stand in heads."""

    def __init__(self, methods: list[str], plans: list[str]) -> None:
        self.methods = {name.encode(): at for at, name in enumerate(methods)}
        self.plans = {name.encode(): at for at, name in enumerate(plans)}


class Client:
    """One client's connection."""

    def __init__(self, line: Line, writer: asyncio.StreamWriter, now: int) -> None:
        self.line, self.writer = line, writer
        self.since = now  # when it fell idle, or its message or answer began
        self.idle = True  # nothing of a message has come, nothing is owed
        self.held: Held | None = None


class Clients:
    def __init__(self, clock: Clock, tally: Tally, runtime: Runtime, backends: Backends, names: Names,
                 slack_us: int, most: int) -> None:
        self.clock, self.tally, self.runtime, self.backends = clock, tally, runtime, backends
        self.names, self.slack_us, self.most = names, slack_us, most
        self.open: dict[asyncio.StreamWriter, Client] = {}  # emptied as connections close
        self.ending = False

    def line(self) -> Line:
        """For the server: the protocol of a connection that has just been accepted."""
        return Line(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A client's connection, from its first byte to its last."""
        line = writer.transport.get_protocol()
        assert isinstance(line, Line)
        if len(self.open) >= self.most and not self.make_room():
            self.tally.add("connections of clients: no descriptor left")
            return writer.transport.abort()
        client = self.open[writer] = Client(line, writer, self.clock.now())

        def came() -> None:
            if client.idle:
                client.idle, client.since = False, self.clock.now()

        def gone() -> None:
            if client.held:
                self.tally.add("RPCs: client gone")
                self.runtime.client_gone(client.held)

        line.on_bytes, line.on_close = came, gone
        self.tally.add("connections of clients")
        rest = b""
        try:
            while message := await read_message(reader, rest, client=False):
                rest = message.rest
                if client.idle:  # it came with the one before
                    client.idle, client.since = False, self.clock.now()
                await self.answer(client, message)
                if writer.transport.get_write_buffer_size():
                    client.since = self.clock.now()
                    await writer.drain()
                if not message.keeps or self.ending or writer.is_closing():
                    break
                client.since, client.idle = self.clock.now(), not rest
        except Malformed as bad:
            self.complain(client, bad)
        except OSError:
            self.tally.add("connections of clients: broken")
        finally:
            line.on_bytes = line.on_close = None
            del self.open[writer]
            writer.close()

    def complain(self, client: Client, bad: Malformed) -> None:
        self.tally.add(f"bad requests: {bad.status}")
        logger.warning("bad request: {}", bad)
        body = str(bad).encode()[:200] + b"\n"
        more = b"Content-Type: text/plain\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        write_message(client.writer, [status_line(bad.status), more], body)

    async def answer(self, client: Client, message: Message) -> None:
        if message.target == b"/healthz":
            self.tally.add("health checks")
            status, body = (503, b"ending\n") if self.ending else (200, b"ok\n")
            return self.put(client, message, status, body)
        status, body, more = await self.life(client, message)
        if client.writer.is_closing() or status == 0:
            return
        self.tally.add(f"answers: {status}")
        self.put(client, message, status, body, more)

    def put(self, client: Client, message: Message, status: int, body: bytes, more: bytes = b"") -> None:
        if self.ending or not message.keeps:
            more += b"Connection: close\r\n"
        write_message(client.writer, [status_line(status), more, b"Content-Length: %d\r\n" % len(body)], body)

    async def life(self, client: Client, message: Message) -> tuple[int, bytes, bytes]:
        """One RPC, from its head to its answer: status, body, more headers. Status 0: nobody waits."""
        asked = Asked(message, client.since, self.names)
        until = asked.until - self.slack_us  # so that the answer is there when the client's time is up
        self.tally.add("RPCs")
        held = client.held = self.runtime.take_in(
            asked.method, asked.plan, asked.account, asked.until, asked.units, asked.width)
        try:
            while True:
                wish = await held.wish()
                match wish:
                    case None:
                        return 0, b"", b""
                    case PushBack(_, wait_us):
                        self.tally.add("RPCs: pushed back")
                        return 429, b"", b"Retry-After: %.3f\r\n" % (wait_us / 1_000_000)
                    case Abort():
                        self.tally.add("RPCs: aborted")
                        return 502, b"", b""
                    case CallOut(_, backend, limit_us):
                        n, now = held.calls, self.clock.now()
                        held.calls += 1
                        end = min(until, now + limit_us) if limit_us else until
                        outcome, answer = await self.backends.call_out(
                            held, n, backend, self.head(message, end - now), message.body, end)
                        self.tally.add(f"call-outs: {outcome.value}")
                        self.runtime.call_out_ended(held, n, backend, outcome)
                        if outcome is Outcome.OK and answer and not held.gone:
                            self.tally.add("RPCs: ok")
                            kind = answer.headers.get(b"content-type")
                            return 200, answer.body, b"Content-Type: %s\r\n" % kind if kind else b""
        finally:
            client.held = None
            self.runtime.let_go(held)

    def head(self, message: Message, wait_us: int) -> list[bytes]:
        """A call-out's head: what must pass on unchanged, and how long this gateway waits."""
        head = [message.method, b" ", message.target, b" HTTP/1.1\r\nHost: ",
                message.headers.get(b"host", b"-"), b"\r\n"]
        for name, text in KEPT_HEADERS:
            if name in message.headers:
                head += (text, message.headers[name], b"\r\n")
        head.append(b"Req-Deadline: %.3f\r\n" % max(0.001, wait_us / 1_000_000))
        if message.body or message.method != b"GET":
            head.append(b"Content-Length: %d\r\n" % len(message.body))
        return head

    def make_room(self) -> bool:
        """Closes the connection that has been idle longest."""
        idle = [c for c in self.open.values() if c.idle]
        if idle:
            self.tally.add("connections of clients: closed for room")
            min(idle, key=lambda c: c.since).writer.transport.abort()
        return bool(idle)

    def sweep(self) -> None:
        """Ends what is stuck half way: heads, bodies, answers that nobody takes."""
        late = self.clock.now() - int(PART_S * 1_000_000)
        for client in list(self.open.values()):
            if not client.idle and client.held is None and client.since < late:
                self.tally.add("connections of clients: stuck")
                client.writer.transport.abort()

    async def finish(self) -> None:
        """After SIGTERM: takes in what still comes, answers what is held, then closes the rest."""
        await asyncio.sleep(LATE_CLIENTS_S)
        self.ending = True
        for client in list(self.open.values()):
            if client.idle:
                client.writer.close()
        while any(not c.idle for c in self.open.values()) or self.runtime.held:
            await asyncio.sleep(0.02)
