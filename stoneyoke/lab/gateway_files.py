"""The files of a run's gateway processes: the configuration and the options of each, and the key that all share."""

import json
from pathlib import Path
from typing import Any

from stoneyoke.lab.addresses import Addresses, address_text
from stoneyoke.lab.scenario import Scenario

# Settings that are the same at every gateway.
MAX_TRIES = 4
DIAL_TIMEOUT_US = 250_000
ANSWER_SLACK_US = 5000
BACKEND_GROUPS = 7
CPU_CORES = 1.0
SEED_STRIDE_RUN, SEED_STRIDE_GATEWAY = 1_000_003, 101


def gateway_settings(scenario: Scenario, addresses: Addresses, gateway: int) -> dict[str, Any]:
    """Returns the settings of a gateway, with the keys of the protocol's first message."""
    zones = scenario.zones()
    return {
        "balancers": scenario.gateways.count,
        "self-index": gateway,
        "zones": zones,
        "zone": zones.index(addresses.gateway_names[gateway].split("/")[0]),
        "discovery": "automatic",
        "caps": {
            "cancel": True,
            "try-limit": MAX_TRIES,
            "dial-timeout-us": DIAL_TIMEOUT_US,
            "retry-after": True,
            "conn-idle-us": int(scenario.backends.idle_s * 1e6),
        },
        "extra": {
            "units-top": max(method.units for method in scenario.method),
            "has-counter": True,
            "count-limit-us": int(scenario.counter.limit_ms * 1000),
        },
        "rules": {
            "cold-from": scenario.backends.cold_share,
            "overload-factor": scenario.backends.overload_factor,
            "ramp-time-us": int(scenario.backends.warm_up_s * 1e6),
            "answer-slack-us": ANSWER_SLACK_US,
            "overload-for-us": int(scenario.backends.overload_window_s * 1e6),
        },
        "clients": {"marks-retry": scenario.clients.marks},
        "classes": _method_settings(scenario),
        "tariffs": _plan_settings(scenario),
    }


def _method_settings(scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "name": method.name,
            "effect": method.effect,
            "group": method.group,
            "aim-us": int(method.soft_ms * 1000),
            "deadline-us": int(method.deadline_ms * 1000),
            "memory-span-us": int(method.memory_ms * 1000),
            "gain": method.utility,
        }
        for method in scenario.method
    ]


def _plan_settings(scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "name": plan.name,
            "units-per-s": plan.rate,
            "depth": plan.burst,
            "worth-factor": plan.price,
            "parallel": 0,
            "cap-rate": plan.ceiling_rate,
            "cap-depth": plan.ceiling_burst,
        }
        for plan in scenario.plan
    ]


def endpoint_entry(addresses: Addresses, backend: int) -> dict[str, Any]:
    """Returns a backend as discovery lists it, without its address."""
    name = addresses.backend_names[backend]
    return {
        "name": name,
        "zone": name.split("/")[0],
        "type": "lab",
        "group": backend % BACKEND_GROUPS,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }


class GatewayFiles:
    """Writes the files of a run's gateways into its folder."""

    def __init__(self, scenario: Scenario, addresses: Addresses, seed: int, out: Path) -> None:
        """Writes no file yet.

        Args:
            scenario: The scenario of the run.
            addresses: The addresses of all processes and links.
            seed: The seed of the run; each gateway's seed is derived from it.
            out: The run's folder.
        """
        self.scenario = scenario
        self.addresses = addresses
        self.seed = seed
        self.folder = out / "configs"
        self.keys = out.resolve() / "configs" / "keys"

    def write_keys(self) -> None:
        """Writes the key that all gateways share. Call it once, before any gateway starts, as gateways read it then."""
        if self.scenario.fleet.on:
            self.keys.write_text(f"{self.seed:032x}\n")

    def write(self, gateway: int, restarts: int, settings: dict[str, Any]) -> Path:
        """Writes the configuration for a gateway's next start, with its options beside it.

        Args:
            gateway: The gateway's number.
            restarts: How often the gateway was started before; each start has a different seed.
            settings: The gateway's settings; see gateway_settings.

        Returns:
            The configuration's path.
        """
        path = self.folder / f"g{gateway:03d}.json"
        path.write_text(json.dumps(self._configuration(gateway, restarts, settings)))
        if self.scenario.fleet.on:
            path.with_suffix(".toml").write_text(self._options(gateway))
        return path

    def _configuration(self, gateway: int, restarts: int, settings: dict[str, Any]) -> dict[str, Any]:
        addresses, limits = self.addresses, self.scenario.gateways
        seed = (self.seed * SEED_STRIDE_RUN + gateway * SEED_STRIDE_GATEWAY + restarts) % 2**63
        endpoints = [
            endpoint_entry(addresses, backend) | {"address": address_text(addresses.link_to_backend(gateway, backend))}
            for backend in range(self.scenario.backends.count)
        ]
        return {
            "name": addresses.gateway_names[gateway],
            "listen": address_text(addresses.gateway(gateway)),
            "discovery": address_text(addresses.link_to_discovery(gateway)),
            "counter": address_text(addresses.link_to_counter(gateway)),
            "seed": f"{seed:016x}",
            "limits": {"cores": CPU_CORES, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"index": len(endpoints), "snapshot": True, "endpoints": endpoints},
            "settings": settings,
        }

    def _options(self, gateway: int) -> str:
        """Returns a gateway's options: its address for datagrams, and the links over which other gateways reach it."""
        addresses = self.addresses
        seed_count = min(self.scenario.fleet.seeds, self.scenario.gateways.count)
        seeds = ", ".join(f'"{address_text(addresses.link_to_peer(seed))}"' for seed in range(seed_count))
        listen, advertise = address_text(addresses.peer(gateway)), address_text(addresses.link_to_peer(gateway))
        return f'[fleet]\nlisten = "{listen}"\nadvertise = "{advertise}"\nseeds = [{seeds}]\nkeys = "{self.keys}"\n'
