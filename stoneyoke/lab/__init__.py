"""Test runs of real gateway processes between stand-ins, over links with injected faults.

Nothing on the serving path imports this package.
"""
