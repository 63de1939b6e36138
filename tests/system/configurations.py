"""An example configuration as operators write it."""

import copy
import json
from collections.abc import Callable
from typing import Any

EXAMPLE: dict[str, Any] = {
    "generation": "r7",
    "service_list": [
        {"label": name, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls_mode": False}
        for name in ("tide", "quay", "mast")
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
    "tenant_list": [
        {"label": "anna", "api_keys": ["key-a", "key-b"], "rank": 1, "rate_per_s": 30, "burst_size": 30},
        {"label": "bert", "api_keys": ["key-c"], "rank": 0, "rate_per_s": 0, "burst_size": 0},
    ],
    "host_map": [
        {
            "hostname": "one.example",
            "path_map": [
                {
                    "label": "r-1",
                    "path_prefix": "/a/",
                    "route_kind": "pure",
                    "timeout_s": 5,
                    "target_s": 0.8,
                    "rank": 2,
                    "weighted": [{"target_service": "tide", "share": 90}, {"target_service": "quay", "share": 10}],
                    "max_tries": 2,
                    "is_public": False,
                },
                {
                    "label": "r-2",
                    "path_prefix": "/a/b/",
                    "route_kind": "effectful",
                    "timeout_s": 6,
                    "target_s": 1,
                    "rank": 1,
                    "target_service": "quay",
                    "max_tries": 3,
                    "is_public": False,
                },
            ],
        },
        {
            "hostname": "two.example",
            "path_map": [
                {
                    "label": "r-3",
                    "path_prefix": "/",
                    "route_kind": "pure",
                    "timeout_s": 2,
                    "target_s": 0.5,
                    "rank": 0,
                    "target_service": "mast",
                    "max_tries": 1,
                    "is_public": True,
                }
            ],
        },
    ],
}


def example(number: int = 7, change: Callable[[dict[str, Any]], object] | None = None) -> bytes:
    """Returns the text of the example.

    Args:
        number: The number of its version.
        change: Changes the configuration before it is encoded.
    """
    configuration = copy.deepcopy(EXAMPLE)
    configuration["generation"] = f"r{number}"
    if change:
        change(configuration)
    return json.dumps(configuration).encode()


def route(configuration: dict[str, Any], host: int = 0, at: int = 0) -> dict[str, Any]:
    """Returns one route of a configuration by its indices in the lists."""
    found: dict[str, Any] = configuration["host_map"][host]["path_map"][at]
    return found
