"""The replicated register: consensus on the configuration and the set of voters, and its records on disk."""
