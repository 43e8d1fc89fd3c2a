"""The one client of the metadata store in a process."""

import asyncio
import contextlib
import random
from typing import Any

from turmericreach.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ResponseIncomplete,
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

# A slowed store answers within about half of this.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.8
# Beyond the time that a watch may wait.
WATCH_MARGIN_S = 2.0
PROBE_INTERVAL_S = 1.0
# While the store is away, so that its return is noticed soon.
PROBE_RETRY_S = 0.25
RETRY_PAUSE_S = 0.15
# Share of the store's rates that one process may use; the others need theirs.
BUDGET_SHARE = 0.25
# Every answer counts as a sign of life for this long.
CONTACT_FRESH_S = 1.5


class MetadataClient:
    """Calls the store, keeps what is known of its state, and settles lost answers.

    Attributes
    ----------
    available : asyncio.Event
        Set while the store answers this process.
    last_contact : float
        Loop time of the last answer that was not a refusal.
    regained_at : float
        Loop time at which the store answered again after it had been away.
    calls : dict of str to int
        Calls by kind of call.
    """

    def __init__(self, address: str, writes_per_s: float, reads_per_s: float):
        self.address = address
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=4)
        self.writes = CallBudget(writes_per_s * BUDGET_SHARE)
        self.reads = CallBudget(reads_per_s * BUDGET_SHARE)
        self.call_timeout_s = CALL_TIMEOUT_S
        self.available = asyncio.Event()
        self.failed = asyncio.Event()
        self.last_contact = float("-inf")
        self.regained_at = float("-inf")
        self.was_lost = False
        self.watches: set[ClientConnection] = set()
        self.calls: dict[str, int] = {}
        self.random = random.Random()

    def configure(self, address: str, writes_per_s: float, reads_per_s: float) -> None:
        """Use another address or other rates from the next call on."""
        self.address = address
        self.writes.set_rate(writes_per_s * BUDGET_SHARE)
        self.reads.set_rate(reads_per_s * BUDGET_SHARE)

    def contact_age_s(self) -> float:
        """Return the seconds since the last answer."""
        return asyncio.get_running_loop().time() - self.last_contact

    def in_contact(self) -> bool:
        """Return whether the store has answered recently."""
        return self.available.is_set() and self.contact_age_s() < 2 * CONTACT_FRESH_S

    # Reading

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none.

        Raises
        ------
        Unavailable
            If the store did not answer.
        """
        try:
            body = await self.call("get", wire.get_call(kind, name))
        except NotFound:
            return None
        return self.decoded(wire.decode_object_answer, kind, body)

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision to watch from.

        The revision is that of the first part, so that changes between the parts are seen again.
        """
        objects: list[StoredObject] = []
        revision: int | None = None
        after: str | None = None
        while True:
            body = await self.call("list", wire.list_call(kind, after))
            page, problems = self.decoded(wire.decode_page_answer, kind, body)
            self.log_unreadable(kind, problems)
            objects.extend(page.objects)
            if revision is None:
                revision = page.revision
            if page.next_after is None:
                return objects, revision
            after = page.next_after

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Wait for changes after a revision.

        Raises
        ------
        HistoryGone
            If that history is no longer kept.
        Unavailable
            If the store did not answer.
        """
        call = wire.watch_call(kind, revision, wait_s)
        body = await self.call("watch", call, wait_s + WATCH_MARGIN_S)
        page, problems = self.decoded(wire.decode_watch_answer, kind, body)
        self.log_unreadable(kind, problems)
        return page

    # Writing

    async def create(
        self, kind: str, name: str, spec: Any, give_up_at: float = float("inf")
    ) -> StoredObject:
        """Create an object; a lost answer is settled by trying again.

        Parameters
        ----------
        spec : any
            Must differ from what any other process would write under the name.
        give_up_at : float
            Loop time after which no further try is made.

        Raises
        ------
        Conflict
            If another object has the name.
        OutcomeUnknown
            If it is not known whether the object exists, or will.
        Unavailable
            If it does not exist and will not.
        """
        return await self.settle(
            wire.create_call(kind, name, spec), kind, name, spec, None, give_up_at
        )

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: int,
        give_up_at: float = float("inf"),
    ) -> StoredObject:
        """Replace an object's spec if its revision is the one given."""
        call = wire.replace_call(kind, name, spec, revision)
        return await self.settle(call, kind, name, spec, None, give_up_at)

    async def set_status(
        self,
        kind: str,
        name: str,
        status: Any,
        revision: int,
        give_up_at: float = float("inf"),
    ) -> StoredObject:
        """Replace an object's status if its revision is the one given."""
        call = wire.status_call(kind, name, status, revision)
        return await self.settle(call, kind, name, None, status, give_up_at)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; there may be none."""
        with contextlib.suppress(NotFound):
            await self.call("delete", wire.delete_call(kind, name))

    async def settle(
        self,
        call: wire.StoreCall,
        kind: str,
        name: str,
        spec: Any,
        status: Any,
        give_up_at: float,
    ) -> StoredObject:
        """Repeat a conditional write until its outcome is known.

        The condition lets one of the repeated writes take effect at most. A conflict with an
        object that holds what was to be written means that an earlier try took effect.
        """
        loop = asyncio.get_running_loop()
        unknown = False
        while True:
            try:
                body = await self.call("write", call)
                return self.decoded(wire.decode_object_answer, kind, body)
            except Conflict as conflict:
                current = conflict.current or await self.get_for_conflict(kind, name, give_up_at)
                written = current is not None and (
                    current.spec == spec if status is None else current.status == status
                )
                if written:
                    return current
                raise Conflict(str(conflict), current) from conflict
            except OutcomeUnknown:
                unknown = True
            except Unavailable as error:
                if loop.time() >= give_up_at and not unknown:
                    raise
                if unknown and loop.time() >= give_up_at:
                    raise OutcomeUnknown(str(error)) from error
            if unknown and loop.time() >= give_up_at:
                raise OutcomeUnknown(f"{kind}/{name}: no answer")
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))

    async def get_for_conflict(
        self, kind: str, name: str, give_up_at: float
    ) -> StoredObject | None:
        """Read the object that a write conflicts with."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await self.get(kind, name)
            except Unavailable as error:
                if loop.time() >= give_up_at:
                    raise OutcomeUnknown(str(error)) from error
                await asyncio.sleep(RETRY_PAUSE_S)

    # Calls

    async def call(
        self, purpose: str, call: wire.StoreCall, timeout_s: float | None = None
    ) -> bytes:
        """Make one call and return the body of its answer."""
        loop = asyncio.get_running_loop()
        budget = self.writes if call.writes else self.reads
        delay_s = budget.delay_s(loop.time())
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        try:
            connection = await self.pool.acquire(self.address)
        except ConnectFailed as error:
            self.note_failure()
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
                self.note_failure()
            failure = OutcomeUnknown if call.writes else Unavailable
            raise failure(f"{call.method} {call.target}: {error or 'timed out'}") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self.watches.discard(connection)
        self.pool.release(connection)
        return self.checked(call, head.status, body)

    def checked(self, call: wire.StoreCall, status: int, body: bytes) -> bytes:
        """Return the body of a successful answer, or raise what the status means."""
        place = f"{call.method} {call.target}"
        if status in (429, 503):
            self.note_failure()
            raise Unavailable(f"{place}: status {status}")
        self.last_contact = asyncio.get_running_loop().time()
        if 200 <= status < 300:
            return body
        if status == 404:
            raise NotFound(place)
        if status == 410:
            raise HistoryGone(place)
        if status == 409:
            raise Conflict(place, self.conflicting(body))
        raise MetadataError(f"{place}: status {status} {body[:200]!r}")

    def conflicting(self, body: bytes) -> StoredObject | None:
        """Return the object in a conflict's answer, if there is one."""
        try:
            return wire.decode_object_answer("", body)
        except DecodeError:
            return None

    def decoded(self, decode, kind: str, body: bytes):
        """Return a decoded answer; one that cannot be read counts as none."""
        try:
            return decode(kind, body)
        except DecodeError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=kind, problem=str(error))
            raise Unavailable(f"{kind}: {error}") from error

    def log_unreadable(self, kind: str, problems: list[DecodeError]) -> None:
        """Log objects that were left out."""
        for problem in problems:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=kind, problem=str(problem))

    # State of the store

    def note_failure(self) -> None:
        """Ask for an early probe."""
        self.failed.set()

    async def monitor(self) -> None:
        """Probe the store all the time, and tell when it is lost and regained.

        The probe takes the cheapest call. Watches wait for long, so only a probe shows in time
        that the store no longer answers.
        """
        while True:
            answered = await self.probe()
            if answered and not self.available.is_set():
                self.regain()
            elif not answered and self.available.is_set():
                self.lose()
            self.failed.clear()
            if not self.available.is_set():
                await asyncio.sleep(PROBE_RETRY_S * (0.5 + self.random.random()))
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self.failed.wait()
                    await asyncio.sleep(RETRY_PAUSE_S)

    async def probe(self) -> bool:
        """Return whether the store answers."""
        try:
            await self.call("probe", wire.probe_call())
        except NotFound:
            return True
        except MetadataError:
            return False
        return True

    def regain(self) -> None:
        """Let the callers go on, with new watches: the former ones may hang."""
        self.available.set()
        if not self.was_lost:
            return
        self.regained_at = asyncio.get_running_loop().time()
        log_event(events.DEPENDENCY_REGAINED, dependency="metadata store", address=self.address)
        for connection in list(self.watches):
            connection.close()

    def lose(self) -> None:
        """Hold the mirrors until the store answers again."""
        self.available.clear()
        self.was_lost = True
        log_event(
            events.DEPENDENCY_LOST,
            dependency="metadata store",
            address=self.address,
            age_s=round(self.contact_age_s(), 3),
        )

    def close(self) -> None:
        """Close the kept connections."""
        self.pool.close()
