"""Sending of large request bodies in parts."""

import asyncio

__all__ = ["SENT_AT_ONCE_BYTES", "BodySender"]

SENT_AT_ONCE_BYTES = 65_536


class BodySender:
    """Sends a body as the send buffer of its connection has room.

    The transport would copy what the socket does not take at once of a whole body.

    Attributes
    ----------
    waiter : asyncio.Future or None
        Pending while the send buffer is full.
    """

    def __init__(self):
        self.waiter: asyncio.Future | None = None

    def pause(self) -> None:
        """Make the sender wait until the send buffer has room."""
        self.waiter = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Wake the sender."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
        self.waiter = None

    async def send(self, transport, body: bytes, answered: asyncio.Future) -> bool:
        """Send a body until a response arrives, and return whether the whole body was sent."""
        view = memoryview(body)
        for start in range(0, len(view), SENT_AT_ONCE_BYTES):
            if answered.done() or transport.is_closing():
                return False
            transport.write(view[start : start + SENT_AT_ONCE_BYTES])
            if self.waiter is not None:
                await asyncio.wait({self.waiter, answered}, return_when=asyncio.FIRST_COMPLETED)
        return True
