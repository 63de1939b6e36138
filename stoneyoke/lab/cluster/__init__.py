"""The whole system on one machine: real controllers and gateways on loopback, between stand-in backends and a client.

A ledger of what clients and backends saw on their sockets shows whether a rule was broken. `trial` kills processes
under traffic; `python -m stoneyoke.lab.cluster` runs it, or brings the system up to be used by hand.
"""
