"""One bound on the memory that a process holds for the peers on all its connections."""

from typing import Protocol

__all__ = [
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "REQUEST_BYTES",
    "MemoryBudget",
    "MemoryHolder",
    "budget_bytes",
]

# Cost of a header field beyond its bytes: two strings, a pair, and entries of a list and a dict.
# Measured with tracemalloc on CPython 3.11: 260 bytes for a short field that is not repeated.
FIELD_BYTES = 320
# Cost of a request without its fields and body, with the task and event that belong to it.
REQUEST_BYTES = 2048
# Cost of an open connection with its transport and parser. Measured: 4.8 KB.
CONNECTION_BYTES = 8192
# A gateway without load occupies 31 MB; the rest is for its targets, lots and cached texts.
PROCESS_BYTES = 64 << 20
# Part of the rest that may be held. The other part is for the state of the process, for copies
# while a body is completed, and for unused memory inside the allocator.
HELD_SHARE = 0.5
# Connections below this size may use the reserve, so that requests of usual size and calls of
# other gateways are served while large bodies fill the budget.
SMALL_BYTES = 32_768
RESERVE_SHARE = 0.25


class MemoryHolder(Protocol):
    """Connection that holds memory."""

    def is_idle(self) -> bool:
        """Return whether only an incomplete request or an unread response is held."""

    def is_pipelining(self) -> bool:
        """Return whether more is held than the request that is being handled."""

    def evict(self, reason: str) -> None:
        """Reject the request that is being received, or close the connection."""


def budget_bytes(memory_bytes: int) -> int:
    """Return the budget of a process with so much memory, without the reserve."""
    rest = max(memory_bytes - PROCESS_BYTES, memory_bytes // 8)
    return int(rest * HELD_SHARE)


class MemoryBudget:
    """Bounds the memory that all connections hold together.

    Load pattern: crowds of clients send bodies that never end, heads of thousands of fields, and
    pipelined requests whose responses they do not read. When the total exceeds the budget, the idle
    connection that holds the most is evicted. A connection whose request is being handled is
    evicted only for what it sent beyond that request.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes held together. Small connections may exceed it by a reserve.

    Attributes
    ----------
    held : dict of MemoryHolder to int
        Bytes held by each connection.
    held_bytes, peak_bytes : int
        Number of bytes held now, and the largest number that remained after evictions.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held: dict[MemoryHolder, int] = {}
        self.held_bytes = 0
        self.peak_bytes = 0

    def update(self, holder: MemoryHolder, size: int) -> None:
        """Set the number of bytes that a connection holds, and evict others if there are too many.

        Among equal holders this one is evicted, since its request is the newest.
        """
        before = self.held.get(holder, 0)
        if size > 0:
            self.held[holder] = size
        elif before:
            del self.held[holder]
        self.held_bytes += size - before
        if size > before and self.held_bytes > self.limit_bytes:
            self.make_room(holder)
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def make_room(self, newest: MemoryHolder) -> None:
        """Evict connections until the rest is within the budget."""
        while self.held_bytes > self.limit_bytes:
            victim = self.select_victim(newest)
            if victim is None:
                return
            self.held_bytes -= self.held.pop(victim)
            victim.evict("memory")

    def select_victim(self, newest: MemoryHolder) -> MemoryHolder | None:
        """Return the connection to evict, or None if the excess has to be accepted.

        An idle connection precedes one that pipelines requests. Connections that hold little are
        evicted only once the reserve is used up.
        """
        is_reserve_used = self.held_bytes > self.limit_bytes * (1 + RESERVE_SHARE)
        best: MemoryHolder | None = None
        best_rank = (False, 0, False)
        for holder, size in self.held.items():
            if size <= SMALL_BYTES and not is_reserve_used:
                continue
            is_idle = holder.is_idle()
            rank = (is_idle, size, holder is newest)
            if rank > best_rank and (is_idle or holder.is_pipelining()):
                best, best_rank = holder, rank
        return best
