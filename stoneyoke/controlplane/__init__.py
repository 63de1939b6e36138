"""The control plane: configuration, voters, instances, the quota lease, and the APIs to them.

Composition and shared parts:

* `settings`, `controller`: a controller's settings; its parts and their lifecycle.
* `controller_context`, `cluster_view`: clock, tasks and change notifications; voters, links and quorum.

Decision logic, without I/O:

* `instance_registry`, `startup_sync`: instances and how rows merge; whether every acknowledged drain is known.
* `leases`, `heartbeat_ring`: grants and holders of leases; which controllers receive a gateway's heartbeats.
* `status`: the status report for operators and stoneyokectl.

Services, which execute the decisions:

* `discovery_service`: heartbeats and leaves of instances, replicated to the voters.
* `configuration_service`, `chosen_configuration`: the operators' calls; the newest configuration, for gateways.
* `lease_voter`, `quota_lease`: the two sides of the quota lease, and quotas for gateways.
* `membership`: which controllers vote.
* `peers`, `peer_follower`, `gateway_tracker`: the state that other controllers and gateways report.

Entry points:

* `message_router`, `pull_service`: messages of gateways and other controllers.
* `http_api`: calls of instances and operators.

A drain is acknowledged in `discovery_service.DiscoveryService.acknowledge_by_majority`, a configuration in
`configuration_service.ConfigurationService.replace`. Times are seconds of a monotonic clock; the time of day is never
used (DEPLOY, Clocks).
"""
