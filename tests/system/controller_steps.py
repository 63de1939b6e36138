"""What tests of controllers at work together do and look at: calls of operators and instances, and their state."""

import json
from collections.abc import Callable
from typing import Any

from configurations import example
from controller_cluster import Cluster

from stoneyoke.api.calls import ApiCall, Rejected
from stoneyoke.api.http_mapping import read_call
from stoneyoke.consensus.register_value import VoterSet


def put(number: int, change: Callable[[Any], None] | None = None) -> ApiCall | Rejected:
    """An operator's call that replaces the configuration by the example with this number, changed if asked for."""
    return read_call("POST", "/config/replace", example(number, change))


def other_content(configuration: dict[str, Any]) -> None:
    """Changes a configuration without changing its number."""
    configuration.update(limits=None)


def heartbeat(seq: int = 1, phase: str = "ready", instance: str = "i-1") -> ApiCall | Rejected:
    """An instance's heartbeat."""
    body = {
        "address": "10.0.1.1:80",
        "details": {"target_service": "tide", "capacity": 2},
        "observed": {"phase": phase, "call_seq": seq},
    }
    return read_call("POST", f"/instances/{instance}/heartbeat", json.dumps(body).encode())


async def all_have_quorum(cluster: Cluster) -> None:
    """Waits until every controller reaches a majority of the voters."""
    await cluster.wait_until(lambda: all(one.has_quorum() for one in cluster.controllers.values()))


def voters(cluster: Cluster, name: str = "10.0.0.2") -> VoterSet:
    """The voters as one controller knows them."""
    return cluster.controllers[name].replica.voters()


def status(cluster: Cluster, name: str = "10.0.0.2") -> dict[str, Any]:
    """One controller's status report."""
    report: dict[str, Any] = json.loads(cluster.controllers[name].status())
    return report


def lease_holders(cluster: Cluster) -> list[str]:
    """The controllers that hold the quota lease, by their own account."""
    return [name for name, one in cluster.controllers.items() if one.lease.is_held()]
