"""Calls on lots that arrive over HTTP, from callers or passed on by another process."""

import asyncio
import contextlib

import msgspec

from turmericreach.batches.calls import BatchCalls, Page
from turmericreach.batches.handover import owner_subject
from turmericreach.batches.records import BatchRecord
from turmericreach.coordination.messages import LotNotice
from turmericreach.coordination.peers import FRESH_STORE_AGE_S, Peer, PeerTable
from turmericreach.http1 import (
    ConnectFailed,
    Request,
    Responder,
    ResponseIncomplete,
    query_value,
)
from turmericreach.metadata import MetadataClient, MetadataError
from turmericreach.placement import retry_after_s
from turmericreach.platform import lots as wire
from turmericreach.platform.decoding import DecodeError, decode_json
from turmericreach.platform.targets import attempt_head, retry_after_fields
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["LotApi"]

JSON_FIELDS = [("Content-Type", "application/json")]
# Marks a call that another process has passed on; it is not passed on again.
PASSED_ON = "X-Passed-On"
PASS_TIMEOUT_S = 3.0
# A read at another process may take this much longer than it waits for results.
READ_MARGIN_S = 1.0
COORDINATOR_TIMEOUT_S = 0.3
# What is stored of a lot besides its submission.
RECORD_BYTES = 4096


class LotApi:
    """Answers calls on lots, by itself or through the process that can."""

    def __init__(
        self, calls: BatchCalls, client: MetadataClient, peers: PeerTable, value_bytes: int
    ):
        self.calls = calls
        self.value_bytes = value_bytes
        self.registry = calls.registry
        self.client = client
        self.peers = peers
        self.tasks: set[asyncio.Task] = set()

    # Submission

    async def submit(self, request: Request, responder: Responder) -> None:
        """Accept a lot, or pass it on to a process that reaches the store."""
        lot = attempt_head(request.headers).id
        if len(request.body) + RECORD_BYTES > self.value_bytes:
            self.refuse_submission(responder, lot, 413, "larger than the store takes", None)
            return
        if not self.client.responded_recently() and await self.pass_on(request, responder):
            return
        began = asyncio.get_running_loop().time()
        try:
            document = decode_json(request.body)
            host = request.headers.get("host", "")
            result = await self.calls.submit(lot, host, request.path, document, self.owner_for)
        except DecodeError as error:
            self.refuse_submission(responder, lot, 400, str(error), None)
            return
        if result.accepted:
            responder.send(202)
            if result.record is not None and result.record.owner != self.peers.host:
                self.spawn(self.tell_owner(result.record))
            return
        if result.unknown:
            self.refuse_submission(responder, lot, 504, result.reason, None)
            return
        waited_s = asyncio.get_running_loop().time() - began
        reason = f"{result.reason}, tried for {waited_s:.2f} s"
        self.refuse_submission(responder, lot, 503, reason, retry_after_s(True, False))

    def owner_for(self, model: str) -> str:
        """Return the host that is to run the lots of a model."""
        return self.peers.owner_for(owner_subject(model)) or self.peers.host

    async def tell_owner(self, record: BatchRecord) -> None:
        """Tell the owner of a lot; run a new lot here if its owner does not answer."""
        if await self.peers.tell(record.owner, "/peer/lot", LotNotice(record)):
            return
        if record.ended:
            # The coordinator tells the owner, or replaces it.
            return
        try:
            await self.registry.write_status(record.lot, owner=self.peers.host)
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"owner not told: {error}")

    def spawn(self, coroutine) -> None:
        """Run a coroutine that the caller need not wait for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

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
            store_age_s=round(min(self.client.last_response_age_s(), 1e9), 3),
        )
        responder.send(status, retry_after_fields(retry_s))

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
        asked = request.headers.get(PASSED_ON) is not None
        if not asked and await self.ask_owner(request, responder, record):
            return None
        try:
            return await self.calls.read_stored(record, after)
        except MetadataError as error:
            if not asked and await self.pass_on(request, responder):
                return None
            self.fail(responder, record.lot, 503, str(error))
            return None

    async def ask_owner(self, request: Request, responder: Responder, record: BatchRecord) -> bool:
        """Pass a read on to the owner of a lot; return whether it answered."""
        owner = self.peers.peers.get(record.owner)
        now = asyncio.get_running_loop().time()
        if owner is None or not self.peers.is_alive(owner.host, now):
            await self.refresh(record.lot)
            return False
        timeout_s = wire.read_wait_s(request.headers) + READ_MARGIN_S
        if await self.pass_to(owner, request, responder, timeout_s, accept=(200,)):
            return True
        await self.refresh(record.lot)
        return False

    async def refresh(self, lot: str) -> None:
        """Read again who owns a lot; a store that is away leaves what is known."""
        with contextlib.suppress(MetadataError):
            await self.registry.fetch(lot)

    async def read_body(self, request: Request, responder: Responder, lot: str) -> None:
        """Answer a read of an item's body."""
        record = await self.find(request, responder, lot)
        if record is None:
            return
        if record.object is None:
            if request.headers.get(PASSED_ON) is None and await self.ask_owner(
                request, responder, record
            ):
                return
            record = await self.find_whole(responder, lot)
            if record is None:
                return
        body = self.calls.body_of(record, query_value(request.query, "id") or "")
        if body is None:
            self.fail(responder, lot, 404, "no such item")
            return
        responder.send(200, [("Content-Type", "application/octet-stream")], body)

    async def find_whole(self, responder: Responder, lot: str) -> BatchRecord | None:
        """Return a lot with its object; None if the call has been answered."""
        try:
            record = await self.registry.fetch(lot)
        except MetadataError as error:
            self.fail(responder, lot, 503, str(error))
            return None
        if record is None:
            self.fail(responder, lot, 404, "no such lot")
        return record

    async def end(self, request: Request, responder: Responder, lot: str) -> None:
        """End a lot."""
        if not self.client.responded_recently() and await self.pass_on(request, responder):
            return
        try:
            record = await self.calls.end(lot)
        except MetadataError as error:
            self.fail(responder, lot, 504, str(error))
            return
        if record is None:
            self.fail(responder, lot, 404, "no such lot")
            return
        responder.send(200)
        if record.owner != self.peers.host:
            self.spawn(self.tell_owner(record.brief()))

    async def find(self, request: Request, responder: Responder, lot: str) -> BatchRecord | None:
        """Return a lot's record; None if the call has been answered."""
        if not wire.is_lot_id(lot):
            self.fail(responder, lot, 404, "no such lot")
            return None
        try:
            record = await self.find_record(lot)
        except MetadataError as error:
            if not await self.pass_on(request, responder):
                self.fail(responder, lot, 503, str(error))
            return None
        if record is None:
            self.fail(responder, lot, 404, "no such lot")
        return record

    async def find_record(self, lot: str) -> BatchRecord | None:
        """Return a lot's record; None means for certain that there is none.

        Raises
        ------
        MetadataError
            If that cannot be told.
        """
        known = self.registry.records.get(lot) or await self.ask_coordinator(lot)
        return known or await self.registry.fetch(lot)

    async def ask_coordinator(self, lot: str) -> BatchRecord | None:
        """Return what the coordinator knows of a lot; None tells nothing."""
        peer = self.peers.peers.get(self.peers.coordinator or "")
        if peer is None or not self.peers.is_alive(peer.host, asyncio.get_running_loop().time()):
            return None
        try:
            body = await self.peers.call(
                peer, "GET", f"/peer/lot?id={lot}", b"", COORDINATOR_TIMEOUT_S
            )
            record = msgspec.json.decode(body, type=BatchRecord)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, msgspec.DecodeError):
            # The store is asked instead.
            return None
        self.registry.take_record(record)
        return record

    def fail(self, responder: Responder, lot: str, status: int, reason: str) -> None:
        """Answer a call that fails."""
        log_event(events.BATCH_READ_FAILED, lot=lot, status=status, reason=reason)
        retry_s = retry_after_s(True, False) if status == 503 else None
        responder.send(status, retry_after_fields(retry_s))

    # Other processes

    async def pass_on(self, request: Request, responder: Responder) -> bool:
        """Pass a call on to a process that reaches the store; return whether it answered."""
        if request.headers.get(PASSED_ON) is not None:
            return False
        for host in self.peers.writers(FRESH_STORE_AGE_S):
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
