"""What a gateway process is given: its configuration, its own options and the key that all share."""

import json
from pathlib import Path
from typing import Any

from stoneyoke.lab.addresses import Addresses, address_text
from stoneyoke.lab.scenario import Scenario


def gateway_settings(scenario: Scenario, addresses: Addresses, g: int) -> dict[str, Any]:
    """The settings of gateway g, named as the simulator's first message names them."""
    return {
        "balancers": scenario.gateways.count,
        "self-index": g,
        "zones": scenario.zones(),
        "zone": scenario.zones().index(addresses.gateway_names[g].split("/")[0]),
        "discovery": "automatic",
        "caps": {
            "cancel": True,
            "try-limit": 4,
            "dial-timeout-us": 250_000,
            "retry-after": True,
            "conn-idle-us": int(scenario.backends.idle_s * 1e6),
        },
        "extra": {
            "units-top": max(m.units for m in scenario.method),
            "has-counter": True,
            "count-limit-us": int(scenario.counter.limit_ms * 1000),
        },
        "rules": {
            "cold-from": scenario.backends.cold_share,
            "overload-factor": scenario.backends.overload_factor,
            "ramp-time-us": int(scenario.backends.warm_up_s * 1e6),
            "answer-slack-us": 5000,
            "overload-for-us": int(scenario.backends.overload_window_s * 1e6),
        },
        "clients": {"marks-retry": scenario.clients.marks},
        "classes": [
            {
                "name": m.name,
                "effect": m.effect,
                "group": m.group,
                "aim-us": int(m.soft_ms * 1000),
                "deadline-us": int(m.deadline_ms * 1000),
                "memory-span-us": int(m.memory_ms * 1000),
                "gain": m.utility,
            }
            for m in scenario.method
        ],
        "tariffs": [
            {
                "name": p.name,
                "units-per-s": p.rate,
                "depth": p.burst,
                "worth-factor": p.price,
                "parallel": 0,
                "cap-rate": p.ceiling_rate,
                "cap-depth": p.ceiling_burst,
            }
            for p in scenario.plan
        ],
    }


def backend_entry(addresses: Addresses, b: int, name: str = "", since_ms: int = 0) -> dict[str, Any]:
    """Backend b, as discovery lists it."""
    zone = addresses.backend_names[b].split("/")[0]
    return {
        "name": name or addresses.backend_names[b],
        "zone": zone,
        "type": "lab",
        "group": b % 7,
        "status": "active",
        "weight": 1.0,
        "since_ms": since_ms,
    }


class GatewayFiles:
    """Writes the files of a run's gateways into its folder."""

    def __init__(self, scenario: Scenario, addresses: Addresses, seed: int, out: Path) -> None:
        self.scenario, self.addresses, self.seed, self.out = scenario, addresses, seed, out
        self.keys = out.resolve() / "configs" / "keys"

    def write_keys(self) -> None:
        """The key that all gateways share, written once, before any starts: one that starts reads it meanwhile."""
        if self.scenario.fleet.on:
            self.keys.write_text(f"{self.seed:032x}\n")

    def write(self, g: int, life: int, settings: dict[str, Any]) -> Path:
        """The configuration of a gateway's life, with its options beside it."""
        addresses = self.addresses
        path = self.out / "configs" / f"g{g:03d}.json"
        known = [
            backend_entry(addresses, b) | {"address": address_text(addresses.link_to_backend(g, b))}
            for b in range(self.scenario.backends.count)
        ]
        path.write_text(
            json.dumps(
                {
                    "name": addresses.gateway_names[g],
                    "listen": address_text(addresses.gateway(g)),
                    "discovery": address_text(addresses.link_to_discovery(g)),
                    "counter": address_text(addresses.link_to_counter(g)),
                    "seed": f"{(self.seed * 1_000_003 + g * 101 + life) % 2**63:016x}",
                    "limits": {
                        "cores": 1.0,
                        "memory_mb": self.scenario.gateways.memory_mb,
                        "sockets": self.scenario.gateways.sockets,
                    },
                    "known": {"index": len(known), "snapshot": True, "endpoints": known},
                    "settings": settings,
                }
            )
        )
        if self.scenario.fleet.on:
            (self.out / "configs" / f"g{g:03d}.toml").write_text(self.options(g))
        return path

    def options(self, g: int) -> str:
        """The gateway's own options: where its datagrams come to, and over which links the others reach
        it."""
        addresses = self.addresses
        seed_count = min(self.scenario.fleet.seeds, self.scenario.gateways.count)
        seeds = ", ".join(f'"{address_text(addresses.link_to_peer(seed))}"' for seed in range(seed_count))
        listen, advertise = address_text(addresses.peer(g)), address_text(addresses.link_to_peer(g))
        return f'[fleet]\nlisten = "{listen}"\nadvertise = "{advertise}"\nseeds = [{seeds}]\nkeys = "{self.keys}"\n'
