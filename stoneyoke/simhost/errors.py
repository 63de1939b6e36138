"""Errors of the simulator adapter."""


class MalformedFrame(Exception):
    """A frame that can't be read; the text says what and where. It ends the process."""
