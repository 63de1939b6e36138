"""Errors of the network layer. A connection that breaks is an OSError, as asyncio raises it."""


class MalformedMessage(Exception):
    """An HTTP message that can't be used.

    Attributes:
        status: The HTTP status with which a server rejects the message.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        """Takes the reason, which goes into the rejection's body, and the status."""
        super().__init__(reason)
        self.status = status
