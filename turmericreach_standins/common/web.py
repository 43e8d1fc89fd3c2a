"""Request and response helpers for blacksheep applications."""

import asyncio
import math

import msgspec
from blacksheep import Application, Content, Request, Response, Router

from turmericreach_standins.common.faults import FaultError

__all__ = [
    "RequestError",
    "add_route",
    "error_response",
    "exchange_of",
    "json_response",
    "new_application",
    "query_number",
    "read_json",
]


class RequestError(Exception):
    """An error response to a request.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Value of ``code`` in the error body; part of the protocol.
    message : str
        Value of ``message`` in the error body.
    retry_after_s : float, optional
        Delay sent as ``Retry-After``, rounded up to whole seconds, and unrounded in the body.
    """

    def __init__(self, status, code, message, retry_after_s=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s


def json_response(body, status=200, headers=()):
    """Return a JSON response; `headers` are pairs of name and value as bytes."""
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, list(headers), content)


def error_response(error):
    """Return the response for a `RequestError`."""
    body = {"code": error.code, "message": error.message}
    headers = []
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return json_response({"error": body}, error.status, headers)


def exchange_of(request):
    """Return the `Exchange` of a request, which can close its connection."""
    return request.scope["turmericreach.exchange"]


async def read_json(request):
    """Return the JSON object in the request body; raise a `RequestError` (400) if there is none."""
    body = await request.read() or b""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise RequestError(400, "bad_json", str(error)) from error
    if not isinstance(value, dict):
        raise RequestError(400, "bad_json", "the body must be a JSON object")
    return value


def query_number(request, name, default, number_type=int):
    """Return a numeric parameter of the query string, or `default` if it is missing.

    Raises
    ------
    RequestError
        400 if the value is not a finite number of at least 0.
    """
    values = request.query.get(name)
    if not values:
        return default
    try:
        number = number_type(values[0])
    except ValueError as error:
        raise RequestError(400, "bad_query", f"{name} must be a number") from error
    if not 0 <= number < math.inf:
        raise RequestError(400, "bad_query", f"{name} must be a finite number of at least 0")
    return number


def add_route(application, method, path, handler):
    """Add a route whose handler may be a bound method.

    The router sets attributes on its handlers, which bound methods do not allow, so the
    handler is wrapped in a function.
    """

    async def handle(request: Request):
        return await handler(request)

    application.router.add(method, path, handle)


def new_application(faults, record):
    """Return an application with the endpoints that all HTTP stand-ins share.

    Parameters
    ----------
    faults : Faults
        Faults that ``/standin/faults`` shows and changes.
    record : callable
        Returns the value that ``/standin/record`` sends as JSON.
    """
    application = Application(router=Router())

    async def on_request_error(_application, _request, error):
        return error_response(error)

    application.exceptions_handlers[RequestError] = on_request_error

    async def post_faults(request):
        changes = await read_json(request)
        try:
            faults.merge(changes, asyncio.get_running_loop().time())
        except FaultError as error:
            raise RequestError(400, "bad_fault", str(error)) from error
        return json_response(faults.values)

    async def get_faults(_request):
        return json_response(faults.values)

    async def get_record(_request):
        return json_response(record())

    add_route(application, "POST", "/standin/faults", post_faults)
    add_route(application, "GET", "/standin/faults", get_faults)
    add_route(application, "GET", "/standin/record", get_record)
    return application
