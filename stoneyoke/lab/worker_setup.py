"""The setups of a run's workers."""

from pathlib import Path

import numpy as np

from stoneyoke.lab.addresses import Addresses, address_text
from stoneyoke.lab.gateway_files import endpoint_entry
from stoneyoke.lab.machine_limits import link_process_count
from stoneyoke.lab.plan import RunPlan
from stoneyoke.lab.result import backend_speeds
from stoneyoke.lab.scenario import Scenario
from stoneyoke.lab.worker_messages import (
    BACKENDS,
    CLIENTS,
    COUNTER,
    DISCOVERY,
    LINKS_PREFIX,
    SUPERVISOR,
    AgentSetup,
    BackendSetup,
    BackendsSetup,
    ClientsSetup,
    CounterSetup,
    DiscoverySetup,
    LinksSetup,
    PeerAddresses,
    SupervisorSetup,
    WorkerSetup,
)

CELLS_PER_ZONE = 7


def worker_setups(scenario: Scenario, addresses: Addresses, plan: RunPlan, out: Path) -> list[WorkerSetup]:
    """Returns the setups of all workers of a run, in the order in which they start."""
    return [
        *links_setups(addresses),
        backends_setup(scenario, addresses, plan.seed),
        counter_setup(scenario, addresses),
        discovery_setup(scenario, addresses, plan.seed),
        clients_setup(scenario, addresses, plan),
        supervisor_setup(scenario, out),
    ]


def links_setups(addresses: Addresses) -> list[LinksSetup]:
    """Returns the setups of the processes that run the links, each with its part of them."""
    links, processes = addresses.links(), link_process_count(addresses)
    peers = [
        PeerAddresses(name, addresses.peer(gateway), addresses.link_to_peer(gateway))
        for gateway, name in enumerate(addresses.gateway_names)
    ]
    return [
        LinksSetup(
            name=f"{LINKS_PREFIX}{index}", links=links[index::processes], peers=peers, index=index, processes=processes
        )
        for index in range(processes)
    ]


def backends_setup(scenario: Scenario, addresses: Addresses, seed: int) -> BackendsSetup:
    """Returns the setup of all backends."""
    backends = []
    for number, (name, speed) in enumerate(zip(addresses.backend_names, backend_speeds(scenario), strict=True)):
        zone = name.split("/")[0]
        memory_groups = {"all": "all", "zone": zone, "cell": f"{zone}-{number % CELLS_PER_ZONE}"}
        backends.append(BackendSetup(name, addresses.backend(number), speed, memory_groups))
    return BackendsSetup(
        name=BACKENDS, seed=seed, methods=scenario.method, settings=scenario.backends, backends=backends
    )


def counter_setup(scenario: Scenario, addresses: Addresses) -> CounterSetup:
    """Returns the setup of the counter service."""
    halves = [addresses.counter_half(0), addresses.counter_half(1)]
    return CounterSetup(name=COUNTER, addresses=halves, settings=scenario.counter)


def discovery_setup(scenario: Scenario, addresses: Addresses, seed: int) -> DiscoverySetup:
    """Returns the setup of discovery, with a random delay for each gateway's agent."""
    random_source = np.random.Generator(np.random.PCG64(seed + 1))
    settings, backends = scenario.discovery, range(scenario.backends.count)
    delays_s = (settings.notice_ms + settings.spread_ms * random_source.random(scenario.gateways.count)) / 1000
    agents = [
        AgentSetup(
            name,
            addresses.discovery_agent(gateway),
            float(delays_s[gateway]),
            [address_text(addresses.link_to_backend(gateway, backend)) for backend in backends],
        )
        for gateway, name in enumerate(addresses.gateway_names)
    ]
    endpoints = [endpoint_entry(addresses, backend) for backend in backends]
    return DiscoverySetup(name=DISCOVERY, endpoints=endpoints, agents=agents)


def clients_setup(scenario: Scenario, addresses: Addresses, plan: RunPlan) -> ClientsSetup:
    """Returns the setup of the clients, with all customers and arrivals."""
    return ClientsSetup(
        name=CLIENTS,
        seed=plan.seed,
        gateways=addresses.gateway_names,
        entries=[addresses.link_to_gateway(gateway) for gateway in range(scenario.gateways.count)],
        settings=scenario.clients,
        methods=scenario.method,
        plans=[customer_plan.name for customer_plan in scenario.plan],
        customers=plan.customers,
        arrivals=plan.arrivals,
    )


def supervisor_setup(scenario: Scenario, out: Path) -> SupervisorSetup:
    """Returns the setup of the gateways' supervisor."""
    return SupervisorSetup(
        name=SUPERVISOR,
        out=str(out),
        max_descriptors=scenario.gateways.sockets,
        max_memory_bytes=scenario.gateways.memory_mb << 20,
    )
