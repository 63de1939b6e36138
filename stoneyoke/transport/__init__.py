"""Connections, messages and their codec between the system's own processes: controllers and gateways."""
