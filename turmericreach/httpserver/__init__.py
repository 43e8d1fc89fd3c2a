"""The HTTP endpoint: connection limits, request limits and error responses."""

from turmericreach.httpserver.body import BodyBudget, read_body, read_json
from turmericreach.httpserver.disconnect import CancelOnDisconnect, on_request_end
from turmericreach.httpserver.errors import error_response, json_response
from turmericreach.httpserver.server import HttpServer, bind_socket

__all__ = [
    "BodyBudget",
    "CancelOnDisconnect",
    "HttpServer",
    "bind_socket",
    "error_response",
    "json_response",
    "on_request_end",
    "read_body",
    "read_json",
]
