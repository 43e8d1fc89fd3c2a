"""Reading of complete HTTP responses within a size limit."""

import math
from collections.abc import Callable

import aiohttp

from turmericreach.sharing import parse_rate
from turmericreach.verdicts import TurmericreachError

__all__ = [
    "ResponseLengthUnknown",
    "ResponseTooLarge",
    "LeaveObserver",
    "LimitObserver",
    "check_length_known",
    "observe_state",
    "read_response",
    "retry_after_s",
]

LIMIT_HEADER = "Turmericreach-Limit"
LEAVING_HEADER = "Turmericreach-Leaving"
MAX_RETRY_AFTER_S = 60.0
# Called with the limit that a response names (None without one) and the time its request was sent.
LimitObserver = Callable[[float | None, float], None]
# Called for each response that announces that its target leaves.
LeaveObserver = Callable[[], None]
STATUSES_WITHOUT_BODY = (204, 304)


class ResponseTooLarge(TurmericreachError):
    """A response is larger than the caller accepts."""


class ResponseLengthUnknown(aiohttp.ClientPayloadError):
    """A response without a declared length, which cannot be known to be complete."""


def check_length_known(response: aiohttp.ClientResponse) -> None:
    """Reject a response whose end is marked only by the end of its connection.

    A server that fails in the middle of a response closes its connection too, so such a body
    cannot be distinguished from an interrupted one.

    Raises
    ------
    ResponseLengthUnknown
        If there is neither a ``Content-Length`` nor chunked encoding.
    """
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return
    if "Content-Length" in response.headers:
        return
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return
    raise ResponseLengthUnknown("the response declares no length")


async def read_response(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    Raises
    ------
    ResponseTooLarge
        If the body is larger than `max_bytes`; the connection is closed.
    aiohttp.ClientError
        If the body was interrupted or its length is unknown.
    """
    check_length_known(response)
    length = response.content_length
    if length is not None and length > max_bytes and response.method != "HEAD":
        response.close()
        raise ResponseTooLarge(f"the response is larger than {max_bytes} bytes")
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            response.close()
            raise ResponseTooLarge(f"the response is larger than {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


def retry_after_s(response: aiohttp.ClientResponse, default_s: float = 0.0) -> float:
    """Return the seconds of a ``Retry-After`` header, at most `MAX_RETRY_AFTER_S`, or a default."""
    try:
        seconds = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return default_s
    if not math.isfinite(seconds):
        return default_s
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)


def observe_state(
    response: aiohttp.ClientResponse,
    sent_at: float,
    on_limit: LimitObserver | None,
    on_leaving: LeaveObserver | None,
) -> None:
    """Report what a response states of its target to the observers, if there are any.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response of a target.
    sent_at : float
        Loop time in seconds at which its request was sent.
    on_limit : callable or None
        Receives the limit in requests a second, None if the response names none, and the time.
    on_leaving : callable or None
        Called if the response announces that the target leaves.
    """
    if on_limit is not None:
        on_limit(parse_rate(response.headers.get(LIMIT_HEADER)), sent_at)
    if on_leaving is not None and response.headers.get(LEAVING_HEADER, "").strip() == "1":
        on_leaving()
