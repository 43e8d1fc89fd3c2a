"""A target that responds with scripted bytes, on a real socket."""

import asyncio
import contextlib

from tests.builders.fleet_world import MODEL
from tests.builders.loopback import LOOPBACK

__all__ = ["ScriptedTarget", "chunk", "event", "head", "stream_head"]

# Lets each part of a response arrive by itself.
PART_PAUSE_S = 0.005
HEAD_END = b"\r\n\r\n"


def head(status=200, stamp="s1", **fields):
    """Return the head of a response without framing fields."""
    lines = [f"HTTP/1.1 {status} Status"]
    if stamp:
        lines.append(f"X-Server-Stamp: {stamp}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + HEAD_END


def stream_head(**fields):
    """Return the head of a stream in chunks."""
    return head(
        Transfer_Encoding="chunked",
        **{"Content_Type": "text/event-stream", "X_Weight_Versions": "1", **fields},
    )


def chunk(data):
    """Return a chunk of a body; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number, data="x"):
    """Return an event of a stream."""
    return f"id: {number}\ndata: {data}{number}\n\n".encode()


class ScriptedTarget:
    """Responds to each request that runs with the next bytes of its script, and closes.

    Attributes
    ----------
    script : list of bytes or list
        Responses, one for each connection, as bytes or as parts that are sent one after another;
        without any left, the connection is closed.
    requests : list of bytes
        Heads of the requests that arrived.
    reset : bool
        Whether connections are reset instead of closed.
    """

    def __init__(self, name, service, script=()):
        self.name = name
        self.service = service
        self.script = list(script)
        self.requests = []
        self.reset = False

    async def start(self, store):
        """Listen on a free port and list the target in the store."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        store.put("servers", self.name, self.entry())
        return self

    def entry(self):
        """Return the entry of the target in service discovery."""
        return {
            "service": self.service, "address": self.address, "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "models": [{"name": MODEL, "version": 1}], "seq": 0,
            "born": 1000,
        }  # fmt: skip

    def stop(self):
        """Stop listening."""
        self.server.close()

    async def serve(self, reader, writer):
        """Respond to one request."""
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.respond(reader, writer)
            if self.reset:
                writer.transport.abort()
        finally:
            writer.close()

    async def respond(self, reader, writer):
        """Read a request and send the next response of the script."""
        request = await reader.readuntil(HEAD_END)
        for line in request.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        self.requests.append(request)
        response = self.script.pop(0) if self.script else b""
        for part in [response] if isinstance(response, bytes) else response:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(PART_PAUSE_S)
