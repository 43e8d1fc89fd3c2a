"""TCP forwarding with a delay in each direction."""

import asyncio
import collections
import contextlib
import signal

import attrs

__all__ = ["DelayedLink", "LinkSettings", "run_link"]

CHUNK_BYTES = 64 * 1024
# Chunks in transit in one direction; a real link, too, holds a bounded amount of data.
MAX_CHUNKS = 256


@attrs.define
class LinkSettings:
    """Options of a link.

    Parameters
    ----------
    target_port : int
        Port on the same address to which connections are forwarded.
    delay_ms : float
        Delay in each direction in milliseconds.
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
        Port of the target, and delay.
    """

    def __init__(self, host: str, settings: LinkSettings):
        self.host = host
        self.settings = settings
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, port: int) -> int:
        """Listen on a port, 0 for a free one, and return its number."""
        self.server = await asyncio.start_server(self.handle_connection, self.host, port)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def handle_connection(self, reader, writer) -> None:
        """Forward one connection until either side closes it.

        If the target refuses, the connection is aborted.
        """
        self.tasks.add(asyncio.current_task())
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.settings.target_port
            )
        except OSError:
            writer.transport.abort()
            self.tasks.discard(asyncio.current_task())
            return
        try:
            outbound = asyncio.ensure_future(self.forward(reader, target_writer))
            inbound = asyncio.ensure_future(self.forward(target_reader, writer))
            await asyncio.wait([outbound, inbound], return_when=asyncio.FIRST_COMPLETED)
            # The other direction may still carry a response that was in transit.
            await asyncio.wait([outbound, inbound], timeout=1.0)
        finally:
            for task in (outbound, inbound):
                task.cancel()
            for connection_writer in (writer, target_writer):
                connection_writer.close()
            self.tasks.discard(asyncio.current_task())

    async def forward(self, reader, writer) -> None:
        """Forward the bytes of one direction, in order and each after the delay."""
        loop = asyncio.get_running_loop()
        queue: collections.deque = collections.deque()
        chunk_received = asyncio.Event()
        free_chunks = asyncio.Semaphore(MAX_CHUNKS)

        async def receive():
            with contextlib.suppress(OSError):
                while True:
                    await free_chunks.acquire()
                    data = await reader.read(CHUNK_BYTES)
                    if not data:
                        break
                    queue.append((loop.time() + self.settings.delay_ms / 1000, data))
                    chunk_received.set()
            queue.append((loop.time() + self.settings.delay_ms / 1000, b""))
            chunk_received.set()

        receive_task = asyncio.ensure_future(receive())
        try:
            while True:
                while not queue:
                    chunk_received.clear()
                    await chunk_received.wait()
                due_at, data = queue.popleft()
                free_chunks.release()
                if due_at > loop.time():
                    await asyncio.sleep(due_at - loop.time())
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            return
        finally:
            receive_task.cancel()


async def run_link(host: str, port: int, settings: LinkSettings) -> None:
    """Forward connections until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    link = DelayedLink(host, settings)
    bound_port = await link.start(port)
    print(f"listening on {host}:{bound_port}", flush=True)
    await stopping.wait()
    await link.stop()
