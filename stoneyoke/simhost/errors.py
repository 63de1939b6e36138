"""Errors of the simulator adapter."""


class MalformedFrame(Exception):
    """A frame can't be decoded; the message says what is wrong and where. The process exits."""
