"""The errors of stoneyokectl's commands."""


class CommandError(Exception):
    """A command could not do what it was asked for. The text is the one line that the operator reads."""
