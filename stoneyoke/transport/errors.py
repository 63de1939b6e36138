"""The errors of this package."""


class TransportError(Exception):
    """Base of the errors of this package."""


class MalformedMessage(TransportError):
    """Bytes that are not a message of this system, or a message that is not expected where it came."""


class PeerUnreachable(TransportError):
    """A call without a valid response in time; the text names the peer and the cause.

    Whether the peer has processed the call is not known.
    """
