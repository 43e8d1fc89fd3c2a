"""A local copy of all objects of a kind."""

import asyncio
import random
from typing import Protocol

from turmericreach.metadata.client import MetadataClient
from turmericreach.metadata.objects import HistoryGone, MetadataError, StoredObject
from turmericreach.telemetry import events, log_event

__all__ = ["KindMirror", "MirrorListener"]

# A waiting watch is repeated after this long.
WATCH_WAIT_S = 20.0
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
    """

    def __init__(self, client: MetadataClient, kind: str, listener: MirrorListener):
        self.client = client
        self.kind = kind
        self.listener = listener
        self.objects: dict[str, StoredObject] = {}
        self.synced = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.revision: int | None = None
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

    async def follow(self) -> None:
        """Wait for changes once."""
        page = await self.client.watch(self.kind, self.revision, WATCH_WAIT_S)
        for change in page.changes:
            if change.removed:
                self.take_removal(change.object)
            else:
                self.take(change.object)
        self.revision = max(page.revision, self.revision)
        self.confirm()

    def take(self, object: StoredObject) -> None:
        """Take an object unless a newer state of it is known."""
        known = self.objects.get(object.name)
        if known is not None and known.revision >= object.revision:
            return
        self.objects[object.name] = object
        self.listener.object_changed(object)

    def take_removal(self, object: StoredObject) -> None:
        """Take a removal unless the object has been created anew since."""
        known = self.objects.get(object.name)
        if known is None or known.revision > object.revision:
            return
        del self.objects[object.name]
        self.listener.object_removed(known)

    def confirm(self) -> None:
        """Note that the copy is current."""
        self.confirmed_at = asyncio.get_running_loop().time()
        self.synced.set()
