"""Peer-to-peer exchange between gateways: SWIM membership, shared observations of backends, ejections based on them.

The package is imported only if the options enable it. `transport` does the I/O; every other module is pure logic that
takes the time as an argument.
"""
