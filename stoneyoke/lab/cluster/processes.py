"""The controller and gateway processes of a cluster on loopback addresses, and their settings files."""

import asyncio
import contextlib
import itertools
import json
import signal
import sys
from pathlib import Path
from typing import BinaryIO

from stoneyoke.lab.cluster.requests import OK, example_configuration, send_request

CONTROLLER_COUNT = 3
PEER_PORT = 7340
CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT = 8783, 8782, 8789, 9464
HEARTBEAT_S = 0.5
BOUND_SET = "drain_s = 2.5\ngrace_s = {}\nretry_slack = 50.0\n"
GRACE_S = 4.0  # from SIGTERM to SIGKILL, unless a cluster has its own
CONFIGURATION_RETRY_S = 0.1
READINESS_POLL_S = 0.05
READINESS_TIMEOUT_S = 1.0
READY_HEAD = b"GET /ready HTTP/1.1\r\nHost: ready\r\n"


class ClusterProcesses:
    """Starts, signals and kills processes by name. Each has a settings file, and each controller a data folder."""

    def __init__(self, folder: Path, gateways: int, address_block: int = 0, *, keeps_logs: bool = False) -> None:
        """Creates a cluster without processes.

        Args:
            folder: The settings files and data folders are in it.
            gateways: Number of gateways.
            address_block: Second octet of all addresses; clusters that run at the same time need different ones.
            keeps_logs: Whether each process logs to a file of its own in the folder; else all log to this process's
                standard error.
        """
        self.folder, self.keeps_logs = folder, keeps_logs
        self.address_block = address_block
        self.controllers = {
            f"core-{number}": f"127.{address_block}.1.{number}" for number in range(1, CONTROLLER_COUNT + 1)
        }
        self.gateways = {f"edge-{number}": f"127.{address_block}.2.{number}" for number in range(1, gateways + 1)}
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.gateway_module = "stoneyoke.programs.gateway"
        self.grace_s = GRACE_S
        self.gateway_arguments: tuple[str, ...] = ()  # of the command line, before --settings
        self._ever_started: set[str] = set()

    def control_addresses(self) -> list[tuple[str, int]]:
        """Returns the addresses at which the controllers accept HTTP requests."""
        return [(ip, CONTROL_PORT) for ip in self.controllers.values()]

    def write_settings(self, name: str) -> Path:
        """Writes the settings file for the next start of a process, and returns its path."""
        is_controller = name in self.controllers
        ip = (self.controllers | self.gateways)[name]
        if is_controller:
            binds = f'control_addr = "{ip}:{CONTROL_PORT}"'
            data_dir = f'data_dir = "{self.folder / name}"\n'
        else:
            binds = f'front_addr = "{ip}:{FRONT_PORT}"\nready_addr = "{ip}:{READY_PORT}"'
            data_dir = ""
        seeds = ", ".join(f'"{controller_ip}:{CONTROL_PORT}"' for controller_ip in self.controllers.values())
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[self]\nnode_name = "{name}"\nip_addr = "{ip}"\nzone_name = "quay"\n'
            f"first_start = {str(name not in self._ever_started).lower()}\n{data_dir}"
            f"[network]\nport_range = [{PEER_PORT}, {PEER_PORT + 8}]\nseed_addrs = [{seeds}]\n"
            f"[network.binds]\n{binds}\n"
            f'[network.zones]\nquay = "coast"\n[provider]\nbeat_s = {HEARTBEAT_S}\n[term_set.bound_set]\n'
            + BOUND_SET.format(self.grace_s)
        )
        return path

    async def start(self, name: str) -> None:
        """Starts a process, without waiting for it to be ready."""
        is_controller = name in self.controllers
        arguments = [
            "stoneyoke.programs.controller" if is_controller else self.gateway_module,
            *(() if is_controller else self.gateway_arguments),
            f"--settings={self.write_settings(name)}",
            f"--metrics_port={METRICS_PORT}",
        ]
        with self.open_log(name) as log:
            # -O as in release builds: a violated invariant is counted, and the process continues instead of failing.
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-O", "-m", *arguments, stderr=log if self.keeps_logs else None
            )
        self._ever_started.add(name)

    def log_path(self, name: str) -> Path:
        """Returns the path of the log file of a process, which all its starts append to if `keeps_logs` is set."""
        return self.folder / f"{name}.log"

    def open_log(self, name: str) -> BinaryIO:
        """Opens the file at log_path() for appending."""
        return open(self.log_path(name), "ab")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that was started here; does nothing if it has exited."""
        with contextlib.suppress(ProcessLookupError):
            self.running[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process that was started here, and waits until it has exited."""
        self.signal(name, signal.SIGKILL)
        await self.running.pop(name).wait()

    async def close(self) -> None:
        """Kills every process."""
        await asyncio.gather(*(self.kill(name) for name in list(self.running)))

    async def replace_configuration(self, number: int) -> None:
        """Sends a configuration to one controller after another until one acknowledges it."""
        body = json.dumps(example_configuration(number)).encode()
        for address in itertools.cycle(self.control_addresses()):
            response = await send_request(address, b"POST /config/replace HTTP/1.1\r\nHost: control\r\n", body)
            if response and response.status == OK:
                return
            await asyncio.sleep(CONFIGURATION_RETRY_S)

    async def wait_until_ready(self, gateway: str) -> None:
        """Waits until a gateway reports that it is ready."""
        while not await self.is_ready(gateway):  # noqa: ASYNC110 -- no event tells it
            await asyncio.sleep(READINESS_POLL_S)

    async def is_ready(self, gateway: str) -> bool:
        """Returns whether a gateway reports within READINESS_TIMEOUT_S that it is ready."""
        address = self.gateways[gateway], READY_PORT
        response = await send_request(address, READY_HEAD, timeout_s=READINESS_TIMEOUT_S)
        return response is not None and response.status == OK
