"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import enum

__all__ = ["FaultyProxy", "LinkFault"]

CHUNK_BYTES = 65_536


class LinkFault(enum.StrEnum):
    """Fault of a proxy's connections.

    ``SILENCE`` holds back the bytes of both directions, ``ONE_WAY`` those from the target to the
    client, ``DELAY`` delays both directions, and ``REFUSE`` resets open and new connections.
    """

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
        Applies to open and new connections. Bytes held back are delivered when the fault ends,
        unless the connection has ended.
    delay_s : float
        Delay in seconds of each chunk in each direction under `LinkFault.DELAY`.
    """

    def __init__(self, target: str):
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.unblocked = asyncio.Event()
        self.unblocked.set()
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
        """Apply a fault to open and new connections."""
        self.fault = fault
        self.delay_s = delay_s
        if fault in (LinkFault.SILENCE, LinkFault.ONE_WAY):
            self.unblocked.clear()
        else:
            self.unblocked.set()
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
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            # `stop` cancels the tasks of the connections.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self.forward(reader, target_writer, to_target=True),
                    self.forward(target_reader, writer, to_target=False),
                )
        finally:
            for side in (writer, target_writer):
                self.writers.discard(side)
                side.transport.abort()

    async def forward(self, reader, writer, to_target: bool) -> None:
        """Forward bytes in one direction until its end of file."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.fault is LinkFault.SILENCE or (
                    self.fault is LinkFault.ONE_WAY and not to_target
                ):
                    await self.unblocked.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
