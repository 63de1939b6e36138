"""Hot paths, each measured separately: the real code with state of a given size, in one process, without a network."""

from collections.abc import Callable

from stoneyoke.lab.capacity.figures import Figure
from stoneyoke.lab.capacity.hot_paths import configurations, controller_registry, gateway_directory, peer_calls, quotas

HOT_PATHS: dict[str, Callable[[int], list[Figure]]] = {
    "configuration by routes": configurations.configuration_by_routes,
    "look-up on one host": configurations.look_up_by_host_routes,
    "configuration by tenants": configurations.configuration_by_tenants,
    "configuration's key check": configurations.check_keys,
    "controller's registry": controller_registry.registered_heartbeats,
    "controller's first beats": controller_registry.first_heartbeats,
    "gateway's directory": gateway_directory.merge_pulls,
    "gateway's upstreams": gateway_directory.renew_upstreams,
    "quota allocator": quotas.allocate_quotas,
    "gateway's local quotas": quotas.decide_requests,
    "socket call": peer_calls.call_over_socket,
}
