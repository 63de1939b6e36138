"""Starts the whole system on this machine.

python -m stoneyoke.lab.cluster                  # runs until Ctrl-C
python -m stoneyoke.lab.cluster --seconds 12     # a trial: traffic, a configuration change, two processes killed
"""

import asyncio
import contextlib
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from stoneyoke.lab.cluster.processes import ClusterProcesses
from stoneyoke.lab.cluster.requests import API_KEY, HOSTNAME
from stoneyoke.lab.cluster.traffic_ledger import TrafficLedger
from stoneyoke.lab.cluster.trial import TrialSettings, bring_up, run_trial

SECONDS = flags.DEFINE_float("seconds", 0.0, "Length of a trial; 0: run until Ctrl-C, without traffic or faults.")
GATEWAYS = flags.DEFINE_integer("gateways", 2, "Number of gateways.", lower_bound=1)
flags.DEFINE_alias("pilots", "gateways")  # the old name of the flag, until December 2026
RATE = flags.DEFINE_float("rate", 40.0, "Requests per second in a trial.", lower_bound=0.1, upper_bound=500)
SEED = flags.DEFINE_integer("seed", 1, "Seed of the trial's random choices.")
MAX_PRINTED_VIOLATIONS = 20


async def run_until_interrupted(gateways: int) -> None:
    """Runs the whole system until it is interrupted."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ClusterProcesses(Path(folder), gateways)
        try:
            backend_tasks = await bring_up(cluster, TrafficLedger())
            print_usage(cluster)
            await asyncio.gather(*backend_tasks)
        finally:
            await cluster.close()


def print_usage(cluster: ClusterProcesses) -> None:
    """Prints the addresses and process ids, and commands that send a request and show the state."""
    addresses = cluster.controllers | cluster.gateways
    print("addresses:", ", ".join(f"{name} at {ip}" for name, ip in addresses.items()))
    print("processes:", ", ".join(f"{name} {process.pid}" for name, process in cluster.running.items()))
    print(f"  curl -H 'Host: {HOSTNAME}' -H 'Api-Key: {API_KEY}' -H 'Attempt-Id: 1' http://127.0.2.1:8782/usage/x")
    print("  python -m stoneyoke.programs.stoneyokectl --core 127.0.1.1:8783,127.0.1.2:8783 look")


def run(_: list[str]) -> None:
    """Runs a trial, or the system until it is interrupted.

    After a trial, exits with 1 if a rule was violated or no request was served.
    """
    if not SECONDS.value:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(run_until_interrupted(GATEWAYS.value))
        return
    settings = TrialSettings(seconds=SECONDS.value, gateways=GATEWAYS.value, rate_per_s=RATE.value, seed=SEED.value)
    ledger, client = asyncio.run(run_trial(settings))
    violations = ledger.violations()
    print(
        f"{client.served} requests served, {client.given_up} failed, {len(ledger.statuses)} attempts, "
        f"{sum(ledger.executions.values())} executions at backends; {len(violations)} violations"
    )
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        print(violation)
    sys.exit(1 if violations or not client.served else 0)


def main() -> None:
    """Parses the command line and calls `run`."""
    app.run(run)


if __name__ == "__main__":
    main()
