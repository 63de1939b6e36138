"""A backend of the cluster: sends heartbeats to the controllers and serves the requests of the gateways."""

import asyncio
import json
import random

from stoneyoke.lab.cluster.processes import HEARTBEAT_S, ClusterProcesses
from stoneyoke.lab.cluster.requests import MISDIRECTED, OK, TENANT, send_request
from stoneyoke.lab.cluster.traffic_ledger import Rule, TrafficLedger
from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message, MessageReader
from stoneyoke.net.message_writer import status_line, write_message
from stoneyoke.net.stream import StreamProtocol

SERVICE_PORT = 8080
SERVICE_TIME_S = 0.03


class StandInBackend:
    """One instance of a service. Each response has the request's attempt id and a stamp with the instance's name."""

    def __init__(self, service: str, number: int, ledger: TrafficLedger, cluster: ClusterProcesses) -> None:
        """Creates a backend that does not listen yet.

        Args:
            service: The name of the service.
            number: The number of the instance, which is the last octet of its address.
            ledger: Records the requests that run here.
            cluster: The controllers of this cluster receive the heartbeats.
        """
        self.service = service
        self.ledger = ledger
        self.controllers = cluster.control_addresses()
        self.instance = f"i-{service}-{number}"
        self.ip = f"127.{cluster.address_block}.3.{number}"
        self.address = f"{self.ip}:{SERVICE_PORT}"  # the address in its heartbeats
        self.call_seq = 0  # the number of heartbeats sent; each heartbeat has its own

    async def run(self) -> None:
        """Serves requests and sends heartbeats until it is cancelled."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: StreamProtocol(self.serve), self.ip, SERVICE_PORT)
        try:
            while True:
                await self._send_heartbeat()
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            self.server.close()

    async def _send_heartbeat(self) -> None:
        """Sends one heartbeat, to one controller after another until one acknowledges it."""
        self.call_seq += 1
        body = json.dumps(
            {
                "address": self.address,
                "details": {"target_service": self.service, "generation": "v1", "zone_name": "quay", "capacity": 4},
                "observed": {"phase": "ready", "call_seq": self.call_seq, "warmup_left_s": 0},
            }
        ).encode()
        head = b"POST /instances/%s/heartbeat HTTP/1.1\r\nHost: control\r\n" % self.instance.encode()
        for controller in random.sample(self.controllers, len(self.controllers)):
            response = await send_request(controller, head, body, 1.0)
            if response and response.status == OK:
                return

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it is closed."""
        messages = MessageReader(reader, responses=False)
        try:
            while message := await messages.next():
                await self.handle_request(message, writer)
        except (OSError, MalformedMessage):
            pass
        finally:
            writer.close()

    async def handle_request(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Runs a request and responds with 200, or rejects one that expects another instance with 421."""
        attempt_id = message.headers.get(b"attempt-id", b"").decode()
        status = OK
        header = b"Server-Stamp: %s.%s\r\n" % (self.instance.encode(), attempt_id.encode())
        if message.headers.get(b"expect-instance", b"").decode() != self.instance:
            status = MISDIRECTED
            header = b"Instance-Id: %s\r\n" % self.instance.encode()
        else:
            self.ledger.executions[attempt_id] += 1
            if message.headers.get(b"tenant") != TENANT.encode() or b"api-key" in message.headers:
                self.ledger.report(
                    Rule.ONLY_REQUESTED, f"{attempt_id} reached a backend with the wrong tenant or with its API key"
                )
            await self.work(message, writer)
        head = b"Attempt-Id: %s\r\n%sContent-Length: 3\r\n" % (attempt_id.encode(), header)
        write_message(writer, [status_line(status), head], b"ok\n")

    async def work(self, message: Message, writer: asyncio.StreamWriter) -> None:  # noqa: ARG002 -- for subclasses
        """Takes as long as a request runs.

        Raises:
            OSError: The run ends without a response.
        """
        await asyncio.sleep(SERVICE_TIME_S)
