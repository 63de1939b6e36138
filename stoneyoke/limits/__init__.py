"""Limits that gateways hold together: what they agree on through the counter. No I/O."""
