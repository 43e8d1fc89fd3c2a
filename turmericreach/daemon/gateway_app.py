"""HTTP routes of a gateway."""

import logging
from urllib.parse import unquote

import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.exceptions import MessageAborted
from blacksheep.server.routing import Router

from turmericreach.api import IDEMPOTENCY_KEY_HEADER, AnnounceRequest, DrainRequest, PullRequest
from turmericreach.daemon.lot_calls import LotCall, LotOperation
from turmericreach.daemon.lot_service import MAX_PULL_WAIT_S, decode_body
from turmericreach.daemon.request_paths import request_id_of
from turmericreach.httpserver import error_response, json_response, read_body, read_json
from turmericreach.security import TokenRole
from turmericreach.telemetry import events, log_event
from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["build_app"]

TRAINER, OPERATOR = TokenRole.TRAINER, TokenRole.OPERATOR
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
JSON_CONTENT_TYPE = b"application/json"
MAX_SMALL_BODY_BYTES = 4096
# Largest integer that JSON readers with double precision represent exactly.
MAX_VERSION = (1 << 53) - 1
# Status by which web servers log that the caller closed the connection; it is never received.
STATUS_CLIENT_CLOSED_REQUEST = 499


def build_app(gateway) -> Application:
    """Return the ASGI application of a `GatewayDaemon`."""
    app = Application(router=Router())
    # At lower levels, the library logs the whole path of every rejected request.
    app.logger.setLevel(logging.WARNING)
    routes = GatewayRoutes(gateway)

    def add(method: str, path: str, handler) -> None:
        app.router.add(method, path, wrap_handler(handler))

    add("GET", "/healthz", routes.health)
    add("HEAD", "/healthz", routes.health)
    add("POST", "/v1/lots", routes.declare_lot)
    add("GET", "/v1/lots", routes.list_lots)
    add("GET", "/v1/lots/{lot}", routes.lot_status)
    add("POST", "/v1/lots/{lot}/pull", routes.pull)
    add("POST", "/v1/lots/{lot}/ack", routes.acknowledge)
    add("POST", "/v1/lots/{lot}/cancel", routes.cancel_lot)
    add("PUT", "/v1/models/{model}/version", routes.announce)
    add("GET", "/v1/status", routes.status)
    add("GET", "/v1/targets", routes.targets)
    add("GET", "/v1/targets/{target}", routes.target)
    add("POST", "/v1/targets/{target}/drain", routes.drain)
    add("GET", "/v1/manifest", routes.manifest)
    add("GET", "/v1/audit/unwritten", routes.unwritten_audit)
    add("GET", "/v1/explain/*", routes.explain)
    for method in METHODS:
        add(method, "/services/{service}", routes.ordinary)
        add(method, "/services/{service}/*", routes.ordinary)
    app.exceptions_handlers[RequestError] = handle_request_error
    app.router.fallback = make_fallback(app.router)
    app.exceptions_handlers[MessageAborted] = handle_caller_disconnected
    app.exceptions_handlers[Exception] = handle_unexpected_error
    return app


def wrap_handler(method):
    """Wrap a bound method in a function, since blacksheep sets attributes on handlers.

    The function also logs rejected bodies that are too large.
    """

    async def handler(request: Request) -> Response:
        try:
            return await method(request)
        except RequestError as error:
            if error.code == ErrorCode.BODY_TOO_LARGE:
                log_event(events.BODY_REFUSED, reason=error.message)
            raise

    return handler


def route_value(request: Request, name: str) -> str:
    """Return the value of a path parameter."""
    return request.route_values[name]


async def handle_request_error(app, request: Request, error: RequestError) -> Response:
    """Convert an error to a response with its code."""
    return error_response(error, request_id_of(request))


def make_fallback(router: Router):
    """Return the handler of requests that match no route."""

    async def fallback(request: Request) -> Response:
        path = request.scope["raw_path"]
        allowed = [
            method
            for method in METHODS
            if any(route.match_by_path(path) for route in router.routes[method.encode()])
        ]
        if not allowed:
            raise RequestError(ErrorCode.BAD_REQUEST, "no such path", 404)
        error = RequestError(ErrorCode.BAD_REQUEST, "the path does not support this method", 405)
        response = error_response(error, request_id_of(request))
        response.add_header(b"Allow", ", ".join(allowed).encode())
        return response

    return fallback


async def handle_caller_disconnected(app, request: Request, error) -> Response:
    """Handle a caller that disconnected before its body was complete; nothing ran."""
    return error_response(
        RequestError(ErrorCode.CANCELLED, "caller disconnected", STATUS_CLIENT_CLOSED_REQUEST)
    )


async def handle_unexpected_error(app, request: Request, error: Exception) -> Response:
    """Log an unexpected error and convert it to a response; the request may have run."""
    log_event(
        events.INTERNAL_ERROR,
        error=f"{type(error).__name__}: {error}",
        where=request.url.path.decode("ascii", "replace"),
    )
    return error_response(
        RequestError(ErrorCode.INTERNAL, "internal error", 500, Verdict.MAY_HAVE_RUN),
        request_id_of(request),
    )


class GatewayRoutes:
    """Request handlers of the routes.

    Parameters
    ----------
    gateway : GatewayDaemon
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.limits = gateway.node.settings.limits
        self.body_timeout_s = self.limits.slow_sender_timeout_s

    def authorize(self, request: Request, *roles: TokenRole) -> str:
        """Return the name of the caller.

        Raises
        ------
        RequestError
            If the token is missing or invalid, or has none of the roles.
        """
        value = request.get_first_header(b"authorization")
        try:
            return self.gateway.tokens.authorize(value, *roles)
        except RequestError as error:
            log_event(events.TOKEN_REFUSED, reason=error.message)
            raise

    def require_ready(self, verdict: Verdict = Verdict.NOT_RUN) -> None:
        """Raise `RequestError` with a verdict until a configuration is in force."""
        if self.gateway.node.manifest is None or not self.gateway.ready():
            raise RequestError(
                ErrorCode.NOT_READY, "no configuration is in force yet", 503, verdict, 1.0
            )

    def verdict_before_claim(self, request: Request) -> Verdict:
        """Return the verdict of a request that is rejected before its idempotency key is claimed.

        Another gateway may have run an earlier submission with the same key.
        """
        if request.has_header(IDEMPOTENCY_KEY_HEADER.lower().encode()):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    async def read_limited_body(self, request: Request, max_bytes: int) -> bytes:
        """Read a body within the limits of size and time."""
        return await read_body(
            request, max_bytes, self.body_timeout_s, self.gateway.ordinary.body_budget
        )

    async def read_small_json(self, request: Request, message_type):
        """Read and decode a small JSON body."""
        return await read_json(
            request,
            message_type,
            MAX_SMALL_BODY_BYTES,
            self.body_timeout_s,
            self.gateway.ordinary.body_budget,
        )

    async def health(self, request: Request) -> Response:
        """Return the health status for the load balancer."""
        if self.gateway.node.leaving:
            return json_response({"state": "leaving"}, 503)
        if not self.gateway.ready():
            return json_response({"state": "starting"}, 503)
        return json_response({"state": "ready"})

    async def lot_call(self, request, operation, max_bytes, *roles: TokenRole) -> Response:
        """Run an operation on the lot in the path, with the request body as its argument."""
        actor = self.authorize(request, *roles)
        self.require_ready()
        body = await self.read_limited_body(request, max_bytes)
        lot = route_value(request, "lot")
        return await self.run_lot_call(LotCall(operation, lot, body, actor=actor))

    async def run_lot_call(self, call: LotCall) -> Response:
        """Run a lot call at its coordinator and return the JSON response."""
        reply = await self.gateway.lots.call(call)
        return raw_json(reply.body)

    async def declare_lot(self, request: Request) -> Response:
        """Declare a lot."""
        actor = self.authorize(request, TokenRole.TRAINER)
        self.require_ready()
        body = await self.read_limited_body(request, self.limits.max_lot_bytes)
        name = decode_body(body, LotName).name
        return await self.run_lot_call(LotCall(LotOperation.DECLARE, name, body, actor=actor))

    async def pull(self, request: Request) -> Response:
        """Deliver finished samples to a trainer."""
        self.authorize(request, TokenRole.TRAINER)
        self.require_ready()
        body = await self.read_limited_body(request, self.limits.max_body_bytes)
        pull_request = decode_body(body, PullRequest)
        if not 0 <= pull_request.wait_s <= MAX_PULL_WAIT_S:
            raise RequestError(
                ErrorCode.BAD_REQUEST, f"wait_s must be between 0 and {MAX_PULL_WAIT_S:g}"
            )
        # A lot keeps the highest trainer version stated, so an implausibly high one would make
        # all its samples stale.
        if not 0 <= pull_request.trainer_version <= MAX_VERSION:
            raise RequestError(
                ErrorCode.BAD_REQUEST, f"trainer_version must be between 0 and {MAX_VERSION}"
            )
        lot = route_value(request, "lot")
        call = LotCall(LotOperation.PULL, lot, body, pull_request.wait_s)
        return await self.run_lot_call(call)

    async def acknowledge(self, request: Request) -> Response:
        """Apply an acknowledged cursor."""
        return await self.lot_call(request, LotOperation.ACK, self.limits.max_body_bytes, TRAINER)

    async def cancel_lot(self, request: Request) -> Response:
        """Cancel a lot."""
        return await self.lot_call(
            request, LotOperation.CANCEL, MAX_SMALL_BODY_BYTES, TRAINER, OPERATOR
        )

    async def lot_status(self, request: Request) -> Response:
        """Return the state of a lot."""
        return await self.lot_call(
            request, LotOperation.STATUS, MAX_SMALL_BODY_BYTES, TRAINER, OPERATOR
        )

    async def list_lots(self, request: Request) -> Response:
        """Return the lots of all live gateways."""
        self.authorize(request, TokenRole.OPERATOR)
        return json_response(await self.gateway.queries.list_lots())

    async def announce(self, request: Request) -> Response:
        """Accept a weight version that a trainer or operator announces."""
        actor = self.authorize(request, TRAINER, OPERATOR)
        self.require_ready()
        body = await self.read_small_json(request, AnnounceRequest)
        if not 0 < body.version <= MAX_VERSION:
            raise RequestError(
                ErrorCode.BAD_REQUEST, f"version must be between 1 and {MAX_VERSION}"
            )
        return json_response(
            await self.gateway.announce(route_value(request, "model"), body, actor)
        )

    async def status(self, request: Request) -> Response:
        """Return the state of the deployment as this gateway knows it."""
        self.authorize(request, TokenRole.OPERATOR)
        return json_response(self.gateway.queries.status())

    async def targets(self, request: Request) -> Response:
        """Return the known state of each target."""
        self.authorize(request, TokenRole.OPERATOR)
        return json_response(self.gateway.queries.target_rows())

    async def drain(self, request: Request) -> Response:
        """Start or end the drain of a target."""
        actor = self.authorize(request, TokenRole.OPERATOR)
        self.require_ready()
        body = await self.read_small_json(request, DrainRequest)
        return json_response(
            await self.gateway.drain(route_value(request, "target"), body.drain, actor)
        )

    async def explain(self, request: Request) -> Response:
        """Return the recorded decisions about a request or a sample."""
        self.authorize(request, TokenRole.OPERATOR)
        path = request.url.path.decode("ascii", "replace")
        subject = unquote(path.removeprefix("/v1/explain/"))
        return json_response(await self.gateway.queries.explain(subject))

    async def target(self, request: Request) -> Response:
        """Query the agent of a target for the attempts in flight."""
        self.authorize(request, TokenRole.OPERATOR)
        self.require_ready()
        name = route_value(request, "target")
        return json_response(await self.gateway.queries.target_work(name))

    async def manifest(self, request: Request) -> Response:
        """Return the stored manifest revision in force."""
        self.authorize(request, TokenRole.OPERATOR)
        return raw_json(self.gateway.queries.manifest())

    async def unwritten_audit(self, request: Request) -> Response:
        """Return the audit records that the gateways could not write yet."""
        self.authorize(request, TokenRole.OPERATOR)
        return json_response(await self.gateway.queries.unwritten_audit())

    async def ordinary(self, request: Request) -> Response:
        """Run an ordinary request."""
        self.authorize(request, TokenRole.CALLER)
        self.require_ready(self.verdict_before_claim(request))
        service = route_value(request, "service")
        return await self.gateway.ordinary.handle(request, service, not self.gateway.tokens.entries)


class LotName(msgspec.Struct):
    """Field of a lot declaration from which its coordinator is determined.

    Attributes
    ----------
    name : str
        Name of the lot.
    """

    name: str


def raw_json(body: bytes) -> Response:
    """Return a response with an encoded JSON body."""
    return Response(200, content=Content(JSON_CONTENT_TYPE, body))
