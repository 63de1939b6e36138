"""The protocol between controllers and gateways: connections, messages and their codec."""
