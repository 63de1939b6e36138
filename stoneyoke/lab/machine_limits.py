"""Whether the machine can hold a run, told before anything starts."""

import math
import resource

import psutil

from stoneyoke.lab.addresses import Addresses, address_text, can_listen
from stoneyoke.lab.errors import CannotRun
from stoneyoke.lab.scenario import Scenario

LINKS_A_PROCESS = 6000  # listening sockets; each carried connection takes two more
SPARE = 4000  # descriptors of a process of links, for connections
GATEWAY_MB = 22  # what a gateway process holds


def link_processes(addresses: Addresses) -> int:
    """How many processes carry the links."""
    return math.ceil(len(addresses.links()) / LINKS_A_PROCESS)


def check_capacity(scenario: Scenario, addresses: Addresses) -> None:
    """Raises CannotRun where the machine can't hold it, with what is needed."""
    links, carriers = addresses.links(), link_processes(addresses)
    need = math.ceil(len(links) / carriers) + SPARE
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < need:
        raise CannotRun(f"descriptors: {need} a process are needed for {len(links)} links, the limit is {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (need if hard == resource.RLIM_INFINITY else hard, hard))
    memory = scenario.gateways.count * GATEWAY_MB + 150 * (carriers + 4) + len(links) // 50
    free = psutil.virtual_memory().available >> 20
    if free < memory:
        raise CannotRun(f"memory: {memory} MB are needed for {scenario.gateways.count} gateways, {free} MB are free")
    probes = [entry for _, _, entry, _ in links[:: max(1, len(links) // 200)]]
    probes += [addresses.gateway(g) for g in range(scenario.gateways.count)]
    for address in probes:
        if not can_listen(address):
            raise CannotRun(f"port: {address_text(address)} is busy; another lab may run (take another --port)")
