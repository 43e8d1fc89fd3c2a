"""Calls on lots that arrive over HTTP, from callers or passed on by another process."""

import asyncio

from turmericreach.batches.calls import BatchCalls, Page
from turmericreach.batches.records import BatchRecord
from turmericreach.http1 import (
    ConnectFailed,
    Request,
    Responder,
    ResponseIncomplete,
    query_value,
)
from turmericreach.metadata import MetadataClient, MetadataError
from turmericreach.node.peers import Peer, PeerTable
from turmericreach.placement import retry_after_s
from turmericreach.platform import lots as wire
from turmericreach.platform.decoding import DecodeError, decode_json
from turmericreach.platform.targets import attempt_head, refusal_fields
from turmericreach.services import Route
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotApi"]

JSON_FIELDS = [("Content-Type", "application/json")]
# Marks a call that another process has passed on; it is not passed on again.
PASSED_ON = "X-Passed-On"
# A peer that has answered within this time is asked.
PEER_SILENCE_S = 1.5
PEER_STORE_AGE_S = 1.5
PASS_TIMEOUT_S = 3.0
# A read at another process may take this much longer than it waits for results.
READ_MARGIN_S = 1.0


class LotApi:
    """Answers calls on lots, by itself or through the process that can."""

    def __init__(self, calls: BatchCalls, client: MetadataClient, peers: PeerTable):
        self.calls = calls
        self.client = client
        self.peers = peers

    # Submission

    async def submit(self, request: Request, responder: Responder, route: Route | None) -> None:
        """Accept a lot, or pass it on to a process that reaches the store."""
        lot = attempt_head(request.headers).id
        if not self.client.in_contact() and await self.pass_on(request, responder):
            return
        began = asyncio.get_running_loop().time()
        try:
            document = decode_json(request.body)
            host = request.headers.get("host", "")
            result = await self.calls.submit(lot, host, request.path, document)
        except DecodeError as error:
            self.refuse_submission(responder, lot, 400, str(error), None)
            return
        if result.accepted:
            responder.send(202)
            return
        if result.unknown:
            self.refuse_submission(responder, lot, 504, result.reason, None)
            return
        waited_s = asyncio.get_running_loop().time() - began
        reason = f"{result.reason}, tried for {waited_s:.2f} s"
        self.refuse_submission(responder, lot, 503, reason, retry_after_s(True, False))

    def refuse_submission(
        self, responder: Responder, lot: str, status: int, reason: str, retry_s: float | None
    ) -> None:
        """Answer a submission that is not accepted."""
        log_event(
            events.BATCH_REFUSED,
            lot=lot,
            status=status,
            reason=reason,
            retry_after_s=retry_s,
            store_age_s=round(min(self.client.contact_age_s(), 1e9), 3),
        )
        responder.send(status, refusal_fields(retry_s))

    # Reads

    async def read(self, request: Request, responder: Responder, lot: str) -> None:
        """Answer a read of results."""
        try:
            after = wire.read_position(request.query)
        except DecodeError as error:
            self.fail(responder, lot, 400, str(error))
            return
        record = await self.find(request, responder, lot)
        if record is None:
            return
        page = await self.calls.read_local(record, after, wire.read_wait_s(request.headers))
        if page is None:
            page = await self.read_elsewhere(request, responder, record, after)
        if page is not None:
            body = wire.encode_results(page.total, page.after, page.results)
            responder.send(200, JSON_FIELDS, body)

    async def read_elsewhere(
        self, request: Request, responder: Responder, record: BatchRecord, after: int
    ) -> Page | None:
        """Read results from the owner, else from the store; None if the call is answered."""
        owner = self.peers.peers.get(record.owner)
        now = asyncio.get_running_loop().time()
        asked = request.headers.get(PASSED_ON) is not None
        reachable = owner is not None and self.peers.is_alive(owner.host, now, PEER_SILENCE_S)
        if not record.ended and reachable and not asked:
            timeout_s = wire.read_wait_s(request.headers) + READ_MARGIN_S
            if await self.pass_to(owner, request, responder, timeout_s, accept=(200,)):
                return None
        try:
            return await self.calls.read_stored(record, after)
        except MetadataError as error:
            if not asked and await self.pass_on(request, responder):
                return None
            self.fail(responder, record.lot, 503, str(error))
            return None

    async def read_body(self, request: Request, responder: Responder, lot: str) -> None:
        """Answer a read of an item's body."""
        record = await self.find(request, responder, lot)
        if record is None:
            return
        body = self.calls.body_of(record, query_value(request.query, "id") or "")
        if body is None:
            self.fail(responder, lot, 404, "no such item")
            return
        responder.send(200, [("Content-Type", "application/octet-stream")], body)

    async def end(self, request: Request, responder: Responder, lot: str) -> None:
        """End a lot."""
        if not self.client.in_contact() and await self.pass_on(request, responder):
            return
        try:
            found = await self.calls.end(lot)
        except MetadataError as error:
            self.fail(responder, lot, 504, str(error))
            return
        if not found:
            self.fail(responder, lot, 404, "no such lot")
            return
        responder.send(200)

    async def find(self, request: Request, responder: Responder, lot: str) -> BatchRecord | None:
        """Return a lot's record; None if the call has been answered."""
        if not wire.is_lot_id(lot):
            self.fail(responder, lot, 404, "no such lot")
            return None
        try:
            record = await self.calls.find(lot)
        except MetadataError as error:
            if not await self.pass_on(request, responder):
                self.fail(responder, lot, 503, str(error))
            return None
        if record is None:
            self.fail(responder, lot, 404, "no such lot")
        return record

    def fail(self, responder: Responder, lot: str, status: int, reason: str) -> None:
        """Answer a call that fails."""
        log_event(events.BATCH_READ_FAILED, lot=lot, status=status, reason=reason)
        retry_s = retry_after_s(True, False) if status == 503 else None
        responder.send(status, refusal_fields(retry_s))

    # Other processes

    async def pass_on(self, request: Request, responder: Responder) -> bool:
        """Pass a call on to a process that reaches the store; return whether it answered."""
        if request.headers.get(PASSED_ON) is not None:
            return False
        now = asyncio.get_running_loop().time()
        for host in self.peers.writers(now, PEER_SILENCE_S, PEER_STORE_AGE_S):
            peer = self.peers.peers.get(host)
            if peer is None:
                continue
            if await self.pass_to(peer, request, responder, PASS_TIMEOUT_S):
                return True
        return False

    async def pass_to(
        self,
        peer: Peer,
        request: Request,
        responder: Responder,
        timeout_s: float,
        accept: tuple[int, ...] = (200, 202, 400, 404),
    ) -> bool:
        """Pass a call on to a process; return whether its answer was sent to the caller."""
        fields = [*request.headers.end_to_end(), (PASSED_ON, self.peers.host)]
        try:
            async with asyncio.timeout(timeout_s):
                head, body = await self.peers.pool.fetch(
                    peer.address, request.method, request.target, fields, request.body
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError) as error:
            log_event(
                events.HOST_UNREACHABLE,
                peer=peer.host,
                reason=f"{request.method} {request.path}: {type(error).__name__} {error}",
            )
            return False
        if head.status not in accept:
            return False
        responder.send(head.status, head.headers.end_to_end(), body)
        return True
