"""Reading request bodies within limits of size and time."""

import asyncio

import msgspec
from blacksheep import Request

from turmericreach.http1 import read_number
from turmericreach.httpserver.disconnect import on_request_end
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["BodyBudget", "read_body", "read_json"]

MAX_HELD_BYTES = 128 * 1024 * 1024
RETRY_AFTER_S = 1.0


class BodyBudget:
    """Limit on the total size of the request bodies that a process holds at a time.

    With limits on single bodies only, many connections together could exhaust the memory.

    Attributes
    ----------
    held : int
        Bytes of the bodies of requests in progress.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        self.max_bytes = max_bytes
        self.held = 0

    def acquire(self, scope: dict, size: int) -> None:
        """Reserve bytes until a request ends.

        Raises
        ------
        RequestError
            With `OVERLOADED` if the limit would be exceeded; the request did not run.
        """
        if self.held + size > self.max_bytes:
            raise RequestError(
                ErrorCode.OVERLOADED,
                "too many large bodies at the same time",
                503,
                retry_after_s=RETRY_AFTER_S,
            )
        self.held += size
        on_request_end(scope, lambda: self.release(size))

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held -= size


async def read_body(
    request: Request, max_bytes: int, timeout_s: float, budget: BodyBudget
) -> bytes:
    """Read a request body within `max_bytes` and `timeout_s`.

    Raises
    ------
    RequestError
        With `BODY_TOO_LARGE`, `TIMEOUT` or `OVERLOADED`; the request did not run.
    """
    declared = request.get_first_header(b"content-length")
    if declared is not None and (read_number(declared.decode("latin-1")) or 0) > max_bytes:
        raise too_large(max_bytes)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    raise too_large(max_bytes)
                budget.acquire(request.scope, len(chunk))
                parts.append(chunk)
    except TimeoutError as error:
        raise RequestError(
            ErrorCode.TIMEOUT, f"the body did not arrive within {timeout_s:g} s", 408
        ) from error
    return b"".join(parts)


def too_large(max_bytes: int) -> RequestError:
    """Return the error for a body over the limit."""
    return RequestError(ErrorCode.BODY_TOO_LARGE, f"body is larger than {max_bytes} bytes", 413)


async def read_json(
    request: Request, message_type, max_bytes: int, timeout_s: float, budget: BodyBudget
):
    """Read a request body that is the JSON encoding of an attrs class.

    Raises
    ------
    RequestError
        With `BAD_REQUEST` and the name of the invalid field, or as in `read_body`.
    """
    body = await read_body(request, max_bytes, timeout_s, budget)
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(ErrorCode.BAD_REQUEST, f"malformed body: {error}") from error
