"""A local copy of all objects of a kind."""

import asyncio
import random
from collections import deque
from typing import Protocol

import attrs

from turmericreach.metadata.objects import (
    HistoryGone,
    MetadataError,
    ObjectChange,
    StoredObject,
    WatchPage,
)
from turmericreach.telemetry import events, log_event, node_events

__all__ = ["KindMirror", "MirrorListener", "WatchSource"]

RETRY_PAUSE_S = 0.1
# A change that another process has seen reaches a sound watch within this time.
MISSED_CHANGE_S = 0.3
# Changes kept for processes that follow this mirror.
HISTORY_CHANGES = 2000


class MirrorListener(Protocol):
    """Takes the changes of a kind."""

    def object_changed(self, object: StoredObject) -> None:
        """Take a new or changed object."""

    def object_removed(self, object: StoredObject) -> None:
        """Take the removal of an object."""


class WatchSource(Protocol):
    """Where a mirror gets its objects from."""

    available: asyncio.Event

    async def list_all(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects and the revision to watch from."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision as soon as there are any."""


@attrs.frozen
class KnownChange:
    """A change, and a store revision at which it had happened."""

    revision: int
    change: ObjectChange


class KindMirror:
    """Follows a kind: a list first, then watches, and a new list when history is gone.

    Attributes
    ----------
    objects : dict of str to StoredObject
        Objects by name.
    synced : asyncio.Event
        Set once the first list is complete.
    confirmed_at : float
        Loop time at which the copy was last known to be current.
    last_change : int
        Revision of the newest change seen.
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
        self.last_change = 0
        self.watch: asyncio.Task | None = None
        self.missed_since: float | None = None
        self.history: deque[KnownChange] = deque(maxlen=HISTORY_CHANGES)
        self.history_from = 0
        self.changed = asyncio.Event()
        self.random = random.Random()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            await self.source.available.wait()
            try:
                if self.revision is None:
                    await self.relist()
                else:
                    await self.follow()
            except HistoryGone:
                log_event(events.WATCH_EXPIRED, kind=self.kind, revision=self.revision)
                self.revision = None
            except MetadataError:
                # The client logs a store that is away; the mirror tries again until it answers.
                await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.random()))

    async def relist(self) -> None:
        """Read all objects and report the differences."""
        objects, revision = await self.source.list_all(self.kind)
        present = {object.name for object in objects}
        for name in [name for name in self.objects if name not in present]:
            self.take_removal(self.objects[name], revision)
        for object in objects:
            self.take(object)
        if not self.synced.is_set():
            self.history_from = revision
        self.revision = revision
        self.confirm()

    async def follow(self) -> None:
        """Wait for changes once."""
        loop = asyncio.get_running_loop()
        self.watch = loop.create_task(self.source.watch(self.kind, self.revision, self.wait_s))
        try:
            await asyncio.wait({self.watch})
        finally:
            self.watch.cancel()
        if self.watch.cancelled():
            return
        page = self.watch.result()
        for change in page.changes:
            if change.removed:
                self.take_removal(change.object, page.revision)
            else:
                self.take(change.object)
        self.revision = max(page.revision, self.revision)
        self.confirm()

    def restart_watch(self) -> None:
        """Ask anew instead of waiting for the present answer."""
        if self.watch is not None:
            self.watch.cancel()

    def note_change_elsewhere(self, revision: int) -> None:
        """Take the revision of a change that another process has seen.

        A watch that does not tell it soon is deaf, and is asked anew.
        """
        up_to_date = self.revision is None or revision <= self.revision
        if up_to_date or not self.source.available.is_set():
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

    def take(self, object: StoredObject) -> None:
        """Take an object unless a newer state of it is known."""
        self.last_change = max(self.last_change, object.revision)
        known = self.objects.get(object.name)
        if known is not None and known.revision >= object.revision:
            return
        self.objects[object.name] = object
        self.record(object.revision, ObjectChange(object, removed=False))
        self.listener.object_changed(object)

    def take_removal(self, object: StoredObject, revision: int) -> None:
        """Take a removal unless the object has been created anew since."""
        self.last_change = max(self.last_change, object.revision)
        known = self.objects.get(object.name)
        if known is None or known.revision > object.revision:
            return
        del self.objects[object.name]
        self.record(revision, ObjectChange(known, removed=True))
        self.listener.object_removed(known)

    def confirm(self) -> None:
        """Note that the copy is current."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self.synced.set()

    # For processes that follow this mirror

    def record(self, revision: int, change: ObjectChange) -> None:
        """Keep a change for followers."""
        if len(self.history) == self.history.maxlen:
            self.history_from = max(self.history_from, self.history[0].revision)
        self.history.append(KnownChange(revision, change))
        self.changed.set()
        self.changed = asyncio.Event()

    def age_s(self) -> float:
        """Return the seconds since the copy was known to be current."""
        return asyncio.get_running_loop().time() - self.confirmed_at

    async def page_after(self, revision: int, wait_s: float) -> WatchPage:
        """Return the changes after a revision as a watch does.

        Raises
        ------
        HistoryGone
            If the changes are no longer known.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + wait_s
        while True:
            if self.revision is None or revision < self.history_from:
                raise HistoryGone(self.kind)
            found = [known.change for known in self.history if known.revision > revision]
            left_s = give_up_at - loop.time()
            if found or left_s <= 0:
                return WatchPage(found, max(self.revision, revision))
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
