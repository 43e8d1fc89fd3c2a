"""Writing of responses to a client that may read them slowly or not at all."""

import asyncio

from turmericreach.http1.progress import SLOW_READER_TIMEOUT_S, Progress
from turmericreach.http1.sockets import (
    LARGE_MESSAGE_BYTES,
    allow_slow_reader,
    unacknowledged_bytes,
)

__all__ = ["ResponseWriter"]


class ResponseWriter:
    """Writes the responses of one connection.

    Attributes
    ----------
    can_write : asyncio.Event
        Set while the send buffer has room, and once the connection is closed.
    sent_bytes : int
        Bytes of responses that were sent since the last request that no other one preceded.
    written_bytes : int
        Bytes of all responses.
    progress : Progress
        Progress of the client's reading.
    """

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.sent_bytes = 0
        self.written_bytes = 0
        self.progress = Progress()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.count_sent(len(data))
        self.written_bytes += len(data)
        self.transport.write(data)

    def count_sent(self, size: int) -> None:
        """Count bytes that are sent, and let the client read a large response slowly.

        A client that sends another request has read the responses before.
        """
        was_large = self.sent_bytes >= LARGE_MESSAGE_BYTES
        self.sent_bytes += size
        is_large = self.sent_bytes >= LARGE_MESSAGE_BYTES
        if is_large != was_large:
            allow_slow_reader(self.transport, is_large)

    def unsent_bytes(self) -> int:
        """Return the size of the send buffer."""
        return self.transport.get_write_buffer_size()

    async def drain(self) -> bool:
        """Wait until the send buffer has room, and return False if the client stops reading."""
        self.restart_progress()
        while not self.can_write.is_set():
            try:
                async with asyncio.timeout(SLOW_READER_TIMEOUT_S):
                    await self.can_write.wait()
            except TimeoutError:
                if not self.is_read(SLOW_READER_TIMEOUT_S):
                    return False
        return True

    def restart_progress(self) -> None:
        """Begin an interval in which the client must make progress."""
        if self.unsent_bytes():
            self.progress.restart(self.acknowledged_bytes())

    def is_read(self, interval_s: float) -> bool:
        """Return whether the client made progress in an interval, and begin the next one."""
        return self.progress.is_made(self.acknowledged_bytes(), interval_s)

    def acknowledged_bytes(self) -> int:
        """Return the number of bytes of responses that the client has acknowledged."""
        return self.written_bytes - unacknowledged_bytes(self.transport)
