"""HTTP entry point for requests of callers."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from turmericreach.http1 import Request, Responder
from turmericreach.metadata import MetadataClient
from turmericreach.node.authentication import CallerAuthentication
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.exchange import Exchange
from turmericreach.node.forwarder import Forwarder
from turmericreach.node.lot_api import LotApi
from turmericreach.node.shutdown import Shutdown
from turmericreach.placement import STARTING_RETRY_S
from turmericreach.platform import lots as lot_wire
from turmericreach.platform.targets import attempt_head, retry_after_fields
from turmericreach.services import RouteKind
from turmericreach.sharing import request_fingerprint
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import Caller

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
    authentication : CallerAuthentication
        Finds out who sends a request.
    shutdown : Shutdown
        Stop of this process.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        client: MetadataClient,
        forwarder: Forwarder,
        lot_api: LotApi,
        authentication: CallerAuthentication,
        shutdown: Shutdown,
    ):
        self.configuration = configuration
        self.client = client
        self.forwarder = forwarder
        self.lot_api = lot_api
        self.authentication = authentication
        self.shutdown = shutdown

    async def handle(
        self, request: Request, responder: Responder, passed_on: Caller | None = None
    ) -> None:
        """Serve a request from its receipt to its response.

        Parameters
        ----------
        passed_on : Caller, optional
            Who sends the request, as another process has found out and states at the server for
            calls between processes.
        """
        lot = lot_wire.lot_id_in_path(request.path)
        items_lot = lot_wire.items_lot_id_in_path(request.path)
        if lot is None and items_lot is None:
            await self.handle_routed(request, responder, passed_on)
            return
        caller = passed_on or self.caller_of_lot(request, responder)
        if caller is None:
            return
        if lot is not None:
            await self.handle_lot(request, responder, lot, caller)
        else:
            work = self.lot_api.read_body(request, responder, items_lot, caller)
            await self.complete_lot_call(request, responder, work)

    def caller_of_lot(self, request: Request, responder: Responder) -> Caller | None:
        """Return who sends a call on a lot; None if it has been rejected."""
        configuration = self.configuration.current
        if configuration is None:
            self.reject(request, responder, 503, "no configuration yet")
            return None
        return self.authentication.admit(configuration, request, responder, public=False)

    async def handle_lot(
        self, request: Request, responder: Responder, lot: str, caller: Caller
    ) -> None:
        """Serve a GET (read results) or a DELETE (end the lot) on a lot."""
        if request.method == "GET":
            work = self.lot_api.read(request, responder, lot, caller)
        elif request.method == "DELETE":
            work = self.lot_api.end(request, responder, lot, caller)
        else:
            responder.send(405)
            return
        await self.complete_lot_call(request, responder, work)

    async def complete_lot_call(
        self, request: Request, responder: Responder, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run a call on a lot, and respond to it before this process ends.

        A change that was broken off may have been stored. A read has no effect.
        """
        if not self.shutdown.may_begin_lot_call():
            work.close()
            self.reject(request, responder, 503, "the process is about to stop")
            return
        if await self.shutdown.complete(work) or responder.started:
            return
        status = 503 if request.method == "GET" else 504
        self.reject(request, responder, status, "the process stops during the call")

    async def handle_routed(
        self, request: Request, responder: Responder, passed_on: Caller | None
    ) -> None:
        """Serve a request whose host and path select a route."""
        configuration = self.configuration.current
        if configuration is None:
            self.reject(request, responder, 503, "no configuration yet")
            return
        route = configuration.find_route(request.headers.get("host", ""), request.path)
        if route is None and not self.authentication.is_current(configuration):
            # The operator may have added the route while the store was unavailable, so 404 is not
            # certain.
            self.reject(request, responder, 503, "no route known, metadata store unavailable")
            return
        if route is None:
            self.reject(request, responder, 404, "no route")
            return
        is_batch = route.kind is RouteKind.BATCH
        public = route.public and not is_batch
        caller = passed_on or self.authentication.admit(configuration, request, responder, public)
        if caller is None:
            return
        if is_batch:
            if request.method == "POST":
                work = self.lot_api.submit(request, responder, caller)
                await self.complete_lot_call(request, responder, work)
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
                caller.tenant if caller.checked else attempt.caller,
                request.body,
            ),
            configuration_version=configuration.version,
            configuration_age_s=self.configuration_age_s(),
            caller=caller,
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
            serve requests, or is about to stop, and the response gets a ``Retry-After`` field.
        reason : str
            Logged with the end of the request.
        """
        retry_s = None
        if status == 503:
            retry_s = STARTING_RETRY_S if self.shutdown.times is None else self.shutdown.retry_s()
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
