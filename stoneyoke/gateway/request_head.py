"""Parses the head of a client's request, and builds the request head for a backend and the client's headers. No I/O.

Source: PROTOCOL, Requests.
"""

import re

from stoneyoke.net.errors import MalformedMessage
from stoneyoke.net.message_reader import Message

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authorization",
        b"proxy-authenticate",
    )
)
# The API key, and headers that only this system sets: they are never forwarded as the client sent them.
NEVER_FORWARDED = frozenset((b"api-key", b"tenant", b"expect-instance", b"deadline-ms"))
SINGLE_VALUED = frozenset((b"host", b"attempt-id", b"deadline-ms", b"api-key"))
VISIBLE_TOKEN = re.compile(rb"[!-~]{1,255}").fullmatch
TARGET = re.compile(rb"/[!-~]*").fullmatch
DECIMAL_MS = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,20})?").fullmatch
HOST = re.compile(rb"[!-~]{1,255}").fullmatch
METHOD = re.compile(rb"[A-Z]{1,20}").fullmatch


class Request:
    """The head of a client's request, parsed strictly.

    Attributes:
        host: The host in lower case, without its port.
        id: The attempt id, which the response repeats.
        key: The API key; empty if there is none.
        path: The path of the target, without its query.
        wait_us: How long the client waits for a response, in microseconds; None if the request has no Deadline-Ms.
    """

    __slots__ = ("host", "id", "key", "path", "wait_us")

    def __init__(self, message: Message) -> None:
        """Parses a request's head.

        Raises:
            MalformedMessage: A header is missing, repeated or invalid, or the method is HEAD.
        """
        if message.repeated and (repeated := message.repeated & SINGLE_VALUED):
            raise MalformedMessage(f"{min(repeated).decode()} comes twice")
        headers = message.headers
        host, attempt_id = headers.get(b"host", b""), headers.get(b"attempt-id", b"")
        if not HOST(host):
            raise MalformedMessage("host is missing or can not be read")
        if not VISIBLE_TOKEN(attempt_id):
            raise MalformedMessage("attempt-id is missing or can not be read")
        if not TARGET(message.target) or not METHOD(message.method):
            raise MalformedMessage("a target or method that can not be read")
        if message.method == b"HEAD":
            raise MalformedMessage("HEAD is not served here", 501)
        self.id = attempt_id
        name, _, port = host.partition(b":")
        self.host = (name if port.isdigit() or not port else host).decode("ascii").lower()
        self.path = message.target.partition(b"?")[0].decode("ascii")
        self.key = headers.get(b"api-key", b"").decode("latin-1")
        wait = headers.get(b"deadline-ms")
        if wait is not None and not DECIMAL_MS(wait):
            raise MalformedMessage("deadline-ms is no number")
        self.wait_us = None if wait is None else int(float(wait) * 1000)


def upstream_request_head(message: Message, instance: str, tenant: str, wait_us: int) -> list[bytes]:
    """Builds the request head of an attempt at a backend, in pieces.

    Hop-by-hop headers and headers that only this system sets are removed; this gateway's own headers are added.

    Args:
        message: The client's request.
        instance: The instance that the attempt is meant for. A different instance at the address rejects the request.
        tenant: The tenant's label; empty if there is none.
        wait_us: How long this gateway waits for the response, in microseconds.
    """
    connection_headers = {name.strip().lower() for name in message.headers.get(b"connection", b"").split(b",")}
    lines = [message.method, b" ", message.target, b" HTTP/1.1\r\n"]
    for name, value in message.fields:
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in NEVER_FORWARDED and lower not in connection_headers:
            lines += (name, b": ", value, b"\r\n")
    lines.append(b"Deadline-Ms: %d\r\nExpect-Instance: %s\r\n" % (max(1, wait_us // 1000), instance.encode()))
    if tenant:
        lines.append(b"Tenant: %s\r\n" % tenant.encode())
    if (
        message.body
        or message.method not in (b"GET", b"DELETE", b"OPTIONS")
        or (b"content-length" in message.headers or b"transfer-encoding" in message.headers)
    ):
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return lines


def client_response_headers(answer: Message) -> bytes:
    """Returns the headers of a backend's response for the client. The writer of the response adds Content-Length."""
    connection_headers = {name.strip().lower() for name in answer.headers.get(b"connection", b"").split(b",")}
    return b"".join(
        b"%s: %s\r\n" % (name, value)
        for name, value in answer.fields
        if (lower := name.lower()) not in HOP_BY_HOP and lower not in connection_headers
    )
