"""Bounds on the texts that engines generate for the items of lots."""

import sys
from collections.abc import Callable, Iterable

import msgspec

from turmericreach.batches.items import ItemPhase, ItemState
from turmericreach.batches.model import BatchItem, Progress
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["TEXT_MEMORY_SHARE", "TextMemory", "encoded_bytes", "held_bytes", "max_text_bytes"]

# Largest text of an item, encoded: it is listed in one object of the metadata store.
MAX_TEXT_BYTES = 500_000
# Texts of this size are allowed however few tokens an item has.
MIN_TEXT_BYTES = 65_536
# Far above the mean size of the tokens of a text.
MAX_BYTES_PER_TOKEN = 32
# Share of a process's memory for the texts of all items that are not listed.
TEXT_MEMORY_SHARE = 0.125
# The texts are measured each time this much has been added to them.
CHECK_BYTES = 1 << 20
# Size of a reference to an event.
REFERENCE_BYTES = 8


def encoded_bytes(text: str) -> int:
    """Return the size of a text in a JSON document, in bytes."""
    return len(msgspec.json.encode(text))


def held_bytes(progress: Progress) -> int:
    """Return the memory that the events of a text take, in bytes."""
    return sum(map(sys.getsizeof, progress.events)) + REFERENCE_BYTES * len(progress.events)


def max_text_bytes(item: BatchItem) -> int:
    """Return the largest encoded size of an item's text, in bytes."""
    if item.tokens <= 0:
        return MAX_TEXT_BYTES
    return min(max(MIN_TEXT_BYTES, item.tokens * MAX_BYTES_PER_TOKEN), MAX_TEXT_BYTES)


class TextMemory:
    """Bounds the memory that the texts of all unlisted items of a process take together.

    Load pattern: targets in trouble send streams without end to many items at once. When the texts
    exceed the limit, the longest ones are discarded, so that those of usual length are kept. The
    run of an item whose text is discarded ends at its next event, which does not follow the text,
    or at the end of the response.

    Parameters
    ----------
    limit_bytes : int
        Largest memory of the texts.
    states : callable
        Returns the states of the items whose texts count.

    Attributes
    ----------
    unmeasured_bytes : int
        Size of what was added since the texts were last measured.
    """

    def __init__(self, limit_bytes: int, states: Callable[[], Iterable[ItemState]]):
        self.limit_bytes = limit_bytes
        self.states = states
        self.unmeasured_bytes = 0

    def add(self, event: str) -> None:
        """Count an event that was added to a text, and measure all texts now and then."""
        self.unmeasured_bytes += sys.getsizeof(event) + REFERENCE_BYTES
        if self.unmeasured_bytes < min(CHECK_BYTES, self.limit_bytes):
            return
        self.unmeasured_bytes = 0
        self.discard_longest()

    def discard_longest(self) -> None:
        """Discard the longest texts while all of them together exceed the limit."""
        total = 0
        sizes: list[tuple[int, ItemState]] = []
        for state in self.states():
            if state.phase is ItemPhase.LISTED:
                continue
            size = held_bytes(state.newest_text())
            total += size
            if state.phase in (ItemPhase.WAITING, ItemPhase.RUNNING):
                sizes.append((size, state))
        if total <= self.limit_bytes:
            return
        sizes.sort(key=lambda entry: entry[0], reverse=True)
        for size, state in sizes:
            if total <= self.limit_bytes or not size:
                return
            state.newest_text().clear()
            total -= size
            log_event(
                events.ITEM_TEXT_DISCARDED,
                item=state.item.id,
                target=state.target,
                size=size,
                limit=self.limit_bytes,
            )
