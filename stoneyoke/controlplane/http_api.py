"""One generic handler for the calls of backends and operators over HTTP/1.1: reads, asks, answers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from loguru import logger

from stoneyoke.api.calls import Answer, Asked, Rejected, Unavailable, answer, ask
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol

IDLE_S = 30.0


class HttpApi:
    """`meet` carries out what was asked and says what came of it."""

    def __init__(self, meet: Callable[[Asked], Awaitable[Answer]], body_top: int) -> None:
        self.meet, self.body_top = meet, body_top

    async def open(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: StreamProtocol(self.serve), *address, backlog=512)

    def close(self) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        messages = MessageReader(reader, responses=False, body_max_bytes=self.body_top)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    message = await messages.next()
                if message is None:
                    break
                given: Answer | Rejected
                try:
                    asked = ask(message.method.decode("ascii"), message.target.decode("ascii"), message.body)
                    given = asked if isinstance(asked, Rejected) else await self.meet(asked)
                except UnicodeDecodeError:
                    given = Rejected(400, "path", "characters that are not ASCII")
                except Exception:  # a fault costs this one call
                    logger.exception("a call at the desk failed")
                    given = Unavailable("failed here")
                self.say(writer, *answer(given), keeps=message.keep_alive)
                if not message.keep_alive:
                    break
                await writer.drain()
        except MalformedMessage as bad:
            self.say(writer, *answer(Rejected(bad.status, "message", str(bad))), keeps=False)
            cast(StreamProtocol, writer.transport.get_protocol()).discard_input()
            await asyncio.sleep(0.2)  # closing at once would reset the answer away
        except (OSError, asyncio.CancelledError):  # a TimeoutError is one
            pass
        finally:
            writer.close()

    def say(self, writer: asyncio.StreamWriter, status: int, body: bytes, *, keeps: bool) -> None:
        more = b"" if keeps else b"Connection: close\r\n"
        write_message(
            writer,
            [status_line(status), more, b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)],
            body,
        )
