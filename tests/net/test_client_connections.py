"""Client connections: their time limits, and which are closed to make room for others at the descriptor limit."""

import socket

from gateway_under_test import GatewayUnderTest, json_response, rpc, runs_on_loop, until

from stoneyoke.net.client_connection import Phase
from stoneyoke.net.connection_table import MESSAGE_TIMEOUT_US


@runs_on_loop
async def test_silent_idle_and_partial_connections_are_closed_at_their_time_limit_even_if_bytes_trickle_in():
    async with (
        GatewayUnderTest() as gateway,
        gateway.connect() as silent,
        gateway.connect() as partial,
        gateway.connect() as second_partial,
        gateway.connect() as idle,
        gateway.connect() as waiting,
    ):
        assert (await idle.request(rpc()))[0] == (await second_partial.request(rpc()))[0] == 200
        gateway.backend.answer = None
        waiting.writer.write(rpc())
        partial.writer.write(b"GET /look")
        second_partial.writer.write(b"GET /look")
        all_open, close_expired = (
            gateway.program.clients.connections.open,
            gateway.program.clients.connections.close_expired,
        )
        gateway.program.maintenance.cancel()
        await until(
            lambda: sum(c.phase is not Phase.IDLE for c in all_open.values()) == 3
            and len(gateway.backend.requests) == 3
        )

        def advance_time(by):
            for connection in all_open.values():
                connection.accepted_at -= by
                connection.phase_started_us -= by
            close_expired()

        advance_time(MESSAGE_TIMEOUT_US - 1_500_000)
        for client in (partial, second_partial):
            client.writer.write(b"/x")  # does not restart the time limit
        await until(lambda: sum(c.messages.message_bytes == 11 for c in all_open.values()) == 1)
        assert len(all_open) == 5
        advance_time(1_500_000)
        assert await silent.reader.read() == b""
        for client in (partial, second_partial):
            assert (await client.receive())[0] == 408 and await client.reader.read() == b""
        assert await idle.reader.read() == b""
        assert (await waiting.receive())[0] == 429


@runs_on_loop
async def test_a_flood_of_silent_connections_closes_only_silent_connections():
    async with GatewayUnderTest() as gateway, gateway.connect() as active:
        assert (await active.request(rpc()))[0] == 200
        gateway.program.clients.connections.silent_max = 3
        flood = [await gateway.connect().__aenter__() for _ in range(9)]
        assert all([await client.reader.read() == b"" for client in flood[:6]])
        await until(lambda: gateway.count("client connections") == 10)
        assert gateway.count("client connections: closed for room") == 6
        assert (await active.request(rpc()))[0] == 200 and (await flood[8].request(rpc()))[0] == 200


@runs_on_loop
async def test_idle_connections_stay_open_only_up_to_their_share_of_the_descriptors():
    async with GatewayUnderTest() as gateway:
        gateway.program.clients.connections.persistent_max = 3
        clients = [await gateway.connect().__aenter__() for _ in range(6)]
        for client in clients:
            assert (await client.request(rpc()))[0] == 200
        for client in clients[:3]:
            assert await client.reader.read() == b""
        assert len(gateway.program.clients.connections.open) == 3 and (await clients[3].request(rpc()))[0] == 200


@runs_on_loop
async def test_at_the_descriptor_limit_idle_connections_are_closed_first_and_pending_rpcs_are_answered():
    async with (
        GatewayUnderTest(None) as gateway,
        gateway.connect() as waiting,
        gateway.connect() as idle,
        gateway.connect() as partial,
    ):
        gateway.program.clients.descriptor_budget.limit = 4  # one of them is for the connection of the attempt
        waiting.writer.write(rpc())
        partial.writer.write(b"GET /look")
        clients_open = gateway.program.clients.connections.open
        await until(
            lambda: gateway.backend.requests and sum(c.phase is not Phase.IDLE for c in clients_open.values()) == 2
        )
        async with gateway.connect() as fourth:
            fourth.writer.write(b"GET /look")
            assert await idle.reader.read() == b""
            await until(lambda: len(clients_open) == 3 and Phase.IDLE not in [c.phase for c in clients_open.values()])
            async with gateway.connect() as fifth:
                assert await partial.reader.read() == b""
                assert (await fifth.request(b"GET /healthz HTTP/1.1\r\n\r\n"))[0] == 200
        assert (await waiting.receive())[0] == 429


@runs_on_loop
async def test_an_idle_connection_with_an_unread_rpc_is_not_evicted():
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        assert (await client.request(rpc()))[0] == 200
        (connection,) = gateway.program.clients.connections.open.values()
        assert connection.can_close_safely() and gateway.program.clients.connections.eviction_candidate()
        client.writer.write(rpc())  # waits on the socket; the event loop has not read it yet
        assert not connection.can_close_safely() and gateway.program.clients.connections.eviction_candidate() is None
        assert (await client.receive())[0] == 200


@runs_on_loop
async def test_with_every_descriptor_in_use_an_rpc_is_still_answered():
    async with GatewayUnderTest(None) as gateway, gateway.connect() as waiting:
        waiting.writer.write(rpc())
        await until(lambda: gateway.backend.requests)
        gateway.program.clients.descriptor_budget.limit = 2
        async with gateway.connect() as other:
            status, headers, _ = await other.request(rpc())
            assert status == 429 and b"Retry-After" in headers and len(gateway.backend.requests) == 1
        assert gateway.count("attempts: no descriptor left") >= 1


@runs_on_loop
async def test_connections_with_partial_heads_or_unread_responses_are_closed():
    async with (
        GatewayUnderTest(json_response("x" * 60_000)) as gateway,
        gateway.connect() as partial,
        gateway.connect(4096) as slow,
    ):
        partial.writer.write(b"GET /look")
        slow.writer.write(rpc(X_Quota="units=1,spread=1,first=1") * 400)  # pipelined; the client reads no response
        clients_open = gateway.program.clients.connections.open
        close_expired = gateway.program.clients.connections.close_expired
        await until(lambda: len(clients_open) == 2 and Phase.IDLE not in [c.phase for c in clients_open.values()])
        await until(lambda: any(w.transport.get_write_buffer_size() for w in clients_open))
        close_expired()
        assert len(clients_open) == 2
        for connection in clients_open.values():
            connection.phase_started_us -= MESSAGE_TIMEOUT_US + 1
        close_expired()
        await until(lambda: not clients_open)


@runs_on_loop
async def test_an_rpc_that_waits_unread_on_its_socket_is_answered_before_the_shutdown():
    # The shutdown checks for pending requests while the RPC waits on the socket and the event loop has not read it.
    async with GatewayUnderTest() as gateway, gateway.connect() as client:
        assert (await client.request(rpc()))[0] == 200
        sock = client.writer.get_extra_info("socket")
        socket.socket(fileno=socket.dup(sock.fileno())).send(rpc())
        clients = gateway.program.clients
        await clients.finish_pending(clients.clock.now() + int(clients.longest_deadline_s * 1_000_000))
        assert gateway.count("RPCs: ok") == 2
