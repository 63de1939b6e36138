"""Explicit-state model checking of the consensus register: all orders of messages and failures in small models.

`state` defines the hashable states, `snapshots` converts them to the real objects and back, `models` lists the models,
`transitions` generates the successors of a state, `invariants` checks each of them and `search` explores them breadth
first. docs/design/exhaustive.md has the number of states of each model and what the models leave out.
"""
