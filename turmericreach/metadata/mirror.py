"""Local mirror of all objects of a kind."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec

from turmericreach.metadata.objects import (
    HistoryGone,
    MetadataError,
    ObjectChange,
    StoredObject,
    WatchPage,
)
from turmericreach.telemetry import events, log_event, node_events
from turmericreach.telemetry.unexpected import log_unexpected

__all__ = ["KindMirror", "MirrorListener", "WatchSource"]

RETRY_PAUSE_S = 0.1
# Interval of the checks whether a delayed watch may start earlier.
DELAY_CHECK_S = 0.05
# A working watch reports a change within this time after another process has seen it.
MISSED_CHANGE_S = 0.3
# Number of changes kept for processes that watch this mirror instead of the store.
HISTORY_CHANGES = 2000
# Encoded size of these changes.
HISTORY_BYTES = 8 << 20


class MirrorListener(Protocol):
    """Receives the changes of a kind."""

    def object_changed(self, object: StoredObject) -> None:
        """Handle a new or changed object."""

    def object_removed(self, object: StoredObject) -> None:
        """Handle the removal of an object."""


class Availability(Protocol):
    """Whether a source responds, such as an `asyncio.Event`."""

    def is_set(self) -> bool:
        """Return whether it responds."""

    async def wait(self) -> None:
        """Wait until it responds."""


class WatchSource(Protocol):
    """Source of the objects of a mirror: the store, or a mirror of another process.

    Attributes
    ----------
    available : Availability
        Set while the source responds.
    """

    available: Availability

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects and the revision to watch from."""

    def watch_delay_s(self, kind: str) -> float:
        """Return the seconds to wait before the next watch of a kind."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision, waiting up to `wait_s` seconds for the first."""


@attrs.frozen
class RecordedChange:
    """A change in the history of a mirror.

    Attributes
    ----------
    revision : int
        Store revision at or before which the change took place.
    change : ObjectChange
        The change.
    size : int
        Encoded size of the change in bytes.
    """

    revision: int
    change: ObjectChange
    size: int


class KindMirror:
    """Mirrors a kind with a list and then watches; lists again when the history has expired.

    Parameters
    ----------
    source : WatchSource
        Where the objects are read from.
    kind : str
        Kind to mirror.
    listener : MirrorListener
        Receives each change.
    wait_s : float
        Longest time that one watch waits for a change.

    Attributes
    ----------
    objects : dict of str to StoredObject
        Objects by name.
    synced : asyncio.Event
        Set once the first list is complete.
    confirmed_at : float
        Loop time at which the mirror was last known to be current.
    revision : int or None
        Store revision to watch from, or None if a list is needed first.
    newest_revision : int
        Highest revision of an object seen.
    history : deque of RecordedChange
        Latest changes, for processes that watch this mirror.
    history_bytes : int
        Encoded size of `history`.
    history_start_revision : int
        Lowest revision after which `history` holds all changes.
    """

    def __init__(self, source: WatchSource, kind: str, listener: MirrorListener, wait_s: float):
        self.source = source
        self.kind = kind
        self.listener = listener
        self.wait_s = wait_s
        self.objects: dict[str, StoredObject] = {}
        self.synced = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.revision: int | None = None
        self.newest_revision = 0
        self.watch_task: asyncio.Task | None = None
        self.missed_since: float | None = None
        self.history: deque[RecordedChange] = deque()
        self.history_bytes = 0
        self.history_start_revision = 0
        self.changed = asyncio.Event()
        self.random = random.Random()

    async def run(self) -> None:
        """Keep the mirror current until cancelled."""
        while True:
            await self.source.available.wait()
            try:
                if self.revision is None:
                    await self.relist()
                    continue
                delay_s = self.source.watch_delay_s(self.kind)
                if delay_s > 0:
                    await asyncio.sleep(min(delay_s, DELAY_CHECK_S))
                    continue
                await self.watch_once()
            except HistoryGone:
                log_event(events.WATCH_EXPIRED, kind=self.kind, revision=self.revision)
                self.revision = None
            except MetadataError:
                # The client logs an unavailable store; the mirror retries until it responds.
                await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))

    async def relist(self) -> None:
        """Read all objects and apply the differences."""
        objects, revision = await self.source.list_all(self.kind)
        present = {object.name for object in objects}
        for name in [name for name in self.objects if name not in present]:
            self.apply_removal(self.objects[name], revision)
        for object in objects:
            self.apply_object(object)
        if not self.synced.is_set():
            self.history_start_revision = revision
        self.revision = revision
        self.confirm_current()

    async def watch_once(self) -> None:
        """Make one watch call and apply its changes."""
        loop = asyncio.get_running_loop()
        self.watch_task = loop.create_task(self.source.watch(self.kind, self.revision, self.wait_s))
        try:
            await asyncio.wait({self.watch_task})
        finally:
            self.watch_task.cancel()
        if self.watch_task.cancelled():
            return
        page = self.watch_task.result()
        for change in page.changes:
            if change.removed:
                self.apply_removal(change.object, page.revision)
            else:
                self.apply_object(change.object)
        self.revision = max(page.revision, self.revision)
        self.confirm_current()

    def restart_watch(self) -> None:
        """Cancel the watch in progress; `run` starts a new one."""
        if self.watch_task is not None:
            self.watch_task.cancel()

    def check_for_missed_change(self, revision: int) -> None:
        """Restart the watch if it has not reported a change that another process has seen.

        Such a watch is stalled: it neither responds nor ends. The watch gets `MISSED_CHANGE_S` from
        the first call with an unseen revision to report the change.

        Parameters
        ----------
        revision : int
            Revision of the newest change that the other process has seen.
        """
        up_to_date = self.revision is None or revision <= self.revision
        watching = self.watch_task is not None and not self.watch_task.done()
        if up_to_date or not watching or not self.source.available.is_set():
            self.missed_since = None
            return
        now = asyncio.get_running_loop().time()
        if self.missed_since is None:
            self.missed_since = now
        elif now - self.missed_since >= MISSED_CHANGE_S:
            log_event(
                node_events.WATCH_DEAF,
                kind=self.kind,
                revision=self.revision,
                change=revision,
                silent_s=round(now - self.confirmed_at, 3),
            )
            self.missed_since = None
            self.restart_watch()

    def apply_object(self, object: StoredObject) -> None:
        """Apply a state of an object unless the known one is as new."""
        self.newest_revision = max(self.newest_revision, object.revision)
        known = self.objects.get(object.name)
        if known is not None and known.revision >= object.revision:
            return
        self.objects[object.name] = object
        self.record_change(object.revision, ObjectChange(object, removed=False))
        self.notify(self.listener.object_changed, object)

    def apply_removal(self, object: StoredObject, revision: int) -> None:
        """Apply a removal unless the object has been created again since."""
        self.newest_revision = max(self.newest_revision, object.revision)
        known = self.objects.get(object.name)
        if known is None or known.revision > object.revision:
            return
        del self.objects[object.name]
        self.record_change(revision, ObjectChange(known, removed=True))
        self.notify(self.listener.object_removed, known)

    def notify(self, apply: Callable[[StoredObject], None], object: StoredObject) -> None:
        """Pass a change to the listener; an unexpected error ends this change alone."""
        try:
            apply(object)
        except Exception as error:
            log_unexpected("mirror", f"{self.kind}/{object.name}", error)

    def confirm_current(self) -> None:
        """Record that the mirror is current."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self.synced.set()

    # For processes that watch this mirror

    def record_change(self, revision: int, change: ObjectChange) -> None:
        """Add a change to the history and wake the waiting watches."""
        recorded = RecordedChange(revision, change, len(msgspec.json.encode(change)))
        self.history.append(recorded)
        self.history_bytes += recorded.size
        while len(self.history) > HISTORY_CHANGES or self.history_bytes > HISTORY_BYTES:
            oldest = self.history.popleft()
            self.history_bytes -= oldest.size
            self.history_start_revision = max(self.history_start_revision, oldest.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def age_s(self) -> float:
        """Return the seconds since the mirror was last known to be current."""
        return asyncio.get_running_loop().time() - self.confirmed_at

    async def page_after(self, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision, waiting up to `wait_s` seconds for the first.

        Raises
        ------
        HistoryGone
            If the history no longer holds all of these changes.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if self.revision is None or revision < self.history_start_revision:
                raise HistoryGone(self.kind)
            found = [entry.change for entry in self.history if entry.revision > revision]
            remaining_s = deadline - loop.time()
            if found or remaining_s <= 0:
                return WatchPage(found, max(self.revision, revision))
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
