"""The operator of a soak: changes the configuration repeatedly, and reads it back from any controller."""

import asyncio
import json
import random

from stoneyoke.lab.cluster.processes import CONTROL_PORT, ClusterProcesses
from stoneyoke.lab.cluster.requests import OK, example_configuration, send_request
from stoneyoke.lab.cluster.traffic_ledger import Rule
from stoneyoke.lab.soak.ledger import SoakLedger

PAUSE_S = 0.6  # maximum pause between two calls
CALL_TIMEOUT_S = 1.0  # time-out of a call
# Every controller that responds, even an isolated one, must return a configuration that was acknowledged this long ago.
APPLY_S = 2.5
READ_HEAD = b"GET /config/read HTTP/1.1\r\nHost: control\r\n"
REPLACE_HEAD = b"POST /config/replace HTTP/1.1\r\nHost: control\r\n"


class Operator:
    """Sends configurations with rising numbers, each to a random controller, and records the acknowledged ones."""

    def __init__(self, cluster: ClusterProcesses, ledger: SoakLedger, random_source: random.Random) -> None:
        """Creates an operator that has sent nothing yet; configuration number 1 is in force."""
        self.cluster, self.ledger, self.draw = cluster, ledger, random_source
        self.number = 1
        self.acknowledged: list[tuple[float, int]] = []  # times and numbers, both rising

    async def run(self, seconds: float) -> None:
        """Changes and reads the configuration in turn, for this many seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            await self.change()
            await asyncio.sleep(self.draw.uniform(0.0, PAUSE_S))
            await self.read(self.draw.choice(list(self.cluster.controllers)))
            await asyncio.sleep(self.draw.uniform(0.0, PAUSE_S))

    async def change(self) -> None:
        """Sends the next configuration to one controller, once."""
        self.number += 1
        address = self.cluster.controllers[self.draw.choice(list(self.cluster.controllers))], CONTROL_PORT
        body = json.dumps(example_configuration(self.number)).encode()
        response = await send_request(address, REPLACE_HEAD, body, CALL_TIMEOUT_S)
        if response and response.status == OK:
            self.acknowledged.append((asyncio.get_running_loop().time(), self.number))

    async def read(self, controller: str) -> bool:
        """Reads the configuration from a controller. One older than required violates a rule.

        Returns:
            Whether there was a response with a configuration.
        """
        sent_s = asyncio.get_running_loop().time()
        response = await send_request(
            (self.cluster.controllers[controller], CONTROL_PORT), READ_HEAD, b"", CALL_TIMEOUT_S
        )
        if response is None or response.status != OK:
            return False
        generation = int(json.loads(response.body)["generation"].removeprefix("r"))
        required = max((number for at_s, number in self.acknowledged if at_s <= sent_s - APPLY_S), default=1)
        if generation < required:
            self.ledger.report(
                Rule.DURABLE_CONFIGURATION, f"{controller} returned r{generation}, r{required} was acknowledged"
            )
        return True

    async def read_back(self, timeout_s: float) -> None:
        """Checks, after the faults, that every controller returns the configuration within a time-out."""
        await asyncio.sleep(APPLY_S)
        for controller in self.cluster.controllers:
            try:
                async with asyncio.timeout(timeout_s):
                    while not await self.read(controller):  # noqa: ASYNC110 -- the response depends on another process
                        await asyncio.sleep(PAUSE_S)
            except TimeoutError:
                self.ledger.report(Rule.DURABLE_CONFIGURATION, f"{controller} returned none within {timeout_s} s")
