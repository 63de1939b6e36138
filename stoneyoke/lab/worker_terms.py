"""What each worker of a run is told on its first line of input."""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np

from stoneyoke.lab.addresses import Addresses, address_text
from stoneyoke.lab.gateway_files import backend_entry
from stoneyoke.lab.machine_limits import link_processes
from stoneyoke.lab.plan import RunPlan
from stoneyoke.lab.result import backend_speeds
from stoneyoke.lab.scenario import Scenario


class WorkerTerms(NamedTuple):
    """A worker's name, its role, and what that is given."""

    name: str
    kind: str
    given: dict[str, Any]


def worker_terms(scenario: Scenario, addresses: Addresses, drawn: RunPlan, seed: int, out: Path) -> list[WorkerTerms]:
    """All workers of a run, in the order in which they start."""
    return [
        *link_terms(addresses),
        backends_terms(scenario, addresses, seed),
        counter_terms(scenario, addresses),
        discovery_terms(scenario, addresses, seed),
        clients_terms(scenario, addresses, drawn, seed),
        supervisor_terms(scenario, out),
    ]


def link_terms(addresses: Addresses) -> list[WorkerTerms]:
    """The processes that carry the links, each with its part of them."""
    links, carriers = addresses.links(), link_processes(addresses)
    peers = [(name, addresses.peer(g), addresses.link_to_peer(g)) for g, name in enumerate(addresses.gateway_names)]
    return [
        WorkerTerms(f"links{at}", "links", {"links": links[at::carriers], "peers": peers, "at": at, "of": carriers})
        for at in range(carriers)
    ]


def backends_terms(scenario: Scenario, addresses: Addresses, seed: int) -> WorkerTerms:
    """What the stand-ins of all backends are told."""
    given, speeds = scenario.backends, backend_speeds(scenario)
    methods = [msgspec.to_builtins(m) for m in scenario.method]
    return WorkerTerms(
        "backends",
        "backends",
        {
            "seed": seed,
            "methods": methods,
            "slots": given.slots,
            "queue": given.queue,
            "connections": given.connections,
            "cold_share": given.cold_share,
            "warm_up_s": given.warm_up_s,
            "backends": [
                (
                    name,
                    addresses.backend(b),
                    speeds[b],
                    {"all": "all", "zone": name.split("/")[0], "cell": f"{name.split('/')[0]}-{b % 7}"},
                )
                for b, name in enumerate(addresses.backend_names)
            ],
        },
    )


def counter_terms(scenario: Scenario, addresses: Addresses) -> WorkerTerms:
    """What the counter's stand-in is told."""
    return WorkerTerms(
        "counter",
        "counter",
        {
            "addresses": [addresses.counter_half(0), addresses.counter_half(1)],
            "per_s": scenario.counter.per_s,
            "parts": scenario.counter.parts,
            "line_ms": scenario.counter.line_ms,
        },
    )


def discovery_terms(scenario: Scenario, addresses: Addresses, seed: int) -> WorkerTerms:
    """What discovery's stand-in is told: the list, and how late each gateway's agent is."""
    given = scenario.backends
    random_source = np.random.Generator(np.random.PCG64(seed + 1))
    late = (
        scenario.discovery.notice_ms + scenario.discovery.spread_ms * random_source.random(scenario.gateways.count)
    ) / 1000
    return WorkerTerms(
        "discovery",
        "discovery",
        {
            "list": [backend_entry(addresses, b) for b in range(given.count)],
            "agents": [
                (name, addresses.discovery_agent(g), float(late[g])) for g, name in enumerate(addresses.gateway_names)
            ],
            "addresses": [
                [address_text(addresses.link_to_backend(g, b)) for b in range(given.count)]
                for g in range(scenario.gateways.count)
            ],
        },
    )


def clients_terms(scenario: Scenario, addresses: Addresses, drawn: RunPlan, seed: int) -> WorkerTerms:
    """What the clients are told: who asks for what, when and where."""
    methods = [msgspec.to_builtins(m) for m in scenario.method]
    return WorkerTerms(
        "front",
        "front",
        {
            "seed": seed,
            "gateways": addresses.gateway_names,
            "clients": msgspec.to_builtins(scenario.clients),
            "methods": methods,
            "plans": [p.name for p in scenario.plan],
            "customers": [(c.account, c.plan, c.first, c.width) for c in drawn.customers],
            "arrivals": msgspec.to_builtins(drawn.arrivals),
            "entries": [addresses.link_to_gateway(g) for g in range(scenario.gateways.count)],
        },
    )


def supervisor_terms(scenario: Scenario, out: Path) -> WorkerTerms:
    """What the supervisor of the gateway processes is told."""
    return WorkerTerms(
        "keeper",
        "keeper",
        {
            "out": str(out),
            "sockets": scenario.gateways.sockets,
            "memory_mb": scenario.gateways.memory_mb,
        },
    )
