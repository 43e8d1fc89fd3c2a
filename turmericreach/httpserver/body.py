"""Reading request bodies within limits of size and time."""

import asyncio

import msgspec
from blacksheep import Request

from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["read_body", "read_json"]


async def read_body(request: Request, max_bytes: int, timeout_s: float) -> bytes:
    """Read a body that arrives in time and is not too large.

    Raises
    ------
    RequestError
        With `BODY_TOO_LARGE` or `TIMEOUT`; the request did not run.
    """
    declared = request.get_first_header(b"content-length")
    if declared is not None and declared.isdigit() and int(declared) > max_bytes:
        raise too_large(max_bytes)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    raise too_large(max_bytes)
                parts.append(chunk)
    except TimeoutError as error:
        raise RequestError(
            ErrorCode.TIMEOUT, f"the body did not arrive within {timeout_s:g} s", 408
        ) from error
    return b"".join(parts)


def too_large(max_bytes: int) -> RequestError:
    """Return the error for a body over the limit."""
    return RequestError(ErrorCode.BODY_TOO_LARGE, f"body is larger than {max_bytes} bytes", 413)


async def read_json(request: Request, message_type, max_bytes: int, timeout_s: float):
    """Read a body that is the JSON form of an attrs class.

    Raises
    ------
    RequestError
        With `BAD_REQUEST`, naming the field at fault.
    """
    body = await read_body(request, max_bytes, timeout_s)
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(ErrorCode.BAD_REQUEST, f"malformed body: {error}") from error
