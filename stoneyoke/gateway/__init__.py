"""The data plane of the system: routes, quotas, forwarding, and the state that a gateway gets from controllers.

A request passes through `request_handler` (route, tenant, deadline, quota) and `forwarding` (attempts at backends). A
configuration passes through `config_sync` (pull and fetch), `control_client` (readiness) and `routes` (the table in
force).
"""
