"""Defects seeded into the logic, one at a time: scenarios and models must find each of them.

A defect that is not found shows a gap in the checks. `in_scenarios` lists the defects that scenarios must find,
`in_models` those that the exhaustive search must find.
"""
