"""Relaying a streamed response to the caller with bounded memory."""

import asyncio
import collections

__all__ = ["AttemptChunks", "CallerStream"]

# Chunks buffered for a slow caller. Once the agent's send window is full as well, the agent stops
# sending.
MAX_BUFFERED_CHUNKS = 8


class CallerStream:
    """Bounded buffer that relays a streamed response from an attempt to the caller.

    Attributes
    ----------
    begun : bool
        Whether the status line has arrived; the request cannot be repeated after that.
    ended : bool
        Whether no further chunk will be written.
    status : int
        HTTP status of the response, 0 before `begun`.
    headers : list of (str, str)
        HTTP headers of the response.
    started : asyncio.Event
        Set when `begun` becomes true or the stream ends.
    readable : asyncio.Event
        Set when a chunk is buffered or the stream has ended.
    writable : asyncio.Event
        Set when the caller has taken a chunk, so that the buffer has space.
    chunks : collections.deque of bytes
        Buffered chunks, at most `MAX_BUFFERED_CHUNKS`.
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
        """Set the status and headers of the response."""
        self.begun = True
        self.status = status
        self.headers = headers
        self.started.set()

    async def write(self, data: bytes) -> None:
        """Append one chunk, waiting while the buffer is full."""
        while len(self.chunks) >= MAX_BUFFERED_CHUNKS:
            self.writable.clear()
            await self.writable.wait()
        self.chunks.append(data)
        self.readable.set()

    def end(self) -> None:
        """Mark the end of the stream and wake the reader."""
        self.ended = True
        self.started.set()
        self.readable.set()

    async def next_chunk(self) -> bytes | None:
        """Wait for the next chunk and return it, or None at the end of the stream."""
        while not self.chunks:
            if self.ended:
                return None
            self.readable.clear()
            await self.readable.wait()
        self.writable.set()
        return self.chunks.popleft()


class AttemptChunks:
    """Relays the chunks of one attempt to the caller's stream until the attempt is abandoned.

    The agent of an abandoned attempt may have been paused and may send more chunks after another
    attempt of the request has started. Those chunks are discarded.

    Parameters
    ----------
    stream : CallerStream
        Stream shared by all attempts of the request.

    Attributes
    ----------
    active : bool
        Whether chunks are relayed; false once the attempt has ended or is abandoned.
    """

    def __init__(self, stream: CallerStream):
        self.stream = stream
        self.active = True

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Relay the status and headers."""
        if self.active:
            await self.stream.begin(status, headers)

    async def write(self, data: bytes) -> None:
        """Relay one chunk."""
        if self.active:
            await self.stream.write(data)
