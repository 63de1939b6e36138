"""The errors of this package."""


class TransportError(Exception):
    """Base of the errors of this package."""


class MalformedMessage(TransportError):
    """Bytes that are not a message of this system; the text names the message and the field's type."""
