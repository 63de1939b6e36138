"""Errors of the single gateway's program."""


class InvalidConfiguration(Exception):
    """The configuration, its settings or the options lack a required value or have an invalid one.

    The text names the key and the reason, and never contains a secret.
    """
