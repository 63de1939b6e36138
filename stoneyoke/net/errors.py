"""Errors of the network layer. A broken connection raises an OSError, as in asyncio."""


class MalformedMessage(Exception):
    """An HTTP message is invalid or not supported.

    Attributes:
        status: The HTTP status with which a server rejects the message.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        """Takes the reason, which is sent in the body of the rejection, and the status."""
        super().__init__(reason)
        self.status = status
