"""Steps of tests with a cluster of controllers: calls of operators and instances, queries of the cluster's state."""

import json
from collections.abc import Callable
from typing import Any

from configurations import example
from controller_cluster import Cluster

from stoneyoke.api.calls import ApiCall, Rejected
from stoneyoke.api.http_mapping import read_call
from stoneyoke.consensus.register_value import VoterSet


def put(number: int, change: Callable[[Any], None] | None = None) -> ApiCall | Rejected:
    """Returns an operator's call that replaces the configuration by the example with this number.

    Args:
        number: the configuration's number.
        change: modifies the example; None: it stays as it is.
    """
    return read_call("POST", "/config/replace", example(number, change))


def other_content(configuration: dict[str, Any]) -> None:
    """Changes a configuration's content without changing its number."""
    configuration.update(limits=None)


def heartbeat(seq: int = 1, phase: str = "ready", instance: str = "i-1") -> ApiCall | Rejected:
    """Returns an instance's heartbeat."""
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
    """Returns the voters that one controller knows."""
    return cluster.controllers[name].replica.voters()


def status(cluster: Cluster, name: str = "10.0.0.2") -> dict[str, Any]:
    """Returns one controller's status report."""
    report: dict[str, Any] = json.loads(cluster.controllers[name].status())
    return report


def lease_holders(cluster: Cluster) -> list[str]:
    """Returns the controllers that consider themselves the holder of the quota lease."""
    return [name for name, one in cluster.controllers.items() if one.lease.is_held()]
