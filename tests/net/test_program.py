"""The program as a process: its configuration, its own options, its shutdown and its descriptor limit."""

import contextlib
import json
import signal
import socket
import subprocess
import sys

import pytest
from gateway_under_test import SETTINGS, rpc

from stoneyoke.single_gateway import configuration, program
from stoneyoke.single_gateway.errors import InvalidConfiguration

CONFIG = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "counter": "127.0.0.1:9",
    "seed": "8c1f",
    "limits": {"sockets": 1024},
    "known": {"index": 1, "snapshot": True, "endpoints": []},
    "settings": SETTINGS,
}


@pytest.mark.parametrize(
    "change, named",
    [
        ({"listen": None}, "listen"),
        ({"listen": "here"}, "listen"),
        ({"discovery": "x:y"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"counter": 7}, "counter"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"known": {"index": 1}}, "known"),
        ({"settings": SETTINGS | {"classes": None}}, "classes"),
        ({"settings": SETTINGS | {"caps": {"try-limit": 5}}}, "dial-timeout-us"),
        (None, "NODE_CONFIG"),
    ],
)
def test_the_process_exits_on_an_invalid_configuration_with_one_line_that_names_the_key(
    change, named, monkeypatch, tmp_path, capsys
):
    path = tmp_path / "config.json"
    path.write_text("{" if change is None else json.dumps(CONFIG | change))
    monkeypatch.setenv("NODE_CONFIG", str(path))
    assert program.main() != 0
    out = capsys.readouterr()
    assert named in out.err and out.err.count("\n") == 1


def test_the_program_serves_until_sigterm_and_prints_its_counts(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    with subprocess.Popen(
        [sys.executable, "-O", "-m", "stoneyoke"], env={"NODE_CONFIG": str(path)}, stderr=subprocess.PIPE, text=True
    ) as child:
        try:
            assert any("gateway 1 of 3 listens" in line for line in child.stderr)
            child.send_signal(signal.SIGHUP)
            assert any("reload: discovery at" in line for line in child.stderr)
            child.terminate()
            _, rest = child.communicate(timeout=15)
        finally:
            child.kill()
    assert child.returncode == 0 and "counts: " in rest and "BROKEN" not in rest


def test_a_flood_of_partial_messages_exhausts_no_descriptors(tmp_path):
    path, limit = tmp_path / "config.json", 120
    path.write_text(json.dumps(CONFIG | {"listen": "127.0.0.1:0", "limits": {"sockets": limit}}))
    code = (
        f"import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({limit}, {limit})); "
        "import stoneyoke.single_gateway.program as m; import socket; make = socket.create_server; "
        "m.socket.create_server = lambda at: "
        "(s := make(at), print(s.getsockname()[1], flush=True))[0]; m.main()"
    )
    with subprocess.Popen(
        [sys.executable, "-O", "-c", code],
        env={"NODE_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as child:
        try:
            at = ("127.0.0.1", int(child.stdout.readline()))
            flood = [socket.create_connection(at) for _ in range(300)]
            for one in flood:
                with contextlib.suppress(OSError):
                    one.sendall(b"GET /look HTTP/1.1\r\n")
            with socket.create_connection(at, timeout=10) as client:
                client.sendall(rpc())
                assert client.recv(100).startswith(b"HTTP/1.1 429")
            for one in flood:
                one.close()
            child.terminate()
            _, rest = child.communicate(timeout=15)
        finally:
            child.kill()
    assert "closed for room=" in rest and "BROKEN" not in rest and "Errno 24" not in rest


def test_own_options_are_typed_and_absent_by_default(tmp_path, monkeypatch):
    monkeypatch.delenv("STONEYOKE_OPTIONS", raising=False)
    assert configuration.read_options({}) is None
    file = tmp_path / "options.toml"
    file.write_text('[log]\nform = "json"\n')
    assert configuration.read_options({"options": str(file)}).log.form == "json"
    monkeypatch.setenv("STONEYOKE_OPTIONS", str(file))
    assert configuration.read_options({}).log.form == "json"
    for text, expected in (('[log]\nform = "xml"\n', "log.form"), ("[logs]\n", "logs"), ("[log", "not valid TOML")):
        file.write_text(text)
        with pytest.raises(InvalidConfiguration, match=expected):
            configuration.read_options({})
    monkeypatch.setenv("STONEYOKE_OPTIONS", str(tmp_path / "none.toml"))
    with pytest.raises(InvalidConfiguration, match="can't be read"):
        configuration.read_options({})
