"""HTTP/1.1 over sockets, to clients and backends: connections, messages and attempts. Makes no routing decisions."""
