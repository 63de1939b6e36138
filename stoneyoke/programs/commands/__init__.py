"""The commands of stoneyokectl, one module each for configurations, the running system and data folders."""
