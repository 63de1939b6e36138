"""Faults of links affect one direction or both, and TCP links lose no data over them."""

import asyncio
import socket
import struct

import pytest

from stoneyoke.lab.addresses import LinkAddresses
from stoneyoke.lab.datagram_links import DatagramLinks
from stoneyoke.lab.links import Link
from stoneyoke.lab.scenario import Fault


def fault(kind, **more):
    return Fault(at_s=0, kind=kind, **more)


class LinkedEchoServer:
    """An echo server behind a link. It records what it receives."""

    async def __aenter__(self):
        self.received = []

        async def echo(reader, writer):
            try:
                while data := await reader.read(100):
                    self.received.append(data)
                    writer.write(data)
            except ConnectionError:
                pass
            writer.close()

        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            entry = probe.getsockname()
        self.link = Link(LinkAddresses("a/x", "b/y", entry, self.server.sockets[0].getsockname()))
        self.link.listen()
        return self

    async def __aexit__(self, *_):
        self.link.close()
        for end in list(self.link.ends):
            end.reset()
        self.server.close()

    async def connect(self):
        return await asyncio.open_connection(*self.link.addresses.entry)

    async def send_and_read(self, pair, data, timeout_s):
        pair[1].write(data)
        return await asyncio.wait_for(pair[0].readexactly(len(data)), timeout_s)


def on_loop(test):
    def run(*args):
        asyncio.run(asyncio.wait_for(test(*args), 20))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@pytest.mark.parametrize("kind", ["cut", "cut_there", "cut_back"])
def test_a_silent_link_keeps_connections_open_and_forwards_all_data_afterwards(kind):
    @on_loop
    async def run():
        async with LinkedEchoServer() as server:
            pair = await server.connect()
            assert await server.send_and_read(pair, b"one", 5) == b"one"
            server.link.change_fault(0, fault(kind), True)
            with pytest.raises(TimeoutError):
                await server.send_and_read(pair, b"two", 0.3)
            assert server.received == ([b"one", b"two"] if kind == "cut_back" else [b"one"])
            assert not pair[0].at_eof()
            with pytest.raises(TimeoutError):  # new connections are not established
                for _ in range(3):
                    await asyncio.wait_for(server.connect(), 0.3)
            server.link.change_fault(0, fault(kind), False)
            assert await asyncio.wait_for(pair[0].readexactly(3), 5) == b"two"
            assert await server.send_and_read(await asyncio.wait_for(server.connect(), 5), b"new", 5) == b"new"

    run()


def test_a_reset_closes_open_connections_and_refuse_affects_only_new_ones():
    @on_loop
    async def run():
        async with LinkedEchoServer() as server:
            pair = await server.connect()
            await server.send_and_read(pair, b"one", 5)
            server.link.change_fault(0, fault("reset"), True)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await server.send_and_read(pair, b"two", 5)
            pair = await server.connect()
            await server.send_and_read(pair, b"one", 5)
            server.link.change_fault(1, fault("refuse"), True)
            with pytest.raises(ConnectionRefusedError):
                await server.connect()
            assert await server.send_and_read(pair, b"still", 5) == b"still"
            server.link.change_fault(1, fault("refuse"), False)
            await server.send_and_read(await server.connect(), b"one", 5)

    run()


def test_delays_and_throttles_preserve_the_order_of_data():
    @on_loop
    async def run():
        async with LinkedEchoServer() as server:
            pair = await server.connect()
            server.link.change_fault(0, fault("delay", ms=100.0, jitter_ms=50.0), True)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for n in range(20):
                pair[1].write(b"%02d" % n)
                await asyncio.sleep(0.002)
            assert await pair[0].readexactly(40) == b"".join(b"%02d" % n for n in range(20))
            assert loop.time() - started_at >= 0.19
            server.link.change_fault(0, fault("delay"), False)
            server.link.change_fault(1, fault("throttle", bytes_s=2000.0), True)
            started_at = loop.time()
            await server.send_and_read(pair, b"x" * 400, 10)
            assert loop.time() - started_at >= 0.3

    run()


def test_datagrams_are_lost_and_reordered():
    @on_loop
    async def run():
        loop, received = asyncio.get_running_loop(), []

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data, _):
                received.append(int(data))

        sink, _ = await loop.create_datagram_endpoint(Sink, ("127.0.0.1", 0))
        source, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        link = DatagramLinks("a/g1", sink.get_extra_info("sockname"), {source.get_extra_info("sockname"): "a/g0"})
        link_transport, _ = await loop.create_datagram_endpoint(lambda: link, ("127.0.0.1", 0))

        async def send(n):
            for i in range(n):
                source.sendto(b"%d" % i, link_transport.get_extra_info("sockname"))
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.4)

        await send(50)
        assert received == list(range(50))
        received.clear()
        link.change_fault(9, fault("cut"), True, "a/g7")  # a fault of another sender's link
        link.change_fault(0, fault("lose", part=0.3), True, "a/g0")
        await send(200)
        assert 100 <= len(received) <= 180
        link.change_fault(0, fault("lose"), False, "a/g0")
        link.change_fault(1, fault("delay", ms=5.0, jitter_ms=60.0), True, "a/g0")
        received.clear()
        await send(100)
        assert sorted(received) == list(range(100)) != received
        link.change_fault(1, fault("delay"), False, "a/g0")
        link.change_fault(2, fault("cut"), True, "a/g0")
        received.clear()
        await send(5)
        assert received == []
        for transport in (sink, link_transport, source):
            transport.close()

    run()


@pytest.mark.parametrize("kind", ["cut", "cut_there"])
def test_a_reset_on_a_silent_link_reaches_the_other_end_once_the_link_forwards_again(kind):
    @on_loop
    async def run():
        async with LinkedEchoServer() as server:
            pair = await server.connect()
            assert await server.send_and_read(pair, b"one", 5) == b"one"
            server.link.change_fault(0, fault(kind), True)
            ends = set(server.link.ends)
            pair[1].get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            pair[1].transport.abort()
            while all(end.is_open for end in ends):  # noqa: ASYNC110 -- waits until the kernel delivers the reset
                await asyncio.sleep(0)
            for _ in range(20):  # callbacks of the reset end that run while the link is silent
                await asyncio.sleep(0)
            server.link.change_fault(0, fault(kind), False)
            while ends & server.link.ends:  # noqa: ASYNC110 -- waits until the kernel has closed the other end
                await asyncio.sleep(0)

    run()
