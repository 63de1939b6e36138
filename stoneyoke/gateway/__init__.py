"""The data plane of the system: routes, quotas, forwarding, and what a gateway learns from controllers.

A request's way: `request_handler` (route, tenant, deadline, quota), then `forwarding` (attempts at backends). A
configuration's way: `config_sync` (pull and fetch), `control_client` (readiness), then `routes` (the table in force).
"""
