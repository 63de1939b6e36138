"""Gateways that know one another: SWIM membership, shared observations of backends, verdicts drawn from them.

The package is loaded only where the options ask for it. `transport` does the I/O; every other module is plain logic
to which the time is passed in.
"""
