"""The data plane of the system: routes and keys, admission, forwarding, what is heard of cores and backends."""
