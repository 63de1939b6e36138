"""Input from outside the system: tables of accepted settings, and the API calls of instances and operators."""
