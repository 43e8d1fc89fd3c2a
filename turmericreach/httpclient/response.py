"""Reading of complete HTTP responses within a size limit."""

import math

import aiohttp

from turmericreach.verdicts import TurmericreachError

__all__ = [
    "ResponseLengthUnknown",
    "ResponseTooLarge",
    "check_length_known",
    "read_response",
    "retry_after_s",
]

MAX_RETRY_AFTER_S = 60.0
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
