"""Explicit-state model checking of the consensus register: every order of messages and failures in small models.

`state` holds the hashable states, `snapshots` turns them into the real objects and back, `models` lists what is
checked, `transitions` generates the successors of a state, `invariants` checks each of them and `search` explores them
breadth first. docs/design/exhaustive.md has the counts of states and what the models leave out.
"""
