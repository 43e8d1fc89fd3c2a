"""Limits on the bytes that a connection accepts, and the memory that all of them share."""

from typing import Protocol

import attrs

from turmericreach.http1.memory_budget import MemoryBudget, MemoryHolder

__all__ = [
    "BUFFER_MEMORY_SHARE",
    "BufferBudget",
    "BufferHolder",
    "FramingCount",
    "ResponseLimits",
    "ServerLimits",
]

# Bytes of framing allowed for each byte of a body by default. A chunk of one byte needs five.
FRAMING_PER_BODY_BYTE = 16
# Share of a process's memory for the bodies on the connections of one kind. A gateway has five
# kinds: those from callers and other gateways, and those to targets, other gateways, and the store.
BUFFER_MEMORY_SHARE = 0.125


@attrs.frozen
class ResponseLimits:
    """Limits on the size of responses, all in bytes.

    Attributes
    ----------
    head_bytes : int
        Largest size of everything but the body: the head, interim responses before it, chunk
        framing beyond the usual, and trailers.
    body_bytes : int
        Largest body that is read as a whole.
    skipped_bytes : int
        Largest total size of the bodies of responses to other requests, which are skipped.
    total_bytes : int
        Largest total size of the bodies that all connections of a pool hold.
    """

    head_bytes: int = 65_536
    body_bytes: int = 16 << 20
    skipped_bytes: int = 1 << 20
    total_bytes: int = 32 << 20

    def within_memory(self, memory_bytes: int) -> "ResponseLimits":
        """Return these limits with no more than a share of a process's memory for all bodies."""
        total_bytes = min(self.total_bytes, int(memory_bytes * BUFFER_MEMORY_SHARE))
        return attrs.evolve(
            self, total_bytes=total_bytes, body_bytes=min(self.body_bytes, total_bytes)
        )


@attrs.frozen
class ServerLimits:
    """Limits on the size and duration of requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest size of the head and of the body of a request, in bytes.
    total_body_bytes : int
        Budget for the memory that all connections of a server hold, in bytes; not used if the
        server shares the budget of its process.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its head.
    body_timeout_s : float
        Interval in which a body that is being received must make progress.
    idle_timeout_s : float
        Longest time without a request on an open connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 32 << 20
    total_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 15.0


class FramingCount:
    """Bounds the bytes of a message that do not belong to its body.

    The parser holds an incomplete field in memory without reporting it. Counting all bytes that
    arrive and those that are reported as a body bounds heads, interim responses, chunk extensions
    and trailers alike.

    Attributes
    ----------
    received, body : int
        Bytes received, and those of them that the parser reported as parts of a body.
    per_body_byte : int
        Bytes of framing that are allowed for each byte of a body.
    """

    def __init__(self, per_body_byte: int = FRAMING_PER_BODY_BYTE):
        self.per_body_byte = per_body_byte
        self.received = 0
        self.body = 0

    def exceeds(self, head_bytes: int) -> bool:
        """Return whether there are more framing bytes than a head of this size explains."""
        framing = self.received - self.body
        return framing > head_bytes + self.per_body_byte * self.body


class BufferHolder(MemoryHolder, Protocol):
    """Connection that holds bytes of a body.

    Attributes
    ----------
    held : int
        Number of bytes that it holds.
    """

    held: int

    def exceed(self, reason: str) -> None:
        """Fail the exchange in progress and discard the bytes that are held."""


class BufferBudget:
    """Bounds the bytes of bodies that several connections hold together.

    Load pattern: many targets at once send bodies that never end while others work. When the total
    exceeds the budget, the connection that holds the most bytes fails, so that the responses of
    usual size are still read.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes held together.

    Attributes
    ----------
    shared : MemoryBudget or None
        Budget of the process, to which the bytes are added as well.
    connections : int
        Open connections.
    holders : set of BufferHolder
        Connections that hold bytes.
    held_bytes : int
        Number of bytes held now.
    peak_bytes : int
        Largest number of bytes held at a time.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.shared: MemoryBudget | None = None
        self.connections = 0
        self.holders: set[BufferHolder] = set()
        self.held_bytes = 0
        self.peak_bytes = 0

    def hold(self, holder: BufferHolder, size: int) -> None:
        """Add bytes that a connection holds; fail the largest holder while over the limit."""
        self.holders.add(holder)
        holder.held += size
        self.held_bytes += size
        while self.held_bytes > self.limit_bytes:
            largest = max(self.holders, key=lambda candidate: candidate.held)
            largest.exceed("the bodies held exceed the memory for all connections")
            self.release(largest, largest.held)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if self.shared is not None:
            self.shared.update(holder, holder.held)

    def release(self, holder: BufferHolder, size: int) -> None:
        """Remove bytes that a connection no longer holds."""
        size = min(size, holder.held)
        holder.held -= size
        self.held_bytes -= size
        if not holder.held:
            self.holders.discard(holder)
        if self.shared is not None:
            self.shared.update(holder, holder.held)
