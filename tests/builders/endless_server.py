"""A server that responds to every request with bytes that never end."""

import asyncio
import contextlib

from tests.builders.fleet_world import MODEL
from tests.builders.loopback import LOOPBACK

__all__ = ["RESPONSES", "EndlessServer"]

PIECE = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
STREAM = CHUNKED + b"Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# First bytes of a response, and those that are repeated.
RESPONSES = {
    "no_head": (b"", PIECE),
    "status_line": (b"HTTP/1.1 200 ", PIECE),
    "one_field": (HEAD + b"X-Field: ", PIECE),
    "field_name": (HEAD, PIECE),
    "many_fields": (HEAD, b"a:\r\n" * 16_384),
    "interim_responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "interim_fields": (b"HTTP/1.1 103 Hints\r\n", b"a:\r\n" * 16_384),
    "chunk_extension": (CHUNKED + b"\r\n1;x=", PIECE),
    "chunks_of_one_byte": (CHUNKED + b"\r\n", b"1\r\nx\r\n" * 10_000),
    "chunked_body": (CHUNKED + b"\r\n", chunk(PIECE)),
    "announced_body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", PIECE),
    "unframed_body": (HEAD + b"\r\n", PIECE),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"a: b\r\n" * 10_000),
    "event_line": (STREAM + chunk(b"id: 1\ndata: "), chunk(PIECE)),
    "comments": (STREAM, chunk(b": x\n\n" * 10_000)),
    "after_the_response": (WHOLE, PIECE),
}


class EndlessServer:
    """Responds to each request with the same bytes until the client closes its connection.

    Attributes
    ----------
    first, repeated : bytes
        First bytes of each response, and those that follow them again and again.
    pause_s : float
        Pause after each repetition.
    requests : int
        Number of requests that arrived.
    """

    def __init__(self, response, slow=False):
        self.first, self.repeated = RESPONSES[response]
        self.pause_s = 0.0
        if slow:
            # 500 KB a second on each connection are enough to exceed a limit within seconds.
            self.repeated = self.repeated[:4096]
            self.pause_s = 0.008
        self.requests = 0
        self.address = ""
        self.tasks = set()

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        return self

    def stop(self):
        """Stop listening and sending."""
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def entry(self, service):
        """Return the entry of a target with this address in service discovery."""
        return {
            "service": service, "address": self.address, "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "models": [{"name": MODEL, "version": 1}], "seq": 0,
            "born": 1000,
        }  # fmt: skip

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.first)
                while True:
                    writer.write(self.repeated)
                    await writer.drain()
                    await asyncio.sleep(self.pause_s)
        finally:
            writer.close()
