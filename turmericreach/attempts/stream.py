"""Passing a streamed answer on to the caller with bounded memory."""

import asyncio
import collections

__all__ = ["AttemptChunks", "CallerStream"]

# Chunks that wait for a slow caller; the agent stops sending when its window is full as well.
MAX_WAITING_CHUNKS = 8


class CallerStream:
    """Carries a streamed answer from an attempt to the caller.

    Attributes
    ----------
    begun : bool
        Whether the status line has arrived; the request cannot be repeated after that.
    started : asyncio.Event
        Set when `begun` becomes true or the attempt ends.
    """

    def __init__(self):
        self.begun = False
        self.ended = False
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.started = asyncio.Event()
        self.readable = asyncio.Event()
        self.writable = asyncio.Event()
        self.chunks: collections.deque[bytes] = collections.deque()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the status line and headers of the target."""
        self.begun = True
        self.status = status
        self.headers = headers
        self.started.set()

    async def write(self, data: bytes) -> None:
        """Take one chunk; waits while the caller is slow."""
        while len(self.chunks) >= MAX_WAITING_CHUNKS:
            self.writable.clear()
            await self.writable.wait()
        self.chunks.append(data)
        self.readable.set()

    def end(self) -> None:
        """Note that no further chunk will come."""
        self.ended = True
        self.started.set()
        self.readable.set()

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or None at the end."""
        while not self.chunks:
            if self.ended:
                return None
            self.readable.clear()
            await self.readable.wait()
        self.writable.set()
        return self.chunks.popleft()


class AttemptChunks:
    """Passes the chunks of one attempt on until that attempt is given up.

    An agent that was paused may go on sending after another attempt of the request has begun.

    Attributes
    ----------
    active : bool
        Whether chunks are passed on.
    """

    def __init__(self, stream: CallerStream):
        self.stream = stream
        self.active = True

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Pass the status line and headers on."""
        if self.active:
            await self.stream.begin(status, headers)

    async def write(self, data: bytes) -> None:
        """Pass one chunk on."""
        if self.active:
            await self.stream.write(data)
