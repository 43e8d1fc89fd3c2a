"""Passing a streamed answer on to the caller with bounded memory."""

import asyncio

__all__ = ["CallerStream"]

# Chunks that wait for a slow caller; the agent stops sending when the window is full.
MAX_WAITING_CHUNKS = 8


class CallerStream:
    """Carries a streamed answer from an attempt to the caller.

    Attributes
    ----------
    begun : bool
        Whether the status line has arrived; the request cannot be repeated after that.
    """

    def __init__(self):
        self.begun = False
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.started = asyncio.Event()
        self.chunks: asyncio.Queue[bytes] = asyncio.Queue(MAX_WAITING_CHUNKS)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the status line and headers of the target."""
        self.begun = True
        self.status = status
        self.headers = headers
        self.started.set()

    async def write(self, data: bytes) -> None:
        """Take one chunk; waits while the caller is slow."""
        await self.chunks.put(data)
