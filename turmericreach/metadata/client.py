"""Client of the metadata store, one per process."""

import asyncio
import contextlib
import random
from typing import Any

from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseIncomplete,
    ResponseLimits,
)
from turmericreach.metadata.budget import CallBudget
from turmericreach.metadata.objects import (
    Conflict,
    HistoryGone,
    MetadataError,
    NotFound,
    OutcomeUnknown,
    StoredObject,
    Unavailable,
    WatchPage,
)
from turmericreach.platform import store as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["MetadataClient"]

# A slowed store responds within about half of this time.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.8
# Added to the wait time of a watch to get its timeout.
WATCH_MARGIN_S = 2.0
PROBE_INTERVAL_S = 1.0
# Probe interval while the store is unavailable, short so that its recovery is detected soon.
PROBE_RETRY_S = 0.25
RETRY_PAUSE_S = 0.15
# Share of the store's call rates that one process may use, since all processes share them.
BUDGET_SHARE = 0.25
# A response shows for twice this long that the store is available.
RESPONSE_FRESH_S = 1.5


class MetadataClient:
    """Calls the store, tracks its availability, and finds the outcome of writes without a response.

    Attributes
    ----------
    available : asyncio.Event
        Set while the store responds to this process.
    last_response_at : float
        Loop time of the last response other than 429 or 503.
    recovered_at : float
        Loop time at which the store last became available again after an outage, or minus infinity.
    contact_resumed_at : float
        Loop time of the last response that ended a silence of the store, which may be earlier than
        the probe that shows that the store is available again; minus infinity if there was none.
    watches : set of ClientConnection
        Connections with a watch in progress.
    calls : dict of str to int
        Number of calls by purpose.
    """

    def __init__(
        self,
        address: str,
        writes_per_s: float,
        reads_per_s: float,
        limits: ResponseLimits | None = None,
    ):
        self.address = address
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=4, limits=limits)
        self.writes = CallBudget(writes_per_s * BUDGET_SHARE)
        self.reads = CallBudget(reads_per_s * BUDGET_SHARE)
        self.call_timeout_s = CALL_TIMEOUT_S
        self.available = asyncio.Event()
        self.probe_requested = asyncio.Event()
        self.last_response_at = float("-inf")
        self.recovered_at = float("-inf")
        self.contact_resumed_at = float("-inf")
        self.was_unavailable = False
        self.watches: set[ClientConnection] = set()
        self.calls: dict[str, int] = {}
        self.random = random.Random()

    def configure(self, address: str, writes_per_s: float, reads_per_s: float) -> None:
        """Use another address or other rates from the next call on."""
        self.address = address
        self.writes.set_rate(writes_per_s * BUDGET_SHARE)
        self.reads.set_rate(reads_per_s * BUDGET_SHARE)

    def last_response_age_s(self) -> float:
        """Return the seconds since the last response, infinite if there was none."""
        return asyncio.get_running_loop().time() - self.last_response_at

    def responded_recently(self) -> bool:
        """Return whether the store is available and has responded recently."""
        return self.available.is_set() and self.last_response_age_s() < 2 * RESPONSE_FRESH_S

    # Reading

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist.

        Raises
        ------
        Unavailable
            If the store did not respond.
        """
        try:
            body = await self.call("get", wire.get_call(kind, name))
        except NotFound:
            return None
        return self.decode_response(wire.decode_object_response, kind, body)

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision to watch from.

        The revision is that of the first page, so that a watch from it repeats the changes made
        while the later pages were read.
        """
        objects: list[StoredObject] = []
        revision: int | None = None
        after: str | None = None
        while True:
            body = await self.call("list", wire.list_call(kind, after))
            page, problems = self.decode_response(wire.decode_page_response, kind, body)
            self.log_unreadable(kind, problems)
            objects.extend(page.objects)
            if revision is None:
                revision = page.revision
            if page.next_after is None:
                return objects, revision
            after = page.next_after

    async def newest_revision(self, kind: str) -> int:
        """Return the highest revision of the objects of a small kind, which may be seconds old.

        Raises
        ------
        Unavailable
            If the store did not respond.
        """
        body = await self.call("check", wire.stale_list_call(kind))
        page, _ = self.decode_response(wire.decode_page_response, kind, body)
        return max((object.revision for object in page.objects), default=0)

    def watch_delay_s(self, kind: str) -> float:
        """Return the seconds to wait before the next watch of a kind, which is none here."""
        return 0.0

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Wait for changes after a revision.

        Raises
        ------
        HistoryGone
            If the changes after the revision are no longer kept.
        Unavailable
            If the store did not respond.
        """
        call = wire.watch_call(kind, revision, wait_s)
        body = await self.call("watch", call, wait_s + WATCH_MARGIN_S)
        page, problems = self.decode_response(wire.decode_watch_response, kind, body)
        self.log_unreadable(kind, problems)
        return page

    # Writing

    async def create(
        self, kind: str, name: str, spec: Any, deadline: float = float("inf")
    ) -> StoredObject:
        """Create an object, repeating the call after a lost response until the outcome is known.

        Parameters
        ----------
        spec : any
            Must differ from what any other process would write under the name, since an existing
            object with this spec counts as the one created here.
        deadline : float
            Loop time after which the call is not repeated.

        Raises
        ------
        Conflict
            If another object has the name.
        OutcomeUnknown
            If the object may exist or may still be created.
        Unavailable
            If the object was not created and will not be.
        """
        return await self.resolve_write(
            wire.create_call(kind, name, spec), kind, name, spec, None, deadline
        )

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: int,
        deadline: float = float("inf"),
    ) -> StoredObject:
        """Replace the spec of an object if its revision is the given one; raises as `create`."""
        call = wire.replace_call(kind, name, spec, revision)
        return await self.resolve_write(call, kind, name, spec, None, deadline)

    async def set_status(
        self,
        kind: str,
        name: str,
        status: Any,
        revision: int,
        deadline: float = float("inf"),
    ) -> StoredObject:
        """Replace the status of an object if its revision is the given one; raises as `create`."""
        call = wire.status_call(kind, name, status, revision)
        return await self.resolve_write(call, kind, name, None, status, deadline)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; it need not exist."""
        with contextlib.suppress(NotFound):
            await self.call("delete", wire.delete_call(kind, name))

    async def resolve_write(
        self,
        call: wire.StoreCall,
        kind: str,
        name: str,
        spec: Any,
        status: Any,
        deadline: float,
    ) -> StoredObject:
        """Repeat a conditional write until its outcome is known or the deadline has passed.

        Because of the condition at most one of the repeated writes takes effect. A conflict with
        an object that already holds the written value means that an earlier attempt took effect.
        """
        loop = asyncio.get_running_loop()
        unknown = False
        while True:
            try:
                body = await self.call("write", call)
                return self.decode_written(kind, body)
            except Conflict as conflict:
                current = conflict.current or await self.get_conflicting(kind, name, deadline)
                written = current is not None and (
                    current.spec == spec if status is None else current.status == status
                )
                if written:
                    return current
                raise Conflict(str(conflict), current) from conflict
            except OutcomeUnknown:
                unknown = True
            except Unavailable as error:
                if loop.time() >= deadline and not unknown:
                    raise
                if unknown and loop.time() >= deadline:
                    raise OutcomeUnknown(str(error)) from error
            except MetadataError as error:
                if unknown:
                    # The error is that of the last attempt; an earlier one may take effect.
                    raise OutcomeUnknown(str(error)) from error
                raise
            if unknown and loop.time() >= deadline:
                raise OutcomeUnknown(f"{kind}/{name}: no response to the write")
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))

    async def get_conflicting(self, kind: str, name: str, deadline: float) -> StoredObject | None:
        """Return the object that a write conflicts with, or None if it no longer exists."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await self.get(kind, name)
            except Unavailable as error:
                if loop.time() >= deadline:
                    raise OutcomeUnknown(str(error)) from error
                await asyncio.sleep(RETRY_PAUSE_S)

    # Calls

    async def call(
        self, purpose: str, call: wire.StoreCall, timeout_s: float | None = None
    ) -> bytes:
        """Make one call within the rate limit and return the body of the response.

        Raises
        ------
        MetadataError
            The subclass that fits the status, or `Unavailable` or `OutcomeUnknown` if there was no
            complete response to a read or a write.
        """
        loop = asyncio.get_running_loop()
        budget = self.writes if call.writes else self.reads
        delay_s = budget.reserve(loop.time())
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        try:
            connection = await self.pool.acquire(self.address)
        except ConnectFailed as error:
            self.request_probe()
            raise Unavailable(str(error)) from error
        if purpose == "watch":
            self.watches.add(connection)
        try:
            async with asyncio.timeout(timeout_s or self.call_timeout_s):
                head = await connection.request(
                    call.method,
                    call.target,
                    [("Host", self.address), ("Content-Type", "application/json")],
                    call.body,
                )
                body = await connection.read_body()
        except (ResponseIncomplete, TimeoutError) as error:
            connection.close()
            if not (purpose == "watch" and isinstance(error, ResponseIncomplete)):
                self.request_probe()
            failure = OutcomeUnknown if call.writes else Unavailable
            raise failure(f"{call.method} {call.target}: {error or 'timed out'}") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self.watches.discard(connection)
        self.pool.release(connection)
        return self.check_response(call, head.status, body)

    def check_response(self, call: wire.StoreCall, status: int, body: bytes) -> bytes:
        """Return the body of a successful response, or raise the error that fits its status."""
        request_line = f"{call.method} {call.target}"
        if status in (429, 503):
            self.request_probe()
            raise Unavailable(f"{request_line}: status {status}")
        now = asyncio.get_running_loop().time()
        if now - self.last_response_at > RESPONSE_FRESH_S:
            self.contact_resumed_at = now
        self.last_response_at = now
        if 200 <= status < 300:
            return body
        if status == 404:
            raise NotFound(request_line)
        if status == 410:
            raise HistoryGone(request_line)
        if status == 409:
            raise Conflict(request_line, self.decode_conflicting_object(body))
        problem = f"{request_line}: status {status} {body[:200]!r}"
        if call.writes and not 400 <= status < 500:
            # Only a rejection is certain; a store that failed may have applied the write.
            raise OutcomeUnknown(problem)
        raise MetadataError(problem)

    def decode_conflicting_object(self, body: bytes) -> StoredObject | None:
        """Return the object in the body of a conflict, or None if it cannot be decoded."""
        try:
            return wire.decode_object_response("", body)
        except DecodeError:
            return None

    def decode_written(self, kind: str, body: bytes) -> StoredObject:
        """Return the object in the response to a write.

        Raises
        ------
        OutcomeUnknown
            If the response cannot be decoded; the write has probably taken effect.
        """
        try:
            return self.decode_response(wire.decode_object_response, kind, body)
        except Unavailable as error:
            raise OutcomeUnknown(str(error)) from error

    def decode_response(self, decode, kind: str, body: bytes):
        """Return the decoded response to a read; raise `Unavailable` if it cannot be decoded."""
        try:
            return decode(kind, body)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=kind, problem=str(error))
            raise Unavailable(f"{kind}: {error}") from error

    def log_unreadable(self, kind: str, problems: list[DecodeError]) -> None:
        """Log the objects of a page that were skipped because they could not be decoded."""
        for problem in problems:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=kind, problem=str(problem))

    # Availability of the store

    def request_probe(self) -> None:
        """Let the monitor probe the store without waiting for the probe interval."""
        self.probe_requested.set()

    async def monitor(self) -> None:
        """Probe the store periodically and update its availability, until cancelled.

        The probe uses the cheapest call. Watches wait for a long time without a response, so only
        a probe shows soon that the store no longer responds.
        """
        while True:
            responded = await self.probe()
            if responded and not self.available.is_set():
                self.mark_available()
            elif not responded and self.available.is_set():
                self.mark_unavailable()
            self.probe_requested.clear()
            if not self.available.is_set():
                await asyncio.sleep(PROBE_RETRY_S * (0.5 + self.random.random()))
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self.probe_requested.wait()
                    await asyncio.sleep(RETRY_PAUSE_S)

    async def probe(self) -> bool:
        """Return whether the store responds to a call."""
        try:
            await self.call("probe", wire.probe_call())
        except NotFound:
            return True
        except MetadataError:
            return False
        return True

    def mark_available(self) -> None:
        """Record that the store is available, and close watches from before an outage.

        Those watches may never get a response.
        """
        self.available.set()
        if not self.was_unavailable:
            return
        self.recovered_at = asyncio.get_running_loop().time()
        log_event(events.DEPENDENCY_REGAINED, dependency="metadata store", address=self.address)
        for connection in list(self.watches):
            connection.close()

    def mark_unavailable(self) -> None:
        """Record that the store is unavailable; mirrors pause until it is available again."""
        self.available.clear()
        self.was_unavailable = True
        log_event(
            events.DEPENDENCY_LOST,
            dependency="metadata store",
            address=self.address,
            age_s=round(self.last_response_age_s(), 3),
        )

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()
