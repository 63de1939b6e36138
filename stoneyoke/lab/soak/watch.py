"""Monitors the processes of a soak while it runs and after it: their metrics, and whether they run."""

import asyncio

from stoneyoke.lab.cluster.processes import METRICS_PORT, ClusterProcesses
from stoneyoke.lab.cluster.requests import OK, send_request
from stoneyoke.lab.cluster.traffic_ledger import Rule
from stoneyoke.lab.soak.ledger import SoakLedger
from stoneyoke.runtime.metrics_text import VIOLATIONS, read_metrics_text

WATCH_S = 0.5  # interval between two checks, and time-out of a query of metrics
METRICS_HEAD = b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n"
# In a gateway without clients all of these metrics are zero, and each descriptor belongs to an idle connection.
HELD = (
    "stoneyoke_requests_in_flight",
    "stoneyoke_attempts_in_flight",
    "stoneyoke_attempts_of_clients_gone",
    "stoneyoke_client_connections_open",
)
DESCRIPTORS, IDLE = "stoneyoke_descriptors_in_use", "stoneyoke_backend_connections_idle"
POLL_S = 0.1  # interval between two checks whether a gateway is idle

Figures = dict[str, float]


class ProcessWatch:
    """Queries the metrics of all processes, and reports violations."""

    def __init__(self, cluster: ClusterProcesses, ledger: SoakLedger, down: set[str]) -> None:
        """Creates a monitor; `down` is the current set of processes that a fault has ended."""
        self.cluster, self.ledger, self.down = cluster, ledger, down
        self.reported: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Checks all processes every WATCH_S until it is cancelled."""
        while True:
            await asyncio.sleep(WATCH_S)
            await self.look()

    async def look(self) -> None:
        """Reports violated invariants, and processes that have ended without a fault."""
        names = [*self.cluster.controllers, *self.cluster.gateways]
        for name in names:
            process = self.cluster.running.get(name)
            if process and process.returncode is not None and name not in self.down:
                self.report_once(Rule.STAYS_UP, name, f"exited unexpectedly with status {process.returncode}")
        for name, figures in zip(names, await asyncio.gather(*map(self.fetch, names)), strict=True):
            broken = [key for key, value in (figures or {}).items() if key.startswith(VIOLATIONS + "{") and value]
            for key in broken:
                self.report_once(Rule.NO_VIOLATIONS, name, key)

    def report_once(self, rule: Rule, name: str, detail: str) -> None:
        """Reports a violation once, though each check finds it again."""
        if (name, detail) not in self.reported:
            self.reported.add((name, detail))
            self.ledger.report(rule, f"{name}: {detail}")

    async def fetch(self, name: str) -> Figures | None:
        """Returns the metrics of a process; None if it does not respond."""
        ip = (self.cluster.controllers | self.cluster.gateways)[name]
        response = await send_request((ip, METRICS_PORT), METRICS_HEAD, b"", WATCH_S)
        return read_metrics_text(response.body.decode()) if response and response.status == OK else None

    async def expect_all_idle(self, timeout_s: float) -> None:
        """Checks, after the traffic, that all gateways release the resources of requests within a time-out."""
        await asyncio.gather(*(self.expect_idle(name, timeout_s) for name in self.cluster.gateways))

    async def expect_idle(self, gateway: str, timeout_s: float) -> None:
        """Waits until a gateway is idle. Resources that are in use at the time-out violate a rule."""
        held: Figures | None = None
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    figures = await self.fetch(gateway)
                    held = resources_in_use(figures) if figures else held
                    if figures and not held:
                        return
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.ledger.report(Rule.NOTHING_HELD, f"{gateway} {f'still has {held}' if held else 'returns no metrics'}")


def resources_in_use(figures: Figures) -> Figures:
    """Returns the metrics of resources in use that a gateway without clients should have released."""
    held = {name: figures[name] for name in HELD if figures[name]}
    if figures[DESCRIPTORS] != figures[IDLE]:
        held |= {name: figures[name] for name in (DESCRIPTORS, IDLE)}
    return held
