"""Server side of the inner protocol."""

import asyncio
from typing import Protocol

import capnp
from absl import logging

from turmericreach.rpc import messages
from turmericreach.rpc.gate import HelloGate
from turmericreach.rpc.messages import Attempt, Hello, inner
from turmericreach.verdicts import Outcome

__all__ = ["ChunkWriter", "PeerHandler", "PeerServer"]


class ChunkWriter:
    """Streams response chunks to the process that submitted an attempt."""

    def __init__(self, sink):
        self.sink = sink

    async def begin(self, status, headers):
        """Send the status line and headers before the first chunk."""
        request = self.sink.begin_request()
        request.status = status
        messages.fill_headers(request.init("headers", len(headers)), headers)
        await request.send()

    async def write(self, data):
        """Send one chunk; waits while the flow-control window is full."""
        await self.sink.write(data)


class PeerHandler(Protocol):
    """Handler of the calls of peers."""

    def hello(self, hello: Hello) -> Hello:
        """Return the own identity; raises `PeerIncompatible` to reject the peer."""

    async def submit(self, attempt: Attempt, writer: ChunkWriter) -> Outcome:
        """Run an attempt at a target of this host."""

    async def settle(
        self, attempt_id: str, incarnation: int, deadline_ms: int, wait_s: float
    ) -> Outcome:
        """Establish whether an attempt ran, revoking it if it did not start."""

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt whose result is no longer needed."""

    async def control(self, kind: str, body: bytes) -> bytes:
        """Handle a control message and return the body of its reply."""


class DaemonServer(inner.Daemon.Server):
    """Adapts Cap'n Proto calls to a `PeerHandler`."""

    def __init__(self, handler: HelloGate):
        self.handler = handler
        self.parts: dict[int, bytearray] = {}

    async def hello(self, hello, **kwargs):
        """Exchange identities."""
        return messages.build_hello(self.handler.hello(messages.read_hello(hello)))

    async def submit(self, attempt, sink, **kwargs):
        """Run an attempt."""
        outcome = await self.handler.submit(messages.read_attempt(attempt), ChunkWriter(sink))
        return messages.build_outcome(outcome)

    async def settle(self, attemptId, incarnation, deadlineMs, waitMs, **kwargs):  # noqa: N803
        """Settle an attempt."""
        outcome = await self.handler.settle(attemptId, incarnation, deadlineMs, waitMs / 1000)
        return messages.build_outcome(outcome)

    async def cancel(self, attemptId, **kwargs):  # noqa: N803
        """Cancel an attempt."""
        await self.handler.cancel(attemptId)

    async def control(self, kind, body, message, partsLeft, **kwargs):  # noqa: N803
        """Handle a control message when its last part has arrived."""
        self.handler.require_hello()
        if not partsLeft and message not in self.parts:
            return await self.handler.control(kind, bytes(body))
        whole = self.parts.setdefault(message, bytearray())
        held = sum(len(part) for part in self.parts.values())
        if held + len(body) > messages.MAX_CONTROL_BYTES:
            del self.parts[message]
            raise ValueError("control message too large")
        whole.extend(body)
        if partsLeft:
            return b""
        return await self.handler.control(kind, bytes(self.parts.pop(message)))


class PeerServer:
    """Listens for calls of other processes.

    Must be used inside ``capnp.kj_loop()``.
    """

    def __init__(self, handler: PeerHandler, host: str, port: int, ssl=None):
        self.handler = handler
        self.host = host
        self.port = port
        self.ssl = ssl
        self.listener = None
        self.connections = set()

    async def start(self):
        """Open the listening socket; raises `OSError` if the address is in use."""
        self.listener = await capnp.AsyncIoStream.create_server(
            self.serve_connection, self.host, self.port, ssl=self.ssl
        )

    async def serve_connection(self, stream):
        """Serve one connection until the peer closes it."""
        self.connections.add(stream)
        try:
            server = capnp.TwoPartyServer(stream, bootstrap=DaemonServer(HelloGate(self.handler)))
            await server.on_disconnect()
        except (capnp.KjException, OSError) as error:
            logging.debug("peer connection ended: %s", error)
        finally:
            self.connections.discard(stream)

    async def stop(self):
        """Close the listening socket and all connections."""
        if self.listener is not None:
            self.listener.close()
        for stream in list(self.connections):
            stream.close()
        await asyncio.sleep(0)
