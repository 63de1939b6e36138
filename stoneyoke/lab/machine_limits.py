"""Checks, before any process starts, whether the machine has the resources for a run."""

import math
import resource

import psutil

from stoneyoke.lab.addresses import Addresses, address_text, can_listen
from stoneyoke.lab.errors import CannotRun
from stoneyoke.lab.scenario import Scenario

LINKS_PER_PROCESS = 6000  # each link takes one descriptor to listen; each connection over it takes two more
SPARE_DESCRIPTORS = 4000  # for the connections over the links of one process
GATEWAY_MB = 22  # memory of a gateway process, in MB
WORKER_MB = 150  # memory of a worker, in MB
OTHER_WORKERS = 4  # workers beside those with links, as the memory check counts them
LINKS_PER_MB = 50  # links per MB of memory
PROBED_LINKS = 200  # approximate number of links whose ports are checked


def link_process_count(addresses: Addresses) -> int:
    """Returns how many processes run the links."""
    return math.ceil(len(addresses.links()) / LINKS_PER_PROCESS)


def check_capacity(scenario: Scenario, addresses: Addresses) -> None:
    """Checks descriptors, memory and ports, and raises this process's descriptor limit, which its children inherit.

    Raises:
        CannotRun: A resource is not sufficient; the text says how much of it is needed.
    """
    processes = link_process_count(addresses)
    _raise_descriptor_limit(len(addresses.links()), processes)
    _check_memory(scenario, len(addresses.links()), processes)
    _check_ports(scenario, addresses)


def _raise_descriptor_limit(links: int, processes: int) -> None:
    needed = math.ceil(links / processes) + SPARE_DESCRIPTORS
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise CannotRun(f"descriptors: {needed} a process are needed for {links} links, the limit is {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (needed if hard == resource.RLIM_INFINITY else hard, hard))


def _check_memory(scenario: Scenario, links: int, processes: int) -> None:
    gateways = scenario.gateways.count
    needed_mb = gateways * GATEWAY_MB + WORKER_MB * (processes + OTHER_WORKERS) + links // LINKS_PER_MB
    free_mb = psutil.virtual_memory().available >> 20
    if free_mb < needed_mb:
        raise CannotRun(f"memory: {needed_mb} MB are needed for {gateways} gateways, {free_mb} MB are free")


def _check_ports(scenario: Scenario, addresses: Addresses) -> None:
    links = addresses.links()
    probes = [link.entry for link in links[:: max(1, len(links) // PROBED_LINKS)]]
    probes += [addresses.gateway(gateway) for gateway in range(scenario.gateways.count)]
    for address in probes:
        if not can_listen(address):
            raise CannotRun(f"port: {address_text(address)} is busy; another lab may run (take another --port)")
