"""Answers that the gateway gives itself, without one of a backend."""

from stoneyoke.gateway.request_head import Request
from stoneyoke.net.reply import Reply
from stoneyoke.runtime.metrics import Metrics


def local_reply(metrics: Metrics, request: Request, status: int, reason: str, retry_after_us: int = 0) -> Reply:
    """Builds an answer of this gateway's own and counts it by status.

    Args:
        metrics: The counters of this process.
        request: The request that is answered; the answer carries its attempt id.
        status: The HTTP status.
        reason: The body, a few words for whoever reads the client's log.
        retry_after_us: When the client may come back, in microseconds from now; 0 says nothing about it.
    """
    metrics.add(f"answers: {status}")
    headers = b"Content-Type: text/plain\r\nAttempt-Id: %s\r\n" % request.id
    if retry_after_us:
        headers += b"Retry-After: %.3f\r\n" % (retry_after_us / 1_000_000)
    return Reply(status, reason.encode() + b"\n", headers)
