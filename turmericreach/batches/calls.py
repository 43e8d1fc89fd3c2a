"""Operations on lots that callers request: submit, read results, read a body, end."""

import asyncio
import uuid
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from turmericreach.admission import LotDecision
from turmericreach.batches.log import RESULT_OVERHEAD_BYTES
from turmericreach.batches.model import BatchSpec, ItemResult
from turmericreach.batches.records import BatchRecord, new_record_spec
from turmericreach.batches.registry import BatchRegistry
from turmericreach.batches.text_memory import encoded_bytes
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.metadata import (
    Conflict,
    MetadataClient,
    MetadataError,
    OutcomeUnknown,
    StoredObject,
)
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.lots import decode_submission, without_credentials
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import ANYONE, Caller

__all__ = ["Acceptance", "BatchCalls", "Page"]

# A submission is held open for this long, since the store may answer soon.
SUBMIT_TIMEOUT_S = 3.0
END_TIMEOUT_S = 3.0
# A rejection has to be reported within 100 ms of the submission.
STORED_CHECK_TIMEOUT_S = 0.04
# Polling interval while a lot starts here; a start takes milliseconds unless the store is slow.
START_POLL_S = 0.02
# Below the size limit of the response to a read, with room for its envelope.
PAGE_BYTES = 900_000


@attrs.frozen
class Acceptance:
    """Outcome of a submission.

    Attributes
    ----------
    accepted : bool
        Whether the lot is stored, by this call or by an earlier one.
    unknown : bool
        Whether a lot that is not accepted may be stored nevertheless, since the outcome of the
        write is unknown.
    reason : str
        Why the lot is not accepted, empty if it is.
    record : BatchRecord or None
        Stored record, None unless this call stored it.
    foreign : bool
        Whether another tenant has a lot with this id.
    retry_s : float or None
        Seconds after which a lot that cannot be served now could be; None if the metadata store
        was the reason.
    """

    accepted: bool
    unknown: bool = False
    reason: str = ""
    record: BatchRecord | None = None
    foreign: bool = False
    retry_s: float | None = None


class LotAdmissionSource(Protocol):
    """Decides whether a lot can be served."""

    async def decide(self, spec: BatchSpec, owner: str) -> LotDecision:
        """Return whether a lot that a host would run is accepted."""


@attrs.frozen
class Page:
    """Results of a lot from a position on.

    Attributes
    ----------
    total : int
        Number of items in the lot.
    after : int
        Position of the first result, which is the number of results before it.
    results : list of ItemResult
        Results in the order in which they were listed.
    """

    total: int
    after: int
    results: list[ItemResult]


class BatchCalls:
    """Implements the operations that callers request on lots.

    Parameters
    ----------
    registry : BatchRegistry
        Lots known to this process.
    client : MetadataClient
        Client of the metadata store.

    Attributes
    ----------
    admission : LotAdmissionSource or None
        Decides on new lots before they are stored; None if all are accepted.
    """

    def __init__(self, registry: BatchRegistry, client: MetadataClient):
        self.registry = registry
        self.client = client
        self.admission: LotAdmissionSource | None = None

    async def submit(
        self,
        lot: str,
        host: str,
        path: str,
        document: Any,
        owner_for: Callable[[str], str],
        caller: Caller = ANYONE,
    ) -> Acceptance:
        """Store a submitted lot; a lot that is already stored is accepted without a write.

        Parameters
        ----------
        lot : str
            Id of the lot.
        host, path : str
            Host and path of the submission, which select the route.
        document : Any
            Decoded JSON body of the submission.
        owner_for : callable
            Returns the host that should run the lots of a model.
        caller : Caller
            Who submits the lot.

        Raises
        ------
        DecodeError
            If the submission is not valid.
        """
        known = self.registry.records.get(lot)
        if known is not None:
            return accept_again(known, caller)
        spec = decode_submission(lot, host, path, document, caller.tenant)
        if caller.checked:
            document = without_credentials(document)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        owner = owner_for(spec.model)
        rejection = await self.reject_unservable(spec, owner)
        if rejection is not None:
            return rejection
        terms = self.registry.present_terms(host, path)
        stored = new_record_spec(spec, document, owner, uuid.uuid4().hex, terms)
        try:
            object = await self.client.create(LOTS_KIND, lot, stored, started_at + SUBMIT_TIMEOUT_S)
        except Conflict as conflict:
            return self.accept_stored(conflict.current, caller)
        except OutcomeUnknown as error:
            return Acceptance(False, unknown=True, reason=str(error))
        except MetadataError as error:
            return Acceptance(False, reason=str(error))
        log_event(
            events.BATCH_ACCEPTED,
            lot=lot,
            items=len(spec.items),
            target_groups=spec.target_groups,
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            owner=owner,
            revision=object.revision,
            ms=round((loop.time() - started_at) * 1000, 1),
        )
        return Acceptance(True, record=self.registry.apply_object(object))

    async def reject_unservable(self, spec: BatchSpec, owner: str) -> Acceptance | None:
        """Return the rejection of a lot that cannot be served in time, None for any other lot.

        A rejection promises that the lot never runs, so the store is asked first whether an earlier
        submission has stored it. While the store does not answer nothing is rejected.
        """
        if self.admission is None:
            return None
        decision = await self.admission.decide(spec, owner)
        if decision.accepted:
            return None
        try:
            async with asyncio.timeout(STORED_CHECK_TIMEOUT_S):
                if await self.registry.fetch(spec.id) is not None:
                    return None
        except (MetadataError, TimeoutError):
            return None
        return Acceptance(False, reason=decision.reason, retry_s=decision.retry_s)

    def accept_stored(self, stored: StoredObject | None, caller: Caller) -> Acceptance:
        """Return the outcome of a submission whose name exists in the store already."""
        try:
            if stored is not None:
                return accept_again(self.registry.apply_object(stored), caller)
        except MetadataError as error:
            # Another writer has stored something else under the name.
            return Acceptance(False, unknown=True, reason=str(error))
        return Acceptance(True)

    async def read_local(self, record: BatchRecord, after: int, wait_s: float) -> Page | None:
        """Return results of a lot that runs here, or None if it does not.

        Waits up to ``wait_s`` seconds for results after the position.
        """
        total = record.item_count
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            remaining_s = deadline - loop.time()
            if self.registry.is_starting(record.lot) and remaining_s > 0:
                await asyncio.sleep(START_POLL_S)
                continue
            local = self.registry.local_results(record.lot)
            if local is None:
                return None
            results, changed = local
            if len(results) > after or len(results) >= total or remaining_s <= 0:
                return Page(total, after, limit_page(results, after))
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                return Page(total, after, limit_page(results, after))

    async def read_stored(self, record: BatchRecord, after: int) -> Page:
        """Return results of a lot from the metadata store.

        Raises
        ------
        MetadataError
            If the store is unavailable.
        """
        results = await self.registry.stored_results(record.lot, after)
        return Page(record.item_count, after, limit_page(results, after))

    def item_body(self, record: BatchRecord, item_id: str) -> bytes | None:
        """Return the request body of an item, or None if the lot has no such item."""
        try:
            spec = decode_submission(record.lot, record.host, record.path, record.document)
        except DecodeError:
            return None
        for item in spec.items:
            if item.id == item_id:
                return item.body
        return None

    async def end(self, lot: str) -> BatchRecord | None:
        """Mark a lot as ended and return its record, or None if there is no such lot.

        Raises
        ------
        MetadataError
            If the store did not confirm the write.
        """
        record = await self.registry.write_status(lot, ended=True, timeout_s=END_TIMEOUT_S)
        if record is not None:
            log_event(events.BATCH_ENDED, lot=lot, revision=record.revision)
        return record


def accept_again(record: BatchRecord, caller: Caller) -> Acceptance:
    """Return the outcome of a submission of a lot that is stored already."""
    if caller.may_use(record.tenant):
        return Acceptance(True)
    return Acceptance(False, reason="another tenant has the lot", foreign=True)


def limit_page(results: list[ItemResult], after: int) -> list[ItemResult]:
    """Return the results after a position that fit in ``PAGE_BYTES``, but at least one if any."""
    page, size = [], 0
    for result in results[after:]:
        size += encoded_bytes(result.text) + RESULT_OVERHEAD_BYTES
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
