"""Defects that are seeded into a gateway, to verify that the soak finds them.

python -O -m stoneyoke.lab.soak.defects NAME [the gateway's arguments]
"""

import itertools
import sys

from stoneyoke.control.retry_policy import RetryPolicy
from stoneyoke.control.rpc_runner import RpcRunner
from stoneyoke.lab.simulation.defects.patches import Patch, applied, by_name
from stoneyoke.net import connection_table
from stoneyoke.net.backend_connection import BackendConnection
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.programs import gateway

LEAK_INTERVAL = 10


def attempts_outlive_clients() -> list[Patch]:
    """An attempt is not cancelled when its client disconnects (incident inc1)."""
    return [Patch(RpcRunner, "cancel_attempts", lambda _, __: None)]


def unread_clients_unseen() -> list[Patch]:
    """The gateway does not detect the disconnect of a client with unread input (incident inc1)."""
    return [Patch(connection_table, "notice_departure", lambda _: None)]


def orders_end_with_clients() -> list[Patch]:
    """A non-idempotent request that may be running is cancelled when its client disconnects."""
    return [Patch(RetryPolicy, "ends_with_client", lambda _, __: True)]


def cancelled_connections_stay_open() -> list[Patch]:
    """A connection that should be closed stays open."""
    kept: list[BackendConnection] = []  # a stream without references closes itself
    return [Patch(BackendConnection, "close", lambda connection: kept.append(connection))]


def descriptors_leak() -> list[Patch]:
    """One descriptor in LEAK_INTERVAL is not released."""
    release, numbers = DescriptorBudget.release, itertools.count(1)

    def release_most(self: DescriptorBudget) -> None:
        if next(numbers) % LEAK_INTERVAL:
            release(self)

    return [Patch(DescriptorBudget, "release", release_most)]


DEFECTS = by_name(
    attempts_outlive_clients,
    unread_clients_unseen,
    orders_end_with_clients,
    cancelled_connections_stay_open,
    descriptors_leak,
)


def main() -> None:
    """Runs the gateway with one defect."""
    with applied(DEFECTS[sys.argv.pop(1)]()):
        gateway.main()


if __name__ == "__main__":
    main()
