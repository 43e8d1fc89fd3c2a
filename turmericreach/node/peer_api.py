"""HTTP API for calls between processes."""

from typing import Any

import msgspec

from turmericreach.batches.handover import LotHandover
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.duty_calls import DUTY_RELAY_PATH, DutyCaller
from turmericreach.coordination.messages import (
    HandOver,
    LoadNotice,
    LotNotice,
    OriginQuery,
    PermitRequest,
    RelayedCall,
    StreamBegun,
)
from turmericreach.coordination.peers import PeerTable
from turmericreach.coordination.permits import PERMIT_PATH, TargetPermits
from turmericreach.coordination.relay import serve_watch
from turmericreach.coordination.shared_state import SHARED_STATE_PATH, SharedStateExchange
from turmericreach.coordination.stream_origins import (
    ORIGIN_PATH,
    STREAMS_PATH,
    StreamOrigins,
)
from turmericreach.coordination.usage_exchange import USAGE_HANDOVER_PATH
from turmericreach.duties import UsageShare
from turmericreach.http1 import Request, Responder, query_value, read_number
from turmericreach.metadata import HistoryGone, KindMirror
from turmericreach.node.authentication import passed_on_caller
from turmericreach.node.caller_api import CallerApi
from turmericreach.node.lot_admission import BACKLOG_PATH, LotAdmission
from turmericreach.platform.decoding import DecodeError
from turmericreach.versions.converger import VersionConverger

__all__ = ["PeerApi"]


class PeerApi:
    """Serves calls of other processes.

    Requests with other paths are requests of callers that another process has forwarded.
    """

    def __init__(
        self,
        peers: PeerTable,
        mirrors: dict[str, KindMirror],
        registry: BatchRegistry,
        handover: LotHandover,
        converger: VersionConverger,
        caller_api: CallerApi,
        permits: TargetPermits,
        shared_state: SharedStateExchange,
        origins: StreamOrigins,
        duty_caller: DutyCaller,
        lot_admission: LotAdmission | None = None,
    ):
        self.peers = peers
        self.mirrors = mirrors
        self.registry = registry
        self.handover = handover
        self.converger = converger
        self.caller_api = caller_api
        self.permits = permits
        self.shared_state = shared_state
        self.origins = origins
        self.duty_caller = duty_caller
        self.handlers = {
            ("GET", "/peer/status"): self.send_status,
            ("GET", "/peer/watch"): self.send_changes,
            ("GET", "/peer/lot"): self.send_lot,
            ("POST", "/peer/lot"): self.apply_lot_notice,
            ("POST", "/peer/take"): self.accept_lot,
            ("POST", "/peer/loading"): self.handle_load_notice,
            ("POST", PERMIT_PATH): self.grant_permit,
            ("GET", SHARED_STATE_PATH): self.send_shared_state,
            ("POST", STREAMS_PATH): self.apply_streams,
            ("POST", ORIGIN_PATH): self.send_origin,
            ("POST", USAGE_HANDOVER_PATH): self.apply_usage,
            ("POST", DUTY_RELAY_PATH): self.relay_duty_call,
        }
        if lot_admission is not None:
            self.handlers["GET", BACKLOG_PATH] = lot_admission.send_backlog

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve a call; a body that cannot be decoded gets 400."""
        handler = self.handlers.get((request.method, request.path))
        if handler is None:
            await self.caller_api.handle(request, responder, passed_on_caller(request.headers))
            return
        try:
            await handler(request, responder)
        except DecodeError:
            responder.send(400)

    async def send_status(self, request: Request, responder: Responder) -> None:
        """Send the status of this process, and record which process asked for it."""
        self.peers.record_ping(query_value(request.query, "from"))
        status = self.peers.own_status()
        if self.peers.usage is not None:
            status = self.peers.usage.extended(status, request.query)
        send_message(responder, status)

    async def send_changes(self, request: Request, responder: Responder) -> None:
        """Send the changes of a kind after a revision.

        The response is 410 if the history no longer reaches back to the revision, and 503 if this
        process has no current copy of the kind.
        """
        mirror = self.mirrors.get(query_value(request.query, "kind") or "")
        after = read_number(query_value(request.query, "after"))
        if mirror is None or after is None:
            responder.send(404)
            return
        try:
            page = await serve_watch(mirror, self.peers.client, after)
        except HistoryGone:
            responder.send(410)
            return
        if page is None:
            responder.send(503)
            return
        send_message(responder, page)

    async def send_lot(self, request: Request, responder: Responder) -> None:
        """Send the record of a lot known here, without its items."""
        record = self.registry.records.get(query_value(request.query, "id") or "")
        if record is None:
            responder.send(404)
            return
        send_message(responder, record.without_object())

    async def apply_lot_notice(self, request: Request, responder: Responder) -> None:
        """Apply the record of a lot sent by another process."""
        notice = decode_message(request.body, LotNotice)
        self.registry.apply_record(notice.record)
        responder.send(200)

    async def accept_lot(self, request: Request, responder: Responder) -> None:
        """Accept a lot that its owner hands over, or respond with 409."""
        accepted = await self.handover.accept_lot(decode_message(request.body, HandOver))
        responder.send(200 if accepted else 409)

    async def handle_load_notice(self, request: Request, responder: Responder) -> None:
        """Handle the notification that a target is loading a version."""
        self.converger.apply_load_notice(decode_message(request.body, LoadNotice))
        responder.send(200)

    async def grant_permit(self, request: Request, responder: Responder) -> None:
        """Decide on a request for a permit, or respond with 409 if another process arbitrates."""
        reply = self.permits.grant(decode_message(request.body, PermitRequest))
        if reply is None:
            responder.send(409)
            return
        send_message(responder, reply)

    async def apply_streams(self, request: Request, responder: Responder) -> None:
        """Apply the origins of streams that another process has begun."""
        self.origins.merge(decode_message(request.body, list[StreamBegun]))
        responder.send(200)

    async def send_origin(self, request: Request, responder: Responder) -> None:
        """Send what this process knows of the origin of a stream."""
        query = decode_message(request.body, OriginQuery)
        send_message(responder, self.origins.answer(query))

    async def apply_usage(self, request: Request, responder: Responder) -> None:
        """Merge the counts of requests that another process hands over, or respond with 404."""
        if self.peers.usage is None:
            responder.send(404)
            return
        self.peers.usage.book.merge(decode_message(request.body, list[UsageShare]))
        responder.send(200)

    async def relay_duty_call(self, request: Request, responder: Responder) -> None:
        """Pass on a call of the holder of the duties, or respond with 502."""
        status = await self.duty_caller.pass_on(decode_message(request.body, RelayedCall))
        if status is None:
            responder.send(502)
            return
        send_message(responder, status)

    async def send_shared_state(self, request: Request, responder: Responder) -> None:
        """Send what this process has learned of targets and requests after a revision."""
        after = read_number(query_value(request.query, "after"))
        if after is None:
            responder.send(400)
            return
        observed_only = query_value(request.query, "observed") == "1"
        send_message(responder, self.shared_state.state_after(after, observed_only))


def send_message(responder: Responder, message: Any) -> None:
    """Send a message as JSON with status 200."""
    responder.send(200, body=msgspec.json.encode(message))
