"""The platform's entry, as PROTOCOL describes it: it checks readiness and chooses gateways for new connections."""

import asyncio
import random

from stoneyoke.lab.cluster.processes import ClusterProcesses

CHECK_INTERVAL_S = 1.0
MISSES_MAX = 2  # so many checks in a row without a 200 take a gateway out


class Entry:
    """Chooses the gateway of each new connection. An open connection stays with its gateway.

    Attributes:
        misses: How many checks in a row each gateway has missed.
    """

    def __init__(self, cluster: ClusterProcesses) -> None:
        """Counts all gateways as in."""
        self.cluster = cluster
        self.misses = dict.fromkeys(cluster.gateways, 0)

    async def run(self) -> None:
        """Checks all gateways every CHECK_INTERVAL_S until it is cancelled."""
        while True:
            checks = (self.check(name) for name in self.misses)
            await asyncio.gather(*checks, asyncio.sleep(CHECK_INTERVAL_S))

    async def check(self, gateway: str) -> None:
        """Checks one gateway; a 200 puts it back in."""
        self.misses[gateway] = 0 if await self.cluster.is_ready(gateway) else self.misses[gateway] + 1

    def candidates(self) -> list[str]:
        """Returns the gateways that get new connections: those that are in, or all if these are fewer than half."""
        found = [name for name, misses in self.misses.items() if misses < MISSES_MAX]
        return found if 2 * len(found) >= len(self.misses) else list(self.misses)

    def choose(self, draw: random.Random) -> str:
        """Returns the gateway of a new connection."""
        return draw.choice(self.candidates())
