"""Clients' connections: which end when, and who makes room for whom at the limit of descriptors."""

import socket

from helpers import GatewayUnderTest, json_answer, on_loop, rpc, until

from stoneyoke.net.client_connection import Phase
from stoneyoke.net.connection_table import MESSAGE_TIMEOUT_US


@on_loop
async def test_silent_idle_and_half_sent_connections_end_in_time_whatever_bytes_trickle_in():
    async with (
        GatewayUnderTest() as town,
        town.caller() as silent,
        town.caller() as half,
        town.caller() as late,
        town.caller() as asked,
        town.caller() as held,
    ):
        assert (await asked.ask(rpc()))[0] == (await late.ask(rpc()))[0] == 200
        town.backend.answer = None
        held.writer.write(rpc())
        half.writer.write(b"GET /look")
        late.writer.write(b"GET /look")
        all_open, sweep = town.program.clients.connections.open, town.program.clients.connections.close_expired
        town.program.maintenance.cancel()
        await until(
            lambda: sum(c.phase is not Phase.IDLE for c in all_open.values()) == 3 and len(town.backend.got) == 3
        )

        def age(by):
            for client in all_open.values():
                client.accepted_at -= by
                client.since_us -= by
            sweep()

        age(MESSAGE_TIMEOUT_US - 1_500_000)
        for caller in (half, late):
            caller.writer.write(b"/x")  # renews nothing
        await until(lambda: sum(c.messages.message_bytes == 11 for c in all_open.values()) == 1)
        assert len(all_open) == 5
        age(1_500_000)
        assert await silent.reader.read() == b""
        for caller in (half, late):
            assert (await caller.hear())[0] == 408 and await caller.reader.read() == b""
        assert await asked.reader.read() == b""
        assert (await held.hear())[0] == 429


@on_loop
async def test_connections_that_say_nothing_make_room_for_each_other_not_for_them_the_usual_ones():
    async with GatewayUnderTest() as town, town.caller() as usual:
        assert (await usual.ask(rpc()))[0] == 200
        town.program.clients.connections.silent_max = 3
        flood = [await town.caller().__aenter__() for _ in range(9)]
        assert all([await caller.reader.read() == b"" for caller in flood[:6]])
        await until(lambda: town.count("client connections") == 10)
        assert town.count("client connections: closed for room") == 6
        assert (await usual.ask(rpc()))[0] == 200 and (await flood[8].ask(rpc()))[0] == 200


@on_loop
async def test_of_those_who_ask_once_and_stay_only_so_many_are_kept_that_others_find_a_place():
    async with GatewayUnderTest() as town:
        town.program.clients.connections.kept_open_max = 3
        stay = [await town.caller().__aenter__() for _ in range(6)]
        for caller in stay:
            assert (await caller.ask(rpc()))[0] == 200
        for caller in stay[:3]:
            assert await caller.reader.read() == b""
        assert len(town.program.clients.connections.open) == 3 and (await stay[3].ask(rpc()))[0] == 200


@on_loop
async def test_at_the_limit_idle_connections_go_first_and_held_rpcs_stay():
    async with GatewayUnderTest(None) as town, town.caller() as held, town.caller() as idle, town.caller() as half:
        town.program.clients.descriptor_budget.limit = 4  # the call-out's is one
        held.writer.write(rpc())
        half.writer.write(b"GET /look")
        clients_open = town.program.clients.connections.open
        await until(lambda: town.backend.got and sum(c.phase is not Phase.IDLE for c in clients_open.values()) == 2)
        async with town.caller() as fourth:
            fourth.writer.write(b"GET /look")
            assert await idle.reader.read() == b""
            await until(lambda: len(clients_open) == 3 and Phase.IDLE not in [c.phase for c in clients_open.values()])
            async with town.caller() as fifth:
                assert await half.reader.read() == b""
                assert (await fifth.ask(b"GET /healthz HTTP/1.1\r\n\r\n"))[0] == 200
        assert (await held.hear())[0] == 429


@on_loop
async def test_an_idle_connection_on_which_an_rpc_has_just_come_is_not_closed_for_room():
    async with GatewayUnderTest() as town, town.caller() as caller:
        assert (await caller.ask(rpc()))[0] == 200
        (client,) = town.program.clients.connections.open.values()
        assert client.can_close_safely() and town.program.clients.connections.eviction_candidate()
        caller.writer.write(rpc())  # on the socket; the loop has not seen it yet
        assert not client.can_close_safely() and town.program.clients.connections.eviction_candidate() is None
        assert (await caller.hear())[0] == 200


@on_loop
async def test_with_every_connection_held_an_rpc_is_still_answered():
    async with GatewayUnderTest(None) as town, town.caller() as held:
        held.writer.write(rpc())
        await until(lambda: town.backend.got)
        town.program.clients.descriptor_budget.limit = 2
        async with town.caller() as other:
            status, headers, _ = await other.ask(rpc())
            assert status == 429 and b"Retry-After" in headers and len(town.backend.got) == 1
        assert town.count("attempts: no descriptor left") >= 1


@on_loop
async def test_half_heads_and_answers_that_nobody_takes_are_ended():
    async with GatewayUnderTest(json_answer("x" * 60_000)) as town, town.caller() as half, town.caller(4096) as slow:
        half.writer.write(b"GET /look")
        slow.writer.write(rpc(X_Quota="units=1,spread=1,first=1") * 400)  # pipelined; nothing is read
        clients_open = town.program.clients.connections.open
        stuck = town.program.clients.connections.close_expired
        await until(lambda: len(clients_open) == 2 and Phase.IDLE not in [c.phase for c in clients_open.values()])
        await until(lambda: any(w.transport.get_write_buffer_size() for w in clients_open))
        stuck()
        assert len(clients_open) == 2
        for client in clients_open.values():
            client.since_us -= MESSAGE_TIMEOUT_US + 1
        stuck()
        await until(lambda: not clients_open)


@on_loop
async def test_what_has_come_and_is_not_read_yet_is_answered_before_the_end():
    # The RPC is on the socket, and the loop has not seen it, when nothing seems to be owed any more.
    async with GatewayUnderTest() as town, town.caller() as caller:
        assert (await caller.ask(rpc()))[0] == 200
        sock = caller.writer.get_extra_info("socket")
        socket.socket(fileno=socket.dup(sock.fileno())).send(rpc())
        await town.program.clients.finish_pending(town.program.clients.longest_deadline_s)
        assert town.count("RPCs: ok") == 2
