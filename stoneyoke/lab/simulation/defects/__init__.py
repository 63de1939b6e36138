"""Defects seeded into the logic, one at a time: scenarios and models must find each of them.

A defect that nothing finds means that the checks are weak there. `in_scenarios` lists those that scenarios look for,
`in_models` those that the exhaustive check looks for.
"""
