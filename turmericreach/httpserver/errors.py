"""Answers in JSON, with stable error codes."""

import msgspec
from blacksheep import Content, Response

from turmericreach.verdicts import RequestError

__all__ = ["error_response", "json_response"]

JSON = b"application/json"


def json_response(value, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, content=Content(JSON, msgspec.json.encode(value)))


def error_response(error: RequestError, request_id: str = "") -> Response:
    """Return the response for an error with a stable code."""
    body = {
        "error": {
            "code": str(error.code),
            "message": error.message,
            "verdict": str(error.verdict),
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    }
    response = json_response(body, error.status)
    if error.retry_after_s:
        # Retry-After takes whole seconds, so fractions are rounded up.
        response.add_header(b"Retry-After", str(max(1, round(error.retry_after_s))).encode())
    return response
