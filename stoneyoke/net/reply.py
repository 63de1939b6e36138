"""The answer of this process to one client request, as it is decided and before it is written."""

from dataclasses import dataclass


@dataclass(slots=True)
class Reply:
    """What a client connection writes for one request.

    Attributes:
        status: The HTTP status; 0 when the client has gone and nothing is written.
        body: The whole body. The connection adds its length.
        headers: Complete header lines, each with its line end, without Content-Length.
    """

    status: int
    body: bytes = b""
    headers: bytes = b""


CLIENT_GONE = Reply(0)
"""Returned in place of an answer when nobody waits for one."""
