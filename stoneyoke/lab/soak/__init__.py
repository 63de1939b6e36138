"""The soak: the whole system as real processes on loopback, under faults that overlap, judged by a ledger.

Controllers and gateways are processes of their own. Clients, stand-in backends and the links between them run in the
process that judges, so that what they saw stands on one clock. See docs/soak.md.
"""
