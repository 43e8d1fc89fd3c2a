"""Prompt-prefix cache with limited entries, and its late and incomplete events."""

import random
from collections import OrderedDict, deque

import attrs
import xxhash

__all__ = ["CacheEvent", "PrefixCache"]

# Words in one block; only whole blocks are cached.
BLOCK_WORDS = 16
KEPT_EVENTS = 10_000


@attrs.frozen
class CacheEvent:
    """A block that was stored or removed; `hash` names the prefix that it ends."""

    seq: int
    type: str
    hash: str
    tokens: int
    at: float


class PrefixCache:
    """Blocks of prompt prefixes, with the least recently used block leaving first.

    Parameters
    ----------
    entries : int
        Number of blocks held.
    event_gap : float
        Share of events that are never published.
    seed : int
        Seed of the choice of unpublished events.
    """

    def __init__(self, entries, event_gap=0.0, seed=0):
        self.entries = entries
        self.event_gap = event_gap
        self.random = random.Random(seed)
        self.blocks = OrderedDict()
        self.events = deque(maxlen=KEPT_EVENTS)
        self.seq = 0

    def prefixes(self, prompt):
        """Return the hashes of the prefixes of a prompt that end at a block's end."""
        words = prompt.split()
        state = xxhash.xxh64()
        found = []
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            state.update((" ".join(words[start : start + BLOCK_WORDS]) + "\0").encode())
            found.append(state.hexdigest())
        return found

    def use(self, prompt, now):
        """Return how many prompt tokens are cached, and cache the whole prompt."""
        cached = 0
        hit = True
        for prefix in self.prefixes(prompt):
            hit = hit and prefix in self.blocks
            if hit:
                cached += BLOCK_WORDS
            self.store(prefix, now)
        return cached

    def store(self, prefix, now):
        """Store a block, or mark it as used."""
        if self.entries <= 0:
            return
        if prefix not in self.blocks:
            self.add_event("stored", prefix, now)
        self.blocks[prefix] = True
        self.blocks.move_to_end(prefix)
        while len(self.blocks) > self.entries:
            self.add_event("removed", self.blocks.popitem(last=False)[0], now)

    def add_event(self, change, prefix, now):
        """Give an event its number, and keep it unless it falls into a gap."""
        self.seq += 1
        if self.random.random() >= self.event_gap:
            self.events.append(CacheEvent(self.seq, change, prefix, BLOCK_WORDS, now))

    def events_since(self, since, now, lag_s):
        """Return the events after the number `since` that are at least `lag_s` old."""
        return [event for event in self.events if event.seq > since and event.at <= now - lag_s]
