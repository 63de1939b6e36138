"""The errors of this package."""


class TransportError(Exception):
    """Base of the errors of this package."""


class MalformedMessage(TransportError):
    """The bytes are not a valid message of this protocol, or the message is not expected at this point."""


class PeerUnreachable(TransportError):
    """A call had no valid response in time; the text names the peer and the cause.

    The peer may or may not have processed the call.
    """
