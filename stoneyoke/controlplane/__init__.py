"""The control plane: configuration, voters, instances, the quota lease, and the APIs through which they are used.

Times are seconds of a steady clock; the time of day is never used (DEPLOY, Clocks).
"""
