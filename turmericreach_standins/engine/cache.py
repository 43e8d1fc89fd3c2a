"""Prompt-prefix cache of limited size, and its events, which are late and incomplete."""

import random
from collections import OrderedDict, deque

import attrs
import xxhash

__all__ = ["CacheEvent", "PrefixCache"]

# Words in one block; only whole blocks are cached.
BLOCK_WORDS = 16
MAX_EVENTS = 10_000


@attrs.frozen
class CacheEvent:
    """A block that was stored or removed.

    Attributes
    ----------
    seq : int
        Number of the event, from 1 on.
    type : str
        ``stored`` or ``removed``.
    hash : str
        Hash of the prompt prefix that ends with the block.
    tokens : int
        Tokens in the block.
    created_at : float
        Instant of the change in seconds.
    """

    seq: int
    type: str
    hash: str
    tokens: int
    created_at: float


class PrefixCache:
    """Blocks of prompt prefixes; the least recently used block is evicted first.

    Parameters
    ----------
    entries : int
        Largest number of blocks; 0 or less disables the cache.
    event_gap : float
        Fraction of the events, from 0 to 1, that are never published.
    seed : int
        Seed of the random choice of unpublished events.
    """

    def __init__(self, entries, event_gap=0.0, seed=0):
        self.entries = entries
        self.event_gap = event_gap
        self.random = random.Random(seed)
        self.blocks = OrderedDict()
        self.events = deque(maxlen=MAX_EVENTS)
        self.seq = 0

    def prefix_hashes(self, prompt):
        """Return the hashes of the prefixes of a prompt that end at a block boundary."""
        words = prompt.split()
        state = xxhash.xxh64()
        hashes = []
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            state.update((" ".join(words[start : start + BLOCK_WORDS]) + "\0").encode())
            hashes.append(state.hexdigest())
        return hashes

    def use_prompt(self, prompt, now):
        """Return the number of prompt tokens that are cached, and cache the whole prompt."""
        cached = 0
        hit = True
        for prefix in self.prefix_hashes(prompt):
            hit = hit and prefix in self.blocks
            if hit:
                cached += BLOCK_WORDS
            self.store(prefix, now)
        return cached

    def store(self, prefix, now):
        """Store a block or make it the most recently used, and evict blocks beyond the limit."""
        if self.entries <= 0:
            return
        if prefix not in self.blocks:
            self.add_event("stored", prefix, now)
        self.blocks[prefix] = True
        self.blocks.move_to_end(prefix)
        while len(self.blocks) > self.entries:
            self.add_event("removed", self.blocks.popitem(last=False)[0], now)

    def add_event(self, event_type, prefix, now):
        """Assign an event its number; publish it unless the random choice leaves it out."""
        self.seq += 1
        if self.random.random() >= self.event_gap:
            self.events.append(CacheEvent(self.seq, event_type, prefix, BLOCK_WORDS, now))

    def events_since(self, since, now, lag_s):
        """Return the events with a number above `since` that are at least `lag_s` seconds old."""
        return [
            event for event in self.events if event.seq > since and event.created_at <= now - lag_s
        ]
