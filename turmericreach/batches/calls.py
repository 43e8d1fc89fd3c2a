"""What callers ask of lots: submit, read, fetch a body, end."""

import asyncio
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from turmericreach.batches.model import ItemResult
from turmericreach.batches.records import BatchRecord, new_record_spec
from turmericreach.batches.registry import BatchRegistry
from turmericreach.coordination.names import LOTS_KIND
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, OutcomeUnknown
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.lots import decode_submission
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Acceptance", "BatchCalls", "Page"]

# A submission is worth holding while the store may answer soon.
SUBMIT_TIMEOUT_S = 3.0
END_TIMEOUT_S = 3.0
# A lot starts here within a few milliseconds, unless the store is slow.
START_POLL_S = 0.02
# Below the largest answer to a read, with room for its frame.
PAGE_BYTES = 900_000


@attrs.frozen
class Acceptance:
    """Outcome of a submission.

    Attributes
    ----------
    accepted : bool
        Whether the lot is stored.
    unknown : bool
        Whether it may be stored all the same.
    reason : str
        Why it is not accepted.
    record : BatchRecord or None
        The lot, if this call has stored it.
    """

    accepted: bool
    unknown: bool = False
    reason: str = ""
    record: BatchRecord | None = None


@attrs.frozen
class Page:
    """Results from a position on."""

    total: int
    after: int
    results: list[ItemResult]


class BatchCalls:
    """Serves calls on lots at this process."""

    def __init__(self, registry: BatchRegistry, client: MetadataClient):
        self.registry = registry
        self.client = client

    async def submit(
        self, lot: str, host: str, path: str, document: Any, owner_for: Callable[[str], str]
    ) -> Acceptance:
        """Store a lot, once.

        Parameters
        ----------
        owner_for : callable
            Returns the host that is to run the lots of a model.

        Raises
        ------
        DecodeError
            If the lot is not as agreed.
        """
        if lot in self.registry.records:
            return Acceptance(True)
        spec = decode_submission(lot, host, path, document)
        loop = asyncio.get_running_loop()
        began = loop.time()
        owner = owner_for(spec.model)
        stored = new_record_spec(spec, document, owner, uuid.uuid4().hex)
        try:
            object = await self.client.create(LOTS_KIND, lot, stored, began + SUBMIT_TIMEOUT_S)
        except Conflict as conflict:
            if conflict.current is not None:
                self.registry.take(conflict.current)
            return Acceptance(True)
        except OutcomeUnknown as error:
            return Acceptance(False, unknown=True, reason=str(error))
        except MetadataError as error:
            return Acceptance(False, reason=str(error))
        log_event(
            events.BATCH_ACCEPTED,
            lot=lot,
            items=len(spec.items),
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            owner=owner,
            revision=object.revision,
            ms=round((loop.time() - began) * 1000, 1),
        )
        return Acceptance(True, record=self.registry.take(object))

    async def read_local(self, record: BatchRecord, after: int, wait_s: float) -> Page | None:
        """Return results of a lot that is run here, None if it is not."""
        total = record.item_count
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + wait_s
        while True:
            left_s = give_up_at - loop.time()
            if self.registry.is_starting(record.lot) and left_s > 0:
                await asyncio.sleep(START_POLL_S)
                continue
            local = self.registry.local_results(record.lot)
            if local is None:
                return None
            results, changed = local
            if len(results) > after or len(results) >= total or left_s <= 0:
                return Page(total, after, page_of(results, after))
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                return Page(total, after, page_of(results, after))

    async def read_stored(self, record: BatchRecord, after: int) -> Page:
        """Return results of a lot from the store.

        Raises
        ------
        MetadataError
            If the store does not answer.
        """
        results = await self.registry.stored_results(record.lot, after)
        return Page(record.item_count, after, page_of(results, after))

    def body_of(self, record: BatchRecord, item_id: str) -> bytes | None:
        """Return the body of an item, None if the lot has no such item."""
        try:
            spec = decode_submission(record.lot, record.host, record.path, record.document)
        except DecodeError:
            return None
        for item in spec.items:
            if item.id == item_id:
                return item.body
        return None

    async def end(self, lot: str) -> BatchRecord | None:
        """End a lot; return it, or None if there is none.

        Raises
        ------
        MetadataError
            If it is not known to be ended.
        """
        record = await self.registry.write_status(lot, ended=True, timeout_s=END_TIMEOUT_S)
        if record is not None:
            log_event(events.BATCH_ENDED, lot=lot, revision=record.revision)
        return record


def page_of(results: list[ItemResult], after: int) -> list[ItemResult]:
    """Return results from a position on, at least one if there is one, within a size."""
    page, size = [], 0
    for result in results[after:]:
        size += len(result.text.encode()) * 2 + 200
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
