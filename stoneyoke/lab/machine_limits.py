"""Whether the machine can hold a run, told before anything starts."""

import math
import resource

import psutil

from stoneyoke.lab.places import Places, can_listen, text
from stoneyoke.lab.scenario import Scenario

LINKS_A_PROCESS = 6000  # listening sockets; each carried connection takes two more
SPARE = 4000  # descriptors of a process of links, for connections
GATEWAY_MB = 22  # what a gateway process holds


class CantRun(Exception):
    """The machine can't hold this run, or something did not start: one line, told before any load."""


def link_processes(places: Places) -> int:
    """How many processes carry the links."""
    return math.ceil(len(places.links()) / LINKS_A_PROCESS)


def check_capacity(scenario: Scenario, places: Places) -> None:
    """Raises CantRun where the machine can't hold it, with what is needed."""
    links, carriers = places.links(), link_processes(places)
    need = math.ceil(len(links) / carriers) + SPARE
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < need:
        raise CantRun(f"descriptors: {need} a process are needed for {len(links)} links, the limit is {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (need if hard == resource.RLIM_INFINITY else hard, hard))
    memory = scenario.gateways.count * GATEWAY_MB + 150 * (carriers + 4) + len(links) // 50
    free = psutil.virtual_memory().available >> 20
    if free < memory:
        raise CantRun(f"memory: {memory} MB are needed for {scenario.gateways.count} gateways, {free} MB are free")
    probes = [entry for _, _, entry, _ in links[:: max(1, len(links) // 200)]]
    probes += [places.gateway(g) for g in range(scenario.gateways.count)]
    for address in probes:
        if not can_listen(address):
            raise CantRun(f"port: {text(address)} is busy; another lab may run (take another --port)")
