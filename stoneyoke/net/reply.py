"""The response of this process to one client request, before it is written."""

from dataclasses import dataclass


@dataclass(slots=True)
class Reply:
    """The response to write on a client connection for one request.

    Attributes:
        status: The HTTP status; 0 if the client has disconnected and nothing is written.
        body: The whole body. The server adds its length.
        headers: Complete header lines, each with its line end, without Content-Length.
    """

    status: int
    body: bytes = b""
    headers: bytes = b""


CLIENT_GONE = Reply(0)
"""Returned instead of a response if the client has disconnected."""
