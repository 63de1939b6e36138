"""The commands of stoneyokectl, by what they work on: a configuration, the running system, a controller's disk."""
