"""The errors of stoneyokectl's commands."""


class CommandError(Exception):
    """A command failed. The text is the one line that the operator sees."""
