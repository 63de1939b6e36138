"""Defects that are seeded into a gateway, to verify that the soak finds them.

python -O -m stoneyoke.lab.soak.defects NAME [the gateway's arguments]
"""

import itertools
import sys

from stoneyoke.control.retry_policy import AttemptHistory, RetryPolicy
from stoneyoke.control.rpc_runner import RpcRunner
from stoneyoke.gateway.request_handler import RequestHandler
from stoneyoke.gateway.shutdown_schedule import ShutdownSchedule
from stoneyoke.lab.simulation.defects.patches import Patch, applied, by_name
from stoneyoke.net import connection_table
from stoneyoke.net.backend_connection import BackendConnection
from stoneyoke.net.descriptor_budget import DescriptorBudget
from stoneyoke.net.http_server import HttpServer
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


def late_requests_forwarded() -> list[Patch]:
    """A request is forwarded although the shutdown can't await its response (review/1)."""
    return [Patch(ShutdownSchedule, "may_forward", lambda _, __, ___: True)]


def exits_without_responses() -> list[Patch]:
    """The exit closes the connections of requests that are at work, and of those behind them (review/1)."""
    return [Patch(RequestHandler, "end_attempts", lambda _: None)]


def silent_attempts_cancelled_in_shutdown() -> list[Patch]:
    """A shutdown breaks off attempts in flight as soon as the listener has closed."""
    close_idle_connections = HttpServer.close_idle_connections

    def close_idle_and_end_attempts(self: HttpServer) -> None:
        close_idle_connections(self)
        if isinstance(self, RequestHandler):
            self.end_attempts()

    return [Patch(HttpServer, "close_idle_connections", close_idle_and_end_attempts)]


def orders_retried() -> list[Patch]:
    """A non-idempotent request is retried although it may have run."""
    return [Patch(AttemptHistory, "forbids_retry", lambda _: False)]


DEFECTS = by_name(
    attempts_outlive_clients,
    unread_clients_unseen,
    orders_end_with_clients,
    cancelled_connections_stay_open,
    descriptors_leak,
    late_requests_forwarded,
    exits_without_responses,
    silent_attempts_cancelled_in_shutdown,
    orders_retried,
)


def main() -> None:
    """Runs the gateway with one defect."""
    with applied(DEFECTS[sys.argv.pop(1)]()):
        gateway.main()


if __name__ == "__main__":
    main()
