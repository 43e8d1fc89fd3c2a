"""HTTP entry point for requests of callers."""

import asyncio

from turmericreach.http1 import Request, Responder
from turmericreach.metadata import MetadataClient
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.exchange import Exchange
from turmericreach.node.forwarder import Forwarder
from turmericreach.node.lot_api import LotApi
from turmericreach.placement import STARTING_RETRY_S
from turmericreach.platform import lots as lot_wire
from turmericreach.platform.targets import attempt_head, retry_after_fields
from turmericreach.services import RouteKind
from turmericreach.sharing import request_fingerprint
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CallerApi"]

# Timeout of requests whose callers send no deadline.
DEFAULT_TIMEOUT_S = 30.0
# Reserved from the caller's timeout for the transfer of the response.
RESPONSE_MARGIN_S = 0.01


class CallerApi:
    """Dispatches each request to the lot API by its path, or to a target by its route.

    Parameters
    ----------
    configuration : ConfigurationHolder
        Supplies the routes in force.
    client : MetadataClient
        Tells whether the metadata store is reachable.
    forwarder : Forwarder
        Forwards requests whose route leads to a target.
    lot_api : LotApi
        Serves submissions, reads and cancellations of lots.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        client: MetadataClient,
        forwarder: Forwarder,
        lot_api: LotApi,
    ):
        self.configuration = configuration
        self.client = client
        self.forwarder = forwarder
        self.lot_api = lot_api

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve a request from its receipt to its response."""
        lot = lot_wire.lot_id_in_path(request.path)
        if lot is not None:
            await self.handle_lot(request, responder, lot)
            return
        lot = lot_wire.items_lot_id_in_path(request.path)
        if lot is not None:
            await self.lot_api.read_body(request, responder, lot)
            return
        await self.handle_routed(request, responder)

    async def handle_lot(self, request: Request, responder: Responder, lot: str) -> None:
        """Serve a GET (read results) or a DELETE (end the lot) on a lot."""
        if request.method == "GET":
            await self.lot_api.read(request, responder, lot)
        elif request.method == "DELETE":
            await self.lot_api.end(request, responder, lot)
        else:
            responder.send(405)

    async def handle_routed(self, request: Request, responder: Responder) -> None:
        """Serve a request whose host and path select a route."""
        configuration = self.configuration.current
        if configuration is None:
            self.reject(request, responder, 503, "no configuration yet")
            return
        route = configuration.find_route(request.headers.get("host", ""), request.path)
        if route is None and not self.client.responded_recently():
            # The operator may have added the route while the store was unavailable, so 404 is not
            # certain.
            self.reject(request, responder, 503, "no route known, metadata store unavailable")
            return
        if route is None:
            self.reject(request, responder, 404, "no route")
            return
        if route.kind is RouteKind.BATCH:
            if request.method == "POST":
                await self.lot_api.submit(request, responder)
            else:
                responder.send(405)
            return
        attempt = attempt_head(request.headers)
        timeout_s = (attempt.timeout_s or DEFAULT_TIMEOUT_S) - RESPONSE_MARGIN_S
        exchange = Exchange(
            request=request,
            responder=responder,
            route=route,
            attempt=attempt,
            deadline=request.received_at + min(timeout_s, route.timeout_s),
            fingerprint=request_fingerprint(
                request.method,
                request.headers.get("host", ""),
                request.target,
                attempt.caller,
                request.body,
            ),
            configuration_version=configuration.version,
            configuration_age_s=self.configuration_age_s(),
        )
        await self.forwarder.forward(exchange)

    def configuration_age_s(self) -> float:
        """Return the seconds since the metadata store or the coordinator last responded.

        The value is capped at 1e9 so that it can be logged before the first contact.
        """
        return min(self.client.last_response_age_s(), 1e9)

    def reject(self, request: Request, responder: Responder, status: int, reason: str) -> None:
        """Respond with an error of this process, without involving a target.

        Parameters
        ----------
        status : int
            HTTP status of the response. With 503 this process still lacks data that it needs to
            serve requests, and the response gets a ``Retry-After`` field.
        reason : str
            Logged with the end of the request.
        """
        retry_s = STARTING_RETRY_S if status == 503 else None
        responder.send(status, retry_after_fields(retry_s))
        now = asyncio.get_running_loop().time()
        log_event(
            events.REQUEST_FAILED if status >= 500 else events.REQUEST_ENDED,
            request=attempt_head(request.headers).id,
            status=status,
            ms=(now - request.received_at) * 1000,
            reason=reason,
            route="",
            attempts=0,
            time_left_ms=None,
            configuration=self.configuration.version(),
            configuration_age_s=round(self.configuration_age_s(), 3),
        )
