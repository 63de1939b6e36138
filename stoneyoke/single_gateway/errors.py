"""Errors of the single gateway as a program."""


class InvalidConfiguration(Exception):
    """The configuration, the settings or the options lack something needed, or hold something unusable.

    The text names the key and the reason, and never holds a secret.
    """
