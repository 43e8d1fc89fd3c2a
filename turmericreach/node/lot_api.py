"""HTTP API for lots, for callers and for requests forwarded by other processes."""

import asyncio
import contextlib
import random

from turmericreach.batches.calls import BatchCalls, Page
from turmericreach.batches.handover import owner_subject
from turmericreach.batches.records import BatchRecord
from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.messages import LotNotice
from turmericreach.coordination.peers import PeerTable
from turmericreach.http1 import (
    ConnectFailed,
    Request,
    Responder,
    ResponseIncomplete,
    query_value,
)
from turmericreach.metadata import MetadataClient, MetadataError
from turmericreach.node.lot_forwarding import FORWARDED_BY, ForwardOutcome, LotForwarder
from turmericreach.placement import outage_retry_s
from turmericreach.platform import lots as wire
from turmericreach.platform.decoding import DecodeError, decode_json
from turmericreach.platform.targets import attempt_head, retry_after_fields
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import ANYONE, Caller

__all__ = ["LotApi"]

JSON_FIELDS = [("Content-Type", "application/json")]
# Added to the time that a read waits for results, as the timeout of reads at another process.
READ_MARGIN_S = 1.0
COORDINATOR_TIMEOUT_S = 0.3
# Upper bound on what is stored of a lot besides its submission.
RECORD_BYTES = 4096
# Lots of which it is remembered that their outcome is unknown; a caller retries within seconds.
MAX_UNKNOWN_LOTS = 1024


class LotApi:
    """Serves requests on lots, locally or by forwarding them to another process.

    Parameters
    ----------
    calls : BatchCalls
        Operations on lots at this process.
    client : MetadataClient
        Client of the metadata store.
    peers : PeerTable
        The other processes.
    value_bytes : int
        Largest object that the metadata store accepts.

    Attributes
    ----------
    unknown_lots : dict of str to None
        Newest lots that may be stored although their submission was not accepted, the oldest first.
    """

    def __init__(
        self, calls: BatchCalls, client: MetadataClient, peers: PeerTable, value_bytes: int
    ):
        self.calls = calls
        self.value_bytes = value_bytes
        self.registry = calls.registry
        self.client = client
        self.peers = peers
        self.forwarder = LotForwarder(peers, self.outage_retry_s)
        self.unknown_lots: dict[str, None] = {}
        self.tasks: set[asyncio.Task] = set()
        self.random = random.Random()

    def outage_retry_s(self) -> float:
        """Return the seconds after which a call that needs the metadata store may come again."""
        return outage_retry_s(self.client.last_response_age_s(), self.random.random())

    # Submission

    async def submit(self, request: Request, responder: Responder, caller: Caller = ANYONE) -> None:
        """Accept a lot, or forward it to a process that reaches the metadata store.

        Once a lot may be stored, it is accepted or its outcome is unknown, also when it is
        submitted again.
        """
        lot = attempt_head(request.headers).id
        if len(request.body) + RECORD_BYTES > self.value_bytes:
            self.reject_submission(
                responder, lot, 413, "larger than the metadata store accepts", None
            )
            return
        forwarded = await self.forward_without_store(request, responder, caller)
        if forwarded is ForwardOutcome.ANSWERED:
            return
        if forwarded is ForwardOutcome.UNKNOWN:
            self.record_unknown(lot)
        began = asyncio.get_running_loop().time()
        try:
            document = decode_json(request.body)
            host = request.headers.get("host", "")
            result = await self.calls.submit(
                lot, host, request.path, document, self.owner_for, caller
            )
        except DecodeError as error:
            self.reject_submission(responder, lot, 400, str(error), None)
            return
        if result.accepted:
            self.unknown_lots.pop(lot, None)
            responder.send(202)
            if result.record is not None and result.record.owner != self.peers.host:
                self.spawn(self.notify_owner(result.record))
            return
        if result.unknown:
            self.record_unknown(lot)
        if lot in self.unknown_lots:
            reason = f"the lot may be stored; {result.reason}"
            self.reject_submission(responder, lot, 504, reason, None)
            return
        if result.foreign:
            status = 404 if caller.current else 503
            retry_s = None if caller.current else self.outage_retry_s()
            self.reject_submission(responder, lot, status, result.reason, retry_s)
            return
        waited_s = asyncio.get_running_loop().time() - began
        reason = f"{result.reason}, after {waited_s:.2f} s"
        retry_s = self.outage_retry_s() if result.retry_s is None else result.retry_s
        self.reject_submission(responder, lot, 503, reason, retry_s)

    def record_unknown(self, lot: str) -> None:
        """Record that a lot may be stored, and forget the oldest such lot if there are too many."""
        self.unknown_lots[lot] = None
        if len(self.unknown_lots) > MAX_UNKNOWN_LOTS:
            del self.unknown_lots[next(iter(self.unknown_lots))]

    async def forward_without_store(
        self, request: Request, responder: Responder, caller: Caller
    ) -> ForwardOutcome:
        """Forward a request if the metadata store has not responded to this process recently."""
        if self.client.responded_recently():
            return ForwardOutcome.NOT_RUN
        return await self.forwarder.forward_to_any(request, responder, caller)

    def owner_for(self, model: str) -> str:
        """Return the host that should own the lots of a model."""
        return self.peers.owner_for(owner_subject(model)) or self.peers.host

    async def notify_owner(self, record: BatchRecord) -> None:
        """Notify the owner of a lot; own a new lot here if its owner does not respond."""
        if await self.peers.send(record.owner, "/peer/lot", LotNotice(record)):
            return
        if record.ended:
            # The coordinator notifies the owner, or replaces it.
            return
        try:
            await self.registry.write_status(record.lot, owner=self.peers.host)
        except MetadataError as error:
            log_event(events.BATCH_LEFT, lot=record.lot, reason=f"owner not notified: {error}")

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background and keep a reference to its task until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reject_submission(
        self, responder: Responder, lot: str, status: int, reason: str, retry_s: float | None
    ) -> None:
        """Log and send the error response to a submission that is not accepted."""
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

    async def read(
        self, request: Request, responder: Responder, lot: str, caller: Caller = ANYONE
    ) -> None:
        """Serve a read of results."""
        try:
            after = wire.read_position(request.query)
        except DecodeError as error:
            self.send_failure(responder, lot, 400, str(error))
            return
        record = await self.require_record(request, responder, lot, caller)
        if record is None:
            return
        page = await self.calls.read_local(record, after, wire.read_wait_s(request.headers))
        if page is None:
            page = await self.read_remote(request, responder, record, after, caller)
        if page is not None:
            body = wire.encode_results(page.total, page.after, page.results)
            responder.send(200, JSON_FIELDS, body)

    async def read_remote(
        self,
        request: Request,
        responder: Responder,
        record: BatchRecord,
        after: int,
        caller: Caller,
    ) -> Page | None:
        """Read results through the owner of a lot, else from the metadata store.

        Returns
        -------
        Page or None
            Results from the store; None if a response has been sent already.
        """
        already_forwarded = request.headers.get(FORWARDED_BY) is not None
        if not already_forwarded and await self.forward_to_owner(
            request, responder, record, caller
        ):
            return None
        try:
            return await self.calls.read_stored(record, after)
        except MetadataError as error:
            forwarded = await self.forwarder.forward_to_any(request, responder, caller)
            if forwarded is not ForwardOutcome.ANSWERED:
                self.send_failure(responder, record.lot, 503, str(error))
            return None

    async def forward_to_owner(
        self, request: Request, responder: Responder, record: BatchRecord, caller: Caller
    ) -> bool:
        """Forward a read to the owner of a lot; return whether its response was sent.

        Otherwise the record is read again from the store, since the owner may have changed.
        """
        owner = self.peers.peers.get(record.owner)
        now = asyncio.get_running_loop().time()
        if owner is None or not self.peers.is_alive(owner.host, now):
            await self.refresh_record(record.lot)
            return False
        timeout_s = wire.read_wait_s(request.headers) + READ_MARGIN_S
        outcome = await self.forwarder.forward_to(
            owner, request, responder, timeout_s, caller, accept=(200,)
        )
        if outcome is ForwardOutcome.ANSWERED:
            return True
        await self.refresh_record(record.lot)
        return False

    async def refresh_record(self, lot: str) -> None:
        """Read the record of a lot again; while the store is unavailable the known one is kept."""
        with contextlib.suppress(MetadataError):
            await self.registry.fetch(lot)

    async def read_body(
        self, request: Request, responder: Responder, lot: str, caller: Caller = ANYONE
    ) -> None:
        """Serve a read of an item's request body."""
        record = await self.require_record(request, responder, lot, caller)
        if record is None:
            return
        if record.object is None:
            if request.headers.get(FORWARDED_BY) is None and await self.forward_to_owner(
                request, responder, record, caller
            ):
                return
            record = await self.fetch_full_record(responder, lot)
            if record is None:
                return
        body = self.calls.item_body(record, query_value(request.query, "id") or "")
        if body is None:
            self.send_failure(responder, lot, 404, "no such item")
            return
        responder.send(200, [("Content-Type", "application/octet-stream")], body)

    async def fetch_full_record(self, responder: Responder, lot: str) -> BatchRecord | None:
        """Return a lot's record with its object; None if an error response has been sent."""
        try:
            record = await self.registry.fetch(lot)
        except MetadataError as error:
            self.send_failure(responder, lot, 503, str(error))
            return None
        if record is None:
            self.send_failure(responder, lot, 404, "no such lot")
        return record

    async def end(
        self, request: Request, responder: Responder, lot: str, caller: Caller = ANYONE
    ) -> None:
        """Serve the request to end a lot."""
        forwarded = await self.forward_without_store(request, responder, caller)
        if forwarded is ForwardOutcome.ANSWERED:
            return
        if caller.checked and not await self.require_record(
            request, responder, lot, caller, forwarded
        ):
            return
        try:
            record = await self.calls.end(lot)
        except MetadataError as error:
            self.send_failure(responder, lot, 504, str(error))
            return
        if record is None:
            self.send_failure(responder, lot, 404, "no such lot")
            return
        responder.send(200)
        if record.owner != self.peers.host:
            self.spawn(self.notify_owner(record.without_object()))

    async def require_record(
        self,
        request: Request,
        responder: Responder,
        lot: str,
        caller: Caller,
        forwarded: ForwardOutcome = ForwardOutcome.NOT_RUN,
    ) -> BatchRecord | None:
        """Return the record of a lot that a caller may use; None if a response has been sent.

        Parameters
        ----------
        forwarded : ForwardOutcome, optional
            What is known of the request at other processes. Unless they have certainly not carried
            it out, the response does not say so.
        """
        if not wire.is_lot_id(lot):
            self.send_failure(responder, lot, 404, "no such lot")
            return None
        try:
            record = await self.find_record(lot)
        except MetadataError as error:
            again = await self.forwarder.forward_to_any(request, responder, caller)
            if again is not ForwardOutcome.ANSWERED:
                status = failure_status(request, forwarded, again)
                self.send_failure(responder, lot, status, str(error))
            return None
        if record is None:
            self.send_failure(responder, lot, 404, "no such lot")
            return None
        if not caller.may_use(record.tenant):
            # The key may belong to the tenant of the lot in a newer configuration.
            status = 404 if caller.current else failure_status(request, forwarded)
            self.send_failure(responder, lot, status, "the lot belongs to another tenant")
            return None
        return record

    async def find_record(self, lot: str) -> BatchRecord | None:
        """Return a lot's record, or None if the lot certainly does not exist.

        Raises
        ------
        MetadataError
            If the metadata store is unavailable, so that this is not known.
        """
        known = self.registry.records.get(lot) or await self.fetch_from_coordinator(lot)
        return known or await self.registry.fetch(lot)

    async def fetch_from_coordinator(self, lot: str) -> BatchRecord | None:
        """Return the coordinator's record of a lot.

        None means only that the coordinator gave none; the lot may exist.
        """
        peer = self.peers.peers.get(self.peers.coordinator or "")
        if peer is None or not self.peers.is_alive(peer.host, asyncio.get_running_loop().time()):
            return None
        try:
            body = await self.peers.call(
                peer, "GET", f"/peer/lot?id={lot}", b"", COORDINATOR_TIMEOUT_S
            )
            record = decode_message(body, BatchRecord)
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError):
            # The record is read from the store instead.
            return None
        self.registry.apply_record(record)
        return record

    def send_failure(self, responder: Responder, lot: str, status: int, reason: str) -> None:
        """Log a failed request and send its error response."""
        log_event(events.BATCH_READ_FAILED, lot=lot, status=status, reason=reason)
        retry_s = self.outage_retry_s() if status == 503 else None
        responder.send(status, retry_after_fields(retry_s))


def failure_status(request: Request, *forwarded: ForwardOutcome) -> int:
    """Return the status for a request that cannot be served here.

    503 says that the request has not been carried out, which is always true of a read.
    """
    if request.method != "GET" and ForwardOutcome.UNKNOWN in forwarded:
        return 504
    return 503
