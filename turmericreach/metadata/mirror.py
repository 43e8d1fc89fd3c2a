"""A local copy of all objects of a kind."""

import asyncio
import random
from typing import Protocol

from turmericreach.metadata.client import MetadataClient
from turmericreach.metadata.objects import HistoryGone, MetadataError, StoredObject
from turmericreach.telemetry import events, log_event, node_events

__all__ = ["KindMirror", "MirrorListener"]

# A waiting watch is repeated after this long.
WATCH_WAIT_S = 20.0
# A change that another process has seen reaches a sound watch within this time.
MISSED_CHANGE_S = 0.3
RETRY_PAUSE_S = 0.1


class MirrorListener(Protocol):
    """Takes the changes of a kind."""

    def object_changed(self, object: StoredObject) -> None:
        """Take a new or changed object."""

    def object_removed(self, object: StoredObject) -> None:
        """Take the removal of an object."""


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

    def __init__(self, client: MetadataClient, kind: str, listener: MirrorListener):
        self.client = client
        self.kind = kind
        self.listener = listener
        self.objects: dict[str, StoredObject] = {}
        self.synced = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.revision: int | None = None
        self.last_change = 0
        self.watch: asyncio.Task | None = None
        self.missed_since: float | None = None
        self.random = random.Random()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            await self.client.available.wait()
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
        objects, revision = await self.client.list_all(self.kind)
        present = {object.name for object in objects}
        for name in [name for name in self.objects if name not in present]:
            self.take_removal(self.objects[name])
        for object in objects:
            self.take(object)
        self.revision = revision
        self.confirm()

    def note_change_elsewhere(self, revision: int) -> None:
        """Take the revision of a change that another process has seen.

        A watch that does not tell it soon is deaf, and is asked anew.
        """
        if self.revision is None or revision <= self.revision:
            self.missed_since = None
            return
        now = asyncio.get_running_loop().time()
        if self.missed_since is None:
            self.missed_since = now
        elif now - self.missed_since >= MISSED_CHANGE_S and self.watch is not None:
            log_event(
                node_events.WATCH_DEAF,
                kind=self.kind,
                revision=self.revision,
                change=revision,
                silent_s=round(now - self.confirmed_at, 3),
            )
            self.missed_since = None
            self.watch.cancel()

    async def follow(self) -> None:
        """Wait for changes once."""
        loop = asyncio.get_running_loop()
        self.watch = loop.create_task(self.client.watch(self.kind, self.revision, WATCH_WAIT_S))
        try:
            await asyncio.wait({self.watch})
        finally:
            self.watch.cancel()
        if self.watch.cancelled():
            return
        page = self.watch.result()
        for change in page.changes:
            if change.removed:
                self.take_removal(change.object)
            else:
                self.take(change.object)
        self.revision = max(page.revision, self.revision)
        self.confirm()

    def take(self, object: StoredObject) -> None:
        """Take an object unless a newer state of it is known."""
        self.last_change = max(self.last_change, object.revision)
        known = self.objects.get(object.name)
        if known is not None and known.revision >= object.revision:
            return
        self.objects[object.name] = object
        self.listener.object_changed(object)

    def take_removal(self, object: StoredObject) -> None:
        """Take a removal unless the object has been created anew since."""
        self.last_change = max(self.last_change, object.revision)
        known = self.objects.get(object.name)
        if known is None or known.revision > object.revision:
            return
        del self.objects[object.name]
        self.listener.object_removed(known)

    def confirm(self) -> None:
        """Note that the copy is current."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self.synced.set()
