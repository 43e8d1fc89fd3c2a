"""JSON responses with stable error codes."""

import http
import math

import msgspec
from blacksheep import Content, Response

from turmericreach.api import REQUEST_ID_HEADER, VERDICT_HEADER
from turmericreach.verdicts import RequestError

__all__ = ["error_bytes", "error_response", "json_response"]

JSON = b"application/json"


def json_response(value, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, content=Content(JSON, msgspec.json.encode(value)))


def error_body(error: RequestError, request_id: str) -> dict:
    """Return the JSON form of an error."""
    return {
        "error": {
            "code": str(error.code),
            "message": error.message,
            "verdict": str(error.verdict),
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    }


def error_headers(error: RequestError, request_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    headers = [(VERDICT_HEADER.encode(), str(error.verdict).encode())]
    if request_id:
        headers.append((REQUEST_ID_HEADER.encode(), request_id.encode()))
    if error.retry_after_s:
        # Retry-After takes whole seconds, so fractions are rounded up.
        headers.append((b"Retry-After", str(math.ceil(error.retry_after_s)).encode()))
    return headers


def error_response(error: RequestError, request_id: str = "") -> Response:
    """Return the response for an error with a stable code."""
    response = json_response(error_body(error, request_id), error.status)
    for name, value in error_headers(error, request_id):
        response.add_header(name, value)
    return response


def error_bytes(error: RequestError, request_id: str) -> bytes:
    """Return a complete HTTP response, after which the connection is closed."""
    body = msgspec.json.encode(error_body(error, request_id))
    headers = [
        *error_headers(error, request_id),
        (b"Content-Type", JSON),
        (b"Content-Length", str(len(body)).encode()),
        (b"Connection", b"close"),
    ]
    status = f"HTTP/1.1 {error.status} {http.HTTPStatus(error.status).phrase}\r\n".encode()
    return status + b"".join(b"%b: %b\r\n" % pair for pair in headers) + b"\r\n" + body
