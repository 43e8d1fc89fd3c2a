"""Small helpers around blacksheep."""

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
    """A request that is answered with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable code of the error body.
    message : str
        Text of the error body.
    retry_after_s : float, optional
        Sent as ``Retry-After``, rounded up to whole seconds, and unrounded in the body.
    """

    def __init__(self, status, code, message, retry_after_s=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s


def json_response(body, status=200, headers=()):
    """Return a JSON response; `headers` are pairs of bytes."""
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
    """Return the `Exchange` of a request, which can drop its connection."""
    return request.scope["turmericreach.exchange"]


async def read_json(request):
    """Return the JSON object in a request body, or raise a `RequestError` (400)."""
    body = await request.read() or b""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise RequestError(400, "bad_json", str(error)) from error
    if not isinstance(value, dict):
        raise RequestError(400, "bad_json", "the body must be a JSON object")
    return value


def query_number(request, name, default, kind=int):
    """Return a number of at least 0 from the query string."""
    values = request.query.get(name)
    if not values:
        return default
    try:
        number = kind(values[0])
    except ValueError as error:
        raise RequestError(400, "bad_query", f"{name} must be a number") from error
    if not 0 <= number < math.inf:
        raise RequestError(400, "bad_query", f"{name} must be a finite number of at least 0")
    return number


def add_route(application, method, path, handler):
    """Add a handler that may be a bound method, which blacksheep's router cannot mark."""

    async def handle(request: Request):
        return await handler(request)

    application.router.add(method, path, handle)


def new_application(faults, record):
    """Return an application with the endpoints that all stand-ins share.

    Parameters
    ----------
    faults : Faults
        Faults served at ``/standin/faults``.
    record : callable
        Returns the JSON value served at ``/standin/record``.
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
