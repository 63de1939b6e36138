"""The soak test: the whole system as real processes on loopback, under overlapping faults, checked against a ledger.

Each controller and gateway is a separate process. Clients, stand-in backends and the links between them run in the
process that checks the rules, so that all their observations use one clock. See docs/soak.md.
"""
