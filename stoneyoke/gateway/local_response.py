"""Responses that the gateway generates itself, without a backend."""

from stoneyoke.gateway.request_head import Request
from stoneyoke.net.reply import Reply
from stoneyoke.runtime.metrics import Metrics


def local_response(metrics: Metrics, request: Request, status: int, reason: str, retry_after_us: int = 0) -> Reply:
    """Builds a response that this gateway generates itself, and counts it by status.

    Args:
        metrics: The counters of this process.
        request: The request; the response carries its attempt id.
        status: The HTTP status.
        reason: The body: a few words for readers of the client's log.
        retry_after_us: The time after which the client may retry, in microseconds; 0: no Retry-After header.
    """
    metrics.add(f"answers: {status}")
    headers = b"Content-Type: text/plain\r\nAttempt-Id: %s\r\n" % request.id
    if retry_after_us:
        headers += b"Retry-After: %.3f\r\n" % (retry_after_us / 1_000_000)
    return Reply(status, reason.encode() + b"\n", headers)
