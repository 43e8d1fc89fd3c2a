"""A server that responds to every request with given bytes."""

import asyncio
import contextlib

from tests.builders.loopback import LOOPBACK

__all__ = ["RawServer"]

HEAD_END = b"\r\n\r\n"


class RawServer:
    """Responds to each request with `answer` and closes the connection.

    Attributes
    ----------
    repeated : bytes
        Sent repeatedly after `answer` until the client disconnects.
    keep_open : bool
        Whether connections stay open until the client closes them.
    empty_responses_first : int
        Number of requests of a connection that get an empty 200 response before `answer` is sent.
    """

    def __init__(self, answer=b""):
        self.answer = answer
        self.repeated = b""
        self.keep_open = False
        self.empty_responses_first = 0
        self.arrivals = 0
        self.connections = 0
        self.sent = 0
        self.received = b""
        self.arrived = asyncio.Event()
        self.connection_lost = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.url = f"http://{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                for _ in range(self.empty_responses_first):
                    await self.read_request(reader)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await self.read_request(reader)
                await self.send_answer(reader, writer)
        finally:
            writer.close()
            self.connection_lost.set()

    async def read_request(self, reader):
        """Read a request with its body and count it."""
        head = await reader.readuntil(HEAD_END)
        self.received += head
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        self.arrivals += 1
        self.arrived.set()

    async def send_answer(self, reader, writer):
        """Send `answer`, then `repeated` until the client disconnects."""
        writer.write(self.answer)
        await writer.drain()
        while self.repeated:
            writer.write(self.repeated)
            await writer.drain()
            self.sent += len(self.repeated)
        if self.keep_open:
            await reader.read()
