"""TCP forwarding with a delay in each direction."""

import asyncio
import collections
import contextlib
import signal

import attrs

__all__ = ["DelayedLink", "LinkSettings", "run_link"]

CHUNK_BYTES = 64 * 1024
# Chunks on their way in one direction; a real link holds a bounded amount as well.
MAX_CHUNKS = 256


@attrs.define
class LinkSettings:
    """Options of a link.

    Parameters
    ----------
    target_port : int
        Port that connections are forwarded to, on the same address.
    delay_ms : float
        One-way delay.
    """

    target_port: int
    delay_ms: float = 0.5


class DelayedLink:
    """Forwards connections from one port to another.

    Parameters
    ----------
    host : str
        Address of both ports.
    settings : LinkSettings
    """

    def __init__(self, host: str, settings: LinkSettings):
        self.host = host
        self.settings = settings
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(self.serve, self.host, port)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer) -> None:
        """Forward one connection until either side closes it."""
        self.tasks.add(asyncio.current_task())
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.settings.target_port
            )
        except OSError:
            writer.transport.abort()
            self.tasks.discard(asyncio.current_task())
            return
        try:
            forth = asyncio.ensure_future(self.forward(reader, far_writer))
            back = asyncio.ensure_future(self.forward(far_reader, writer))
            await asyncio.wait([forth, back], return_when=asyncio.FIRST_COMPLETED)
            # The other direction may still carry an answer that was on its way.
            await asyncio.wait([forth, back], timeout=1.0)
        finally:
            for task in (forth, back):
                task.cancel()
            for side in (writer, far_writer):
                side.close()
            self.tasks.discard(asyncio.current_task())

    async def forward(self, reader, writer) -> None:
        """Carry bytes in one direction."""
        loop = asyncio.get_running_loop()
        queue: collections.deque = collections.deque()
        arrived = asyncio.Event()
        room = asyncio.Semaphore(MAX_CHUNKS)

        async def receive():
            with contextlib.suppress(OSError):
                while True:
                    await room.acquire()
                    data = await reader.read(CHUNK_BYTES)
                    if not data:
                        break
                    queue.append((loop.time() + self.settings.delay_ms / 1000, data))
                    arrived.set()
            queue.append((loop.time() + self.settings.delay_ms / 1000, b""))
            arrived.set()

        receiving = asyncio.ensure_future(receive())
        try:
            while True:
                while not queue:
                    arrived.clear()
                    await arrived.wait()
                due, data = queue.popleft()
                room.release()
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            return
        finally:
            receiving.cancel()


async def run_link(host: str, port: int, settings: LinkSettings) -> None:
    """Forward connections until SIGTERM."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    link = DelayedLink(host, settings)
    bound = await link.start(port)
    print(f"listening on {host}:{bound}", flush=True)
    await stopping.wait()
    await link.stop()
