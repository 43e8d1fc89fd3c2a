"""A loopback proxy whose connections can be made to misbehave."""

import asyncio
import contextlib
import enum

__all__ = ["FaultyProxy", "LinkFault"]

CHUNK_BYTES = 65_536


class LinkFault(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards connections to an address.

    Attributes
    ----------
    fault : LinkFault
        In force for open and new connections. Bytes that a silent link holds are delivered when
        it heals, unless the connection has ended.
    delay_s : float
        One-way delay under `LinkFault.DELAY`.
    """

    def __init__(self, target: str):
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.healed = asyncio.Event()
        self.healed.set()
        self.server: asyncio.Server | None = None
        self.links: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    def set_fault(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Put a fault in force."""
        self.fault = fault
        self.delay_s = delay_s
        if fault in (LinkFault.SILENCE, LinkFault.ONE_WAY):
            self.healed.clear()
        else:
            self.healed.set()
        if fault is LinkFault.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """End the proxy and its connections."""
        self.server.close()
        self.reset()
        for task in list(self.links):
            task.cancel()

    async def serve(self, reader, writer) -> None:
        """Forward one connection."""
        task = asyncio.current_task()
        self.links.add(task)
        task.add_done_callback(self.links.discard)
        if self.fault is LinkFault.REFUSE:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            # The proxy ends its own links by cancelling them.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self.forward(reader, far_writer, forth=True),
                    self.forward(far_reader, writer, forth=False),
                )
        finally:
            for side in (writer, far_writer):
                self.writers.discard(side)
                side.transport.abort()

    async def forward(self, reader, writer, forth: bool) -> None:
        """Carry bytes in one direction until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.fault is LinkFault.SILENCE or (
                    self.fault is LinkFault.ONE_WAY and not forth
                ):
                    await self.healed.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
