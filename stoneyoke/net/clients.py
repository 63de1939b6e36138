"""Clients' connections, and the life of one RPC."""

import asyncio
import fcntl
import sys
import termios
from functools import partial
from typing import cast

from loguru import logger

from stoneyoke.interface import Abort, CallOut, Effect, Outcome, PushBack, Terms
from stoneyoke.net.backends import Backends
from stoneyoke.net.http import Line, Malformed, Message, Messages, status_line, write_message
from stoneyoke.net.room import Room, Victim
from stoneyoke.runtime import Clock, Held, Runtime
from stoneyoke.tally import Tally

LONGEST_S = 3600.0  # a deadline beyond this, or units or a spread beyond the next, are absurd
MOST = 1e9
HEX = b"0123456789abcdefABCDEF"
PART_US = 10_000_000  # a head or body that has begun must be whole, and an answer be taken, within this
LINGER_S = 1.0  # after a 4xx that ends a connection: for this long what still comes is thrown away
LATE_CLIENTS_S = 0.5  # the protocol page: for up to 0.4 s after SIGTERM clients come as if nothing were
LAST_CLIENTS_S = 0.7  # the protocol page: what comes up to here after SIGTERM is still owed an answer


class Names:
    """The names of methods and plans, as they stand in heads."""

    def __init__(self, methods: list[str], plans: list[str], terms: Terms) -> None:
        self.methods = {name.encode(): at for at, name in enumerate(methods)}
        self.plans = {name.encode(): at for at, name in enumerate(plans)}
        self.with_key = {at for at, m in enumerate(terms.methods) if m.effect is Effect.DEDUPLICATED}


class Asked:
    """What an RPC's head says, read and checked."""

    __slots__ = ("account", "method", "plan", "units", "wait_us", "width")

    def __init__(self, message: Message, names: Names) -> None:
        kind, plan = needed(message, b"req-kind"), needed(message, b"x-plan")
        method, at = names.methods.get(kind), names.plans.get(plan)
        if method is None:
            raise Malformed(f"unknown method {kind[:40]!r}", 404)
        if at is None:
            raise Malformed(f"unknown plan {plan[:40]!r}")
        if message.target.partition(b"?")[0].split(b"/", 2)[:2] != [b"", kind]:
            raise Malformed(f"a path that is not one of {kind[:40]!r}")
        if message.method not in (b"GET", b"POST"):
            raise Malformed(f"{message.method[:20]!r} is not taken", 405)
        needed(message, b"req-id")
        if method in names.with_key:
            needed(message, b"idempotency-key")
        customer, quota = needed(message, b"x-customer"), needed(message, b"x-quota")
        try:
            self.account, wait_s = int(customer, 16), float(needed(message, b"req-deadline"))
            parts = dict(part.split(b"=", 1) for part in quota.split(b","))
            self.units, self.width = float(parts[b"units"]), float(parts[b"spread"])
            first = int(parts[b"first"])
        except (ValueError, KeyError) as bad:
            raise Malformed(f"a field that can't be read: {bad}") from bad
        if customer.strip(HEX) or len(customer) != 16 or self.account >= 1 << 33:
            raise Malformed("x-customer is no 16 hex digits under 2^33")
        if not 0 <= wait_s <= LONGEST_S:
            raise Malformed(f"absurd deadline {wait_s}")
        if not (0 < self.units <= MOST and 1 <= self.width <= MOST and 0 <= first <= MOST):
            raise Malformed(f"absurd quota {quota[:60]!r}")
        self.method, self.plan, self.wait_us = method, at, int(wait_s * 1_000_000)


def needed(message: Message, name: bytes) -> bytes:
    value = message.headers.get(name)
    if not value or name in message.repeated:
        raise Malformed(f"{name.decode()} {'comes twice' if value else 'is missing'}")
    return value


class Client:
    """One client's connection."""

    def __init__(self, writer: asyncio.StreamWriter, messages: Messages, now: int) -> None:
        self.writer, self.messages = writer, messages
        self.since = now  # when it fell idle, or when its message, or the writing of its answer, began
        self.idle = True  # nothing of a message has come, nothing is owed
        self.whole = False  # a message of it is, and not yet answered to the last byte
        self.held: Held | None = None
        self.gone = False

    def owed(self) -> bool:
        return self.whole and not self.gone

    def quiet(self) -> bool:
        """No whole message has come and no byte waits to be read: closing it loses no RPC."""
        if self.whole or not self.messages.hungry or self.writer.is_closing():
            return False
        count = fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, bytes(4))
        return int.from_bytes(count, sys.byteorder) == 0


class Clients:
    def __init__(self, clock: Clock, tally: Tally, runtime: Runtime, backends: Backends, names: Names,
                 slack_us: int, room: Room) -> None:
        self.clock, self.tally, self.runtime, self.backends = clock, tally, runtime, backends
        self.names, self.slack_us, self.room = names, slack_us, room
        room.victims.append(self.idle_longest)
        self.open: dict[asyncio.StreamWriter, Client] = {}  # emptied as connections close
        self.ending = False

    def line(self) -> Line:
        """For the server: the protocol of a connection that has just been accepted."""
        return Line(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A client's connection, from its first byte to its last."""
        line = cast(Line, writer.transport.get_protocol())
        if not self.room.take(spare=True):
            self.tally.add("connections of clients: no descriptor left")
            return writer.transport.abort()
        messages = Messages(reader, answers=False)
        client = self.open[writer] = Client(writer, messages, self.runtime.came())

        def came() -> None:
            messages.hungry = False
            if client.idle:
                client.idle, client.since = False, self.runtime.came()

        def gone() -> None:
            client.gone = True
            if client.held:
                self.runtime.client_gone(client.held)

        self.tally.add("connections of clients")
        line.on_bytes, line.on_close = came, gone
        try:
            while message := await messages.next():
                client.whole = True
                await self.answer(client, message)
                if writer.transport.get_write_buffer_size():
                    client.since = self.clock.now()
                    await writer.drain()
                if self.ending or not message.keeps or writer.is_closing():
                    break
                client.whole, client.idle, client.since = False, not messages.pending(), self.clock.now()
        except Malformed as bad:
            await self.complain(client, bad, reader)
        except OSError:
            self.tally.add("connections of clients: broken")
        except asyncio.CancelledError:  # the program ends
            writer.transport.abort()
        except Exception:  # a fault here costs this one connection, never the gateway
            logger.exception("a client's connection failed")
            self.tally.must(False, "connection failed")
        finally:
            line.on_bytes = line.on_close = None
            del self.open[writer]
            self.room.free()
            writer.close()

    async def complain(self, client: Client, bad: Malformed, reader: asyncio.StreamReader) -> None:
        """A plain 4xx. Closing at once would reset it away where more of the message is still on its way."""
        self.tally.report(f"bad input: {bad.status}", str(bad))
        body = str(bad).encode()[:200] + b"\n"
        more = b"Content-Type: text/plain\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        write_message(client.writer, [status_line(bad.status), more], body)
        client.since = self.clock.now()
        try:
            async with asyncio.timeout(LINGER_S):
                await client.writer.drain()
                client.writer.write_eof()
                while await reader.read(65_536):
                    pass
        except OSError:
            client.writer.transport.abort()

    async def answer(self, client: Client, message: Message) -> None:
        if message.target == b"/healthz" and message.method == b"GET":
            self.tally.add("health checks")
            status, body, more = (503, b"ending\n", b"") if self.ending else (200, b"ok\n", b"")
        else:
            status, body, more = await self.life(client, message)
            if status == 0 or client.writer.is_closing():
                return self.tally.add("RPCs: client gone")
        if self.ending or not message.keeps:
            more += b"Connection: close\r\n"
        head = [status_line(status), more, b"Content-Length: %d\r\n" % len(body)]
        write_message(client.writer, head, body)

    async def life(self, client: Client, message: Message) -> tuple[int, bytes, bytes]:
        """One RPC, from its head to its answer: status, body, more headers. Status 0: nobody waits."""
        asked = Asked(message, self.names)
        await self.runtime.catch_up()
        if client.gone:
            return 0, b"", b""
        until = client.since + asked.wait_us
        give_up_at = until - self.slack_us  # so that the answer is there when the client's time is up
        self.tally.add("RPCs")
        held = client.held = self.runtime.take_in(
            asked.method, asked.plan, asked.account, until, asked.units, asked.width)
        try:
            while True:
                match await held.wish(give_up_at):
                    case None if held.gone:
                        return 0, b"", b""
                    case PushBack(_, wait_us):
                        self.tally.add("RPCs: pushed back")
                        return 429, b"", b"Retry-After: %.3f\r\n" % (wait_us / 1_000_000)
                    case CallOut(_, backend, limit_us):
                        n, now = held.calls, self.clock.now()
                        held.calls += 1
                        end = min(give_up_at, now + limit_us) if limit_us else give_up_at
                        outcome, answer = await self.backends.call_out(
                            held, n, backend, head(message, end - now), message.body, end)
                        self.tally.add(f"call-outs: {outcome.value}")
                        await self.runtime.catch_up()
                        self.runtime.call_out_ended(held, n, backend, outcome)
                        if outcome is Outcome.OK and answer and not held.gone:
                            self.tally.add("RPCs: ok")
                            kind = answer.headers.get(b"content-type")
                            return 200, answer.body, b"Content-Type: %s\r\n" % kind if kind else b""
                    case wish:
                        self.tally.must(isinstance(wish, Abort), "RPC without an answer from the module")
                        self.tally.add("RPCs: aborted")
                        return 502, b"", b""
        finally:
            client.held = None
            self.runtime.let_go(held)

    def idle_longest(self) -> Victim | None:
        """Idle, else half way; never one on which an answer is owed."""
        for client in sorted(self.open.values(), key=lambda c: (not c.idle, c.since)):
            if client.quiet():
                return not client.idle, client.since, partial(self.close_for_room, client)
        return None

    def close_for_room(self, client: Client) -> None:
        self.tally.add("connections of clients: closed for room")
        client.writer.transport.abort()

    def sweep(self) -> None:
        """Ends what is stuck half way: heads and bodies that don't come, answers that nobody takes."""
        late = self.clock.now() - PART_US
        for client in list(self.open.values()):
            if not client.idle and client.held is None and client.since < late:
                self.tally.add("connections of clients: stuck")
                client.writer.transport.abort()

    async def take_late(self) -> None:
        """After SIGTERM: goes on as if nothing were while clients still come, then closes what is idle."""
        await asyncio.sleep(LATE_CLIENTS_S)
        self.ending = True
        for client in list(self.open.values()):
            if client.idle and client.quiet():
                client.writer.close()
        await asyncio.sleep(LAST_CLIENTS_S - LATE_CLIENTS_S)

    async def answer_held(self) -> None:
        """Ends once nothing is owed: as none listens any more, that is the longest deadline at most."""
        while any(c.owed() for c in self.open.values()):
            await asyncio.sleep(0.02)


def head(message: Message, wait_us: int) -> list[bytes]:
    """A call-out's head: what must pass on unchanged, and how long this gateway waits."""
    headers = message.headers
    lines = [message.method, b" ", message.target, b" HTTP/1.1\r\nHost: ", headers.get(b"host", b"-"),
             b"\r\nReq-Id: ", headers[b"req-id"],
             b"\r\nReq-Deadline: %.3f\r\n" % max(0.001, wait_us / 1_000_000)]
    if key := headers.get(b"idempotency-key"):
        lines += (b"Idempotency-Key: ", key, b"\r\n")
    if message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return lines
