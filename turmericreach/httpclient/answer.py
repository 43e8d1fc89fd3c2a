"""Reading answers whole and within a bound."""

import math

import aiohttp

from turmericreach.verdicts import TurmericreachError

__all__ = ["AnswerCutOff", "AnswerTooLarge", "check_length_known", "read_answer", "retry_after_s"]

MAX_RETRY_AFTER_S = 60.0
STATUSES_WITHOUT_BODY = (204, 304)


class AnswerTooLarge(TurmericreachError):
    """An answer is larger than the caller takes."""


class AnswerCutOff(aiohttp.ClientPayloadError):
    """Nothing tells whether the answer is whole."""


def check_length_known(response: aiohttp.ClientResponse) -> None:
    """Refuse an answer that ends with its connection.

    A server that fails half-way closes its connection too, so such a body cannot be told from one
    that was cut off.

    Raises
    ------
    AnswerCutOff
    """
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return
    if "Content-Length" in response.headers:
        return
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return
    raise AnswerCutOff("the answer declares no length")


async def read_answer(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    AnswerTooLarge
        If the body is larger than `max_bytes`; the connection is closed.
    aiohttp.ClientError
        If the body was cut off.
    """
    check_length_known(response)
    length = response.content_length
    if length is not None and length > max_bytes and response.method != "HEAD":
        response.close()
        raise AnswerTooLarge(f"the answer is larger than {max_bytes} bytes")
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            response.close()
            raise AnswerTooLarge(f"the answer is larger than {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


def retry_after_s(response: aiohttp.ClientResponse, default_s: float = 0.0) -> float:
    """Return the seconds of a ``Retry-After`` header within bounds, or a default."""
    try:
        seconds = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return default_s
    if not math.isfinite(seconds):
        return default_s
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)
