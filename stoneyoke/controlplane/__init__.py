"""The control plane: configuration, voters, instances, the quota lease, and the APIs through which they are used.

Composition and what all parts share:

* `settings`, `controller`: what a controller is started with; its parts and their lifecycle.
* `controller_context`, `cluster_view`: clock, tasks and change notifications; voters, links and quorum.

Decisions without I/O:

* `instance_registry`, `startup_sync`: instances and how rows merge; whether every acknowledged drain is known.
* `leases`, `heartbeat_ring`: grants and holders of leases; which controllers watch a gateway.
* `status`: the report for people and stoneyokectl.

Services, which carry decisions out:

* `discovery_service`: heartbeats and leaves of instances, replicated to the voters.
* `configuration_service`, `chosen_configuration`: the operators' calls; the newest configuration, for gateways.
* `lease_voter`, `quota_lease`: the two sides of the quota lease, and quotas for gateways.
* `membership`: which controllers vote.
* `peers`, `peer_follower`, `gateway_tracker`: the other processes, and what they say of themselves.

Entry points:

* `message_router`, `pull_service`: messages of gateways and other controllers.
* `http_api`: calls of instances and operators.

A drain is acknowledged in `discovery_service.DiscoveryService.acknowledge_by_majority`, a configuration in
`configuration_service.ConfigurationService.replace`. Times are seconds of a steady clock; the time of day is never used
(DEPLOY, Clocks).
"""
