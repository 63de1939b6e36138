"""Processes of gateways that exchange reports over faulty links, while some are killed or suspended."""

import json
import os
import re
import socket
import subprocess
import sys

import msgspec
import pytest
from gateway_under_test import SETTINGS, GatewayUnderTest, free_port, runs_on_loop, until

from stoneyoke.control.events import PeerEvidence
from stoneyoke.fleet.messages import MemberState
from stoneyoke.fleet.parameters import FleetParameters
from stoneyoke.single_gateway.configuration import read_settings
from stoneyoke.single_gateway.errors import InvalidConfiguration
from stoneyoke.single_gateway.options import FleetOptions, fleet_parameters
from stoneyoke.single_gateway.program import SingleGatewayProgram

ENV = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}


def test_gateways_share_evidence_of_an_unresponsive_backend_under_faults(tmp_path):
    out = tmp_path / "run"
    ran = subprocess.run(
        [
            sys.executable,
            "-m",
            "stoneyoke.single_gateway.cli",
            "lab",
            "run",
            "fleet",
            "--out",
            str(out),
            "--port",
            str(free_port()),
        ],
        env=ENV,
        capture_output=True,
        text=True,
        timeout=150,
    )
    assert (out / "result.json").exists(), ran.stdout + ran.stderr
    result = msgspec.json.decode((out / "result.json").read_bytes())
    assert result["verdict"] in ("passed", "void"), ran.stdout + ran.stderr
    assert result["crashes"] == [] and result["figures"]["peer messages s"] > 1
    logs = {path.stem: path.read_text() for path in (out / "logs").glob("*-g*.log")}
    assert len(logs) == 9
    assert not [name for name, log in logs.items() if "Traceback" in log or "BROKEN" in log]
    ejecting = [name for name, log in logs.items() if "backend ejected on peer evidence: a/b000" in log]
    assert len(ejecting) >= 6, ejecting
    reinstating = [name for name in ejecting if "backend reinstated: a/b000" in logs[name]]
    assert len(reinstating) >= len(ejecting) - 1, (ejecting, reinstating)
    departed = [name for name, log in logs.items() if re.search("a gateway (is dead|has left): c/g008", log)]
    assert len(departed) >= 3, departed
    # At the end each gateway has all others but one at most as present members again.
    for name, log in logs.items():
        changes = re.findall(r"a gateway (is there|is suspected|is dead|has left): (\S+)", log)
        last = {other: state for state, other in changes}
        missing = [other for other, state in last.items() if state in ("is dead", "has left")]
        assert len(missing) <= 1, (name, missing)


def parameters(name, own, others, keys=(b"0123456789abcdef",)):
    return FleetParameters(name, own, own, list(others), list(keys))


class TwoGateways:
    """Two gateways on sockets that are seeds of each other, with the same stub servers."""

    def __init__(self):
        self.fixture = GatewayUnderTest()

    async def __aenter__(self):
        await self.fixture.__aenter__()
        options = json.loads(json.dumps(self.fixture.configuration)) | {"listen": "127.0.0.1:0"}
        options["settings"] = SETTINGS | {"self-index": 2}
        one, two = (("127.0.0.1", free_port("127.0.0.1", socket.SOCK_DGRAM)) for _ in range(2))
        self.programs = [
            SingleGatewayProgram(read_settings(options), parameters("g1", one, [two])),
            SingleGatewayProgram(read_settings(options), parameters("g2", two, [one])),
        ]
        for program in self.programs:
            await program.start()
        return self

    async def __aexit__(self, *_):
        for program in self.programs:
            program.server.close()
            program.discovery.stop()
            program.maintenance.cancel()
            if program.peers.tick_task:
                program.peers.tick_task.cancel()
            program.peers.socket.close()
        await self.fixture.__aexit__()


@runs_on_loop
async def test_two_programs_find_each_other_and_one_leaves():
    async with TwoGateways() as two:
        first, second = (program.peers.agent.membership.table for program in two.programs)
        await until(lambda: first.size() == second.size() == 2)
        two.programs[0].peers.leave()
        await until(lambda: second.size() == 1)
        assert second.peers["g1"].record.state == MemberState.LEFT


@runs_on_loop
async def test_a_flood_of_invalid_datagrams_is_limited_and_others_are_still_handled():
    async with TwoGateways() as two:
        peers = two.programs[0].peers
        await until(lambda: peers.agent.membership.table.size() == 2)
        for _ in range(1000):
            peers.datagram_received(b"\x01junk" * 10, ("127.0.0.1", 1))
        counts = two.programs[0].metrics.counts
        assert counts["fleet: datagrams too many"] >= 800
        assert counts["fleet: datagrams of an unknown key"] <= 200
        before = counts["fleet: datagrams"]
        await until(lambda: counts["fleet: datagrams"] > before)
        assert not two.programs[0].metrics.violations


@runs_on_loop
async def test_advice_reaches_the_gateways_decisions():
    async with TwoGateways() as two:
        program = two.programs[0]
        (index,) = program.runtime.gateway.backends.table.by_index
        program.peers.apply_advice(PeerEvidence(frozenset([index]), frozenset()))
        assert program.runtime.gateway.backends.peer_evidence.ejected_backends == {index}
        assert program.metrics.counts["fleet: backend ejected on peer evidence"] == 1
        assert program.metrics.counts["fleet: left out on hearsay"] == 1  # the counter's old name, kept for one release
        program.peers.leave()
        assert program.runtime.gateway.backends.peer_evidence.ejected_backends == frozenset()


@pytest.mark.parametrize(
    "changes, message",
    [
        ({"listen": "nowhere"}, "fleet.listen: no HOST:PORT: 'nowhere'"),
        ({"seeds": ["127.0.0.1:1", "x"]}, r"fleet.seeds\[1\]: no HOST:PORT: 'x'"),
        ({"listen": "0.0.0.0:7000"}, "fleet.advertise: others can't reach 0.0.0.0"),
        ({"name": "n" * 65}, "fleet.name: one of 1 to 64"),
        ({"keys": ""}, "fleet.keys: no file"),
        ({"keys": "nowhere"}, "fleet.keys: nowhere can't be read"),
        ({"keys": "short"}, "one or two keys of 32 to 128 hex digits"),
        ({"keys": "word"}, "no hex number"),
    ],
)
def test_unusable_options_are_reported_by_field(tmp_path, monkeypatch, changes, message):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "good").write_text("00" * 16)
    (tmp_path / "short").write_text("00")
    (tmp_path / "word").write_text("key")
    options = {"listen": "127.0.0.1:7000", "name": "g1", "keys": "good"}
    assert fleet_parameters(FleetOptions(**options), "") and fleet_parameters(FleetOptions(), "") is None
    with pytest.raises(InvalidConfiguration, match=message):
        fleet_parameters(FleetOptions(**(options | changes)), "")


def test_a_gateway_without_the_option_does_not_import_the_fleet_package():
    code = "import sys, stoneyoke.single_gateway.program; print([m for m in sys.modules if 'stoneyoke.fleet' in m])"
    ran = subprocess.run([sys.executable, "-c", code], env=ENV, capture_output=True, text=True)
    assert ran.stdout.strip() == "[]", ran.stderr
