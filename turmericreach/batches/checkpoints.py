"""Copies of long texts in the metadata store, from which a lot resumes after the loss of its owner.

A note on the design is in `docs/design/checkpoints.md`.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs
import msgspec

from turmericreach.batches.model import Progress
from turmericreach.batches.text_memory import encoded_bytes
from turmericreach.coordination.names import CHECKPOINTS_KIND
from turmericreach.metadata import Conflict, MetadataClient, MetadataError
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CheckpointStore", "select_texts"]

CHECK_INTERVAL_S = 0.5
# Interval of the writes of a lot. A loss of the owner costs at most this much generation.
WRITE_INTERVAL_S = 2.0
WRITE_TIMEOUT_S = 1.0
# Shorter texts are generated again in about the time that a takeover takes.
MIN_EVENTS = 40
# New events of all items together for which a write is made.
MIN_NEW_EVENTS = 20
# Below the size limit of an object in the store, with room for the envelope of the texts.
MAX_BYTES = 400_000


@attrs.frozen
class Checkpoint:
    """Stored texts of a lot.

    Attributes
    ----------
    texts : dict of str to Progress
        Text by item.
    """

    texts: dict[str, Progress]


class CheckpointSwitch(Protocol):
    """Tells whether texts are saved."""

    def is_on(self) -> bool:
        """Return whether texts are saved."""

    def may_be_on(self) -> bool:
        """Return whether texts may have been saved, as far as this process knows yet."""


def select_texts(progress: Mapping[str, Progress], saved: Mapping[str, int]) -> dict[str, Progress]:
    """Return the texts that are worth a write, none if little was generated since the last one.

    Load pattern: all gateways are killed at once while lots run. The short items of a lot are
    listed by then, and the few long ones, for which its trainer waits, have been generated for
    seconds; from the start they would end after the trainer has given up. The longest texts are
    saved first, as far as they fit into one object.

    Parameters
    ----------
    progress : dict of str to Progress
        Text so far by item, for items that are not listed.
    saved : dict of str to int
        Number of events in the last write, by item.
    """
    found = {}
    size, new_events = 0, 0
    for item in sorted(progress, key=lambda name: -len(progress[name].events)):
        text = progress[item]
        if len(text.events) < MIN_EVENTS:
            break
        size += sum(map(encoded_bytes, text.events))
        if size > MAX_BYTES:
            break
        found[item] = text
        new_events += len(text.events) - saved.get(item, 0)
    return found if new_events >= MIN_NEW_EVENTS else {}


class CheckpointStore:
    """Saves the long texts of one lot, and reads those that an earlier owner has saved.

    A checkpoint only saves time: it is never needed, so a failed write is not repeated.

    Attributes
    ----------
    switch : CheckpointSwitch
        Tells whether texts are saved.
    revision : int or None
        Revision of the stored object, None if none is known.
    saved : dict of str to int
        Number of events in the last write, by item.
    """

    def __init__(self, client: MetadataClient, lot: str, switch: CheckpointSwitch):
        self.client = client
        self.lot = lot
        self.switch = switch
        self.revision: int | None = None
        self.saved: dict[str, int] = {}

    async def load(self) -> dict[str, Progress]:
        """Return the saved texts by item, none if there are none or the store is unavailable."""
        try:
            object = await self.client.get(CHECKPOINTS_KIND, self.lot)
        except MetadataError:
            # The client logs that the store is unavailable.
            return {}
        if object is None:
            return {}
        self.revision = object.revision
        try:
            texts = msgspec.convert(object.spec, Checkpoint).texts
        except msgspec.ValidationError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=CHECKPOINTS_KIND, problem=str(error))
            return {}
        self.saved = {item: len(text.events) for item, text in texts.items()}
        log_event(
            events.CHECKPOINT_READ, lot=self.lot, items=len(texts), events=sum(self.saved.values())
        )
        return texts

    async def run(self, progress: Callable[[], Mapping[str, Progress]]) -> None:
        """Save the long texts periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        written_at = loop.time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.switch.is_on() or loop.time() - written_at < WRITE_INTERVAL_S:
                continue
            if not self.client.responded_recently():
                continue
            texts = select_texts(progress(), self.saved)
            if texts:
                written_at = loop.time()
                await self.save(texts)

    async def save(self, texts: Mapping[str, Progress]) -> None:
        """Write texts in place of those saved before."""
        counts = {item: len(text.events) for item, text in texts.items()}
        spec = msgspec.to_builtins(Checkpoint(dict(texts)))
        deadline = asyncio.get_running_loop().time() + WRITE_TIMEOUT_S
        try:
            if self.revision is None:
                object = await self.client.create(CHECKPOINTS_KIND, self.lot, spec, deadline)
            else:
                object = await self.client.replace(
                    CHECKPOINTS_KIND, self.lot, spec, self.revision, deadline
                )
        except Conflict as conflict:
            # Another owner has saved texts; the next write replaces them.
            self.revision = None if conflict.current is None else conflict.current.revision
            return
        except MetadataError:
            # The client logs that the store is unavailable.
            return
        self.revision = object.revision
        self.saved = counts
        log_event(
            events.CHECKPOINT_SAVED, lot=self.lot, items=len(texts), events=sum(counts.values())
        )
