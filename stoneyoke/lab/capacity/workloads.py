"""Configurations, heartbeats and instance rows for measurements; the same arguments give the same data."""

import json
import random
import string
from typing import Any

from stoneyoke.controlplane.instance_registry import Phase
from stoneyoke.transport.messages import InstanceRow

ROUTES_PER_HOST = 20
INSTANCES_PER_SERVICE = 54  # the operators have 200,000 instances in 3,700 services
ROUTES_PER_SERVICE = 20  # the operators have 76,000 routes to 3,700 services
KEYS_PER_TENANT = 2  # as the operators' documentation says
KEY_CHARACTERS = 20
ZONES = 18


def random_word(random_source: random.Random, length: int) -> str:
    """Returns a string of random letters and digits."""
    return "".join(random_source.choices(string.ascii_lowercase + string.digits, k=length))


def service_name(index: int) -> str:
    """Returns the name of the service with this index."""
    return f"service-{index:04d}"


def route(random_source: random.Random, service: str) -> dict[str, Any]:
    """Returns a route in the form of the operators' configuration."""
    return {
        "label": f"r-{random_word(random_source, 7)}",
        "path_prefix": f"/{random_word(random_source, 7)}/{random_word(random_source, 4)}/",
        "route_kind": random_source.choice(("pure", "effectful")),
        "timeout_s": random_source.choice((2, 5, 6)),
        "target_s": random_source.choice((0.5, 0.8, 1)),
        "rank": random_source.randrange(3),
        "target_service": service,
        "max_tries": 2,
        "is_public": False,
    }


def tenant(random_source: random.Random, index: int) -> dict[str, Any]:
    """Returns the tenant with this index, in the form of the operators' configuration."""
    return {
        "label": f"tenant-{index:07d}",
        "api_keys": [random_word(random_source, KEY_CHARACTERS) for _ in range(KEYS_PER_TENANT)],
        "rank": index % 3,
        "rate_per_s": 33,
        "burst_size": 33,
    }


def configuration(routes: int = 20, tenants: int = 8, number: int = 1, routes_per_host: int = ROUTES_PER_HOST) -> bytes:
    """Returns the text of a configuration with this number of routes and tenants."""
    random_source = random.Random(7)
    services = max(1, routes // ROUTES_PER_SERVICE)
    rows = [route(random_source, service_name(index % services)) for index in range(routes)]
    return json.dumps(
        {
            "generation": f"r{number}",
            "service_list": [
                {
                    "label": service_name(index),
                    "health_path": "/health",
                    "max_conns": 130,
                    "protocol": "h1",
                    "tls_mode": False,
                }
                for index in range(services)
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1 << 26,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenant_list": [tenant(random_source, index) for index in range(tenants)],
            "host_map": [
                {
                    "hostname": f"host-{first // routes_per_host}.example",
                    "path_map": rows[first : first + routes_per_host],
                }
                for first in range(0, routes, routes_per_host)
            ],
        },
        separators=(",", ":"),
    ).encode()


def instance_name(index: int) -> str:
    """Returns the name of the instance with this index."""
    return f"i-{index:08x}"


def address(index: int) -> str:
    """Returns the address of the instance with this index."""
    return f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:8080"


def row(index: int, call_seq: int = 1, phase: Phase = Phase.READY) -> InstanceRow:
    """Returns the row of the instance with this index, as controllers send it to gateways."""
    service = service_name(index // INSTANCES_PER_SERVICE)
    return InstanceRow(
        instance_name(index), address(index), service, f"zone-{index % ZONES:02d}", "v1", 2, int(phase), call_seq, 0.0
    )


def heartbeat(index: int, call_seq: int, phase: str = "ready") -> bytes:
    """Returns the body of a heartbeat of the instance with this index."""
    return json.dumps(
        {
            "address": address(index),
            "details": {
                "target_service": service_name(index // INSTANCES_PER_SERVICE),
                "generation": "v1",
                "zone_name": f"zone-{index % ZONES:02d}",
                "capacity": 2,
            },
            "observed": {"phase": phase, "call_seq": call_seq, "warmup_left_s": 0},
        }
    ).encode()
