"""The whole system on one machine: real controllers and gateways on loopback, with stand-in backends and a client.

A ledger records what the client and the backends observe on their sockets, and reports each violation of a rule.
`trial` kills processes under traffic. `python -m stoneyoke.lab.cluster` runs a trial, or starts the system for use by
hand.
"""
