"""The gateway on sockets: HTTP/1.1 to clients, backends, the counter and discovery. Decides nothing."""
