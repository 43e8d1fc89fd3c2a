"""Calls of other processes."""

from typing import Any

import msgspec

from turmericreach.batches.handover import LotHandover
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.messages import HandOver, LoadNotice, LotNotice
from turmericreach.coordination.peers import PeerTable
from turmericreach.coordination.relay import serve_watch
from turmericreach.http1 import Request, Responder, query_value
from turmericreach.metadata import HistoryGone, KindMirror
from turmericreach.node.caller_api import CallerApi
from turmericreach.versions.converger import VersionConverger

__all__ = ["PeerApi"]


class PeerApi:
    """Answers calls between processes; others are callers' calls that were passed on."""

    def __init__(
        self,
        peers: PeerTable,
        mirrors: dict[str, KindMirror],
        registry: BatchRegistry,
        handover: LotHandover,
        converger: VersionConverger,
        callers: CallerApi,
    ):
        self.peers = peers
        self.mirrors = mirrors
        self.registry = registry
        self.handover = handover
        self.converger = converger
        self.callers = callers
        self.handlers = {
            ("GET", "/peer/status"): self.status,
            ("GET", "/peer/watch"): self.watch,
            ("GET", "/peer/lot"): self.lot,
            ("POST", "/peer/lot"): self.take_lot_notice,
            ("POST", "/peer/take"): self.take_lot,
            ("POST", "/peer/loading"): self.take_load_notice,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a call."""
        handler = self.handlers.get((request.method, request.path))
        if handler is None:
            await self.callers.handle(request, responder)
            return
        try:
            await handler(request, responder)
        except (msgspec.DecodeError, msgspec.ValidationError):
            responder.send(400)

    async def status(self, request: Request, responder: Responder) -> None:
        """Tell what this process says of itself."""
        self.peers.record_ping(query_value(request.query, "from"))
        send(responder, self.peers.own_status())

    async def watch(self, request: Request, responder: Responder) -> None:
        """Tell the changes of a kind after a revision."""
        mirror = self.mirrors.get(query_value(request.query, "kind") or "")
        after = query_value(request.query, "after") or ""
        if mirror is None or not after.isdigit():
            responder.send(404)
            return
        try:
            page = await serve_watch(mirror, self.peers.client, int(after))
        except HistoryGone:
            responder.send(410)
            return
        if page is None:
            responder.send(503)
            return
        send(responder, page)

    async def lot(self, request: Request, responder: Responder) -> None:
        """Tell what is known of a lot, without its items."""
        record = self.registry.records.get(query_value(request.query, "id") or "")
        if record is None:
            responder.send(404)
            return
        send(responder, record.without_object())

    async def take_lot_notice(self, request: Request, responder: Responder) -> None:
        """Take the state of a lot."""
        notice = msgspec.json.decode(request.body, type=LotNotice)
        self.registry.apply_record(notice.record)
        responder.send(200)

    async def take_lot(self, request: Request, responder: Responder) -> None:
        """Take a lot that its owner hands over."""
        taken = await self.handover.accept_lot(msgspec.json.decode(request.body, type=HandOver))
        responder.send(200 if taken else 409)

    async def take_load_notice(self, request: Request, responder: Responder) -> None:
        """Take the word that a target loads a version."""
        self.converger.take_notice(msgspec.json.decode(request.body, type=LoadNotice))
        responder.send(200)


def send(responder: Responder, message: Any) -> None:
    """Send a message."""
    responder.send(200, body=msgspec.json.encode(message))
