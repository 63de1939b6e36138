"""Scenarios of the whole control plane in simulated time, from seeds, with invariants checked throughout."""
