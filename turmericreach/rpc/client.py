"""Client side of the inner protocol: one connection per peer, a timeout for every call."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Protocol

import capnp

from turmericreach.rpc import messages
from turmericreach.rpc.errors import (
    PeerDisconnected,
    PeerFailed,
    PeerIncompatible,
    PeerTimeout,
    PeerUnreachable,
)
from turmericreach.rpc.messages import Attempt, Hello, inner
from turmericreach.verdicts import Outcome

__all__ = ["ChunkHandler", "PeerClient", "PeerPool"]

CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 2.0
# Part of the error message of `check_protocol`, which distinguishes a rejected hello from one that
# failed otherwise.
INCOMPATIBLE_TEXT = "speaks protocol"


class ChunkHandler(Protocol):
    """Receives the streamed response of an attempt."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Handle the status line and headers."""

    async def write(self, data: bytes) -> None:
        """Handle one chunk."""


class DiscardChunks:
    """A `ChunkHandler` for attempts that do not stream."""

    async def begin(self, status, headers):
        """Ignore the status line."""

    async def write(self, data):
        """Ignore the chunk."""


class SinkServer(inner.ChunkSink.Server):
    """Adapts the chunk callbacks of the protocol to a `ChunkHandler`."""

    def __init__(self, handler):
        self.handler = handler

    async def begin(self, status, headers, **kwargs):
        """Pass on the status line."""
        await self.handler.begin(status, messages.read_headers(headers))

    async def write(self, data, **kwargs):
        """Pass on one chunk."""
        await self.handler.write(bytes(data))


class PeerClient:
    """A connection to one peer process.

    Attributes
    ----------
    peer : Hello
        Identity that the peer gave when the connection opened.
    connected_at : float
        Loop time just before the identities were exchanged, in seconds.
    """

    def __init__(self, stream, client, daemon, peer: Hello, connected_at: float):
        self.stream = stream
        self.client = client
        self.daemon = daemon
        self.peer = peer
        self.connected_at = connected_at
        self.closed = False
        self.retired = False
        self.calls = 0
        self.message_ids = itertools.count(1)
        self.watch = asyncio.ensure_future(self.close_on_disconnect())

    async def close_on_disconnect(self) -> None:
        """Close the connection when the peer closes it.

        Otherwise the first attempt after a restart of the peer would be sent on a dead
        connection, and whether it ran could not be established.
        """
        with contextlib.suppress(capnp.KjException):
            await self.client.on_disconnect()
        self.close()

    def peer_deadline_ms(self, deadline: float) -> int:
        """Convert a deadline on the loop's clock to the peer's clock.

        The result is late by at most the round trip of the hello.
        """
        return self.peer.clock_ms + max(0, int((deadline - self.connected_at) * 1000))

    @classmethod
    async def connect(cls, host: str, port: int, hello: Hello, ssl=None) -> "PeerClient":
        """Open a connection and exchange identities.

        Raises
        ------
        PeerIncompatible
            If the peer's protocol version is not adjacent.
        PeerUnreachable
            If no connection could be made; nothing was sent.
        """
        options = {"ssl": ssl} if ssl is not None else {}
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await capnp.AsyncIoStream.create_connection(host, port, **options)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachable(f"cannot connect to {host}:{port}: {error}") from error
        connected_at = asyncio.get_running_loop().time()
        client = capnp.TwoPartyClient(stream)
        daemon = client.bootstrap().cast_as(inner.Daemon)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                reply = await daemon.hello(messages.build_hello(hello))
        except (capnp.KjException, TimeoutError) as error:
            stream.close()
            if INCOMPATIBLE_TEXT in str(error):
                raise PeerIncompatible(
                    f"{host}:{port} rejected the hello: {error.description}"
                ) from error
            raise PeerUnreachable(f"no hello from {host}:{port}: {error}") from error
        peer = messages.read_hello(reply.hello)
        try:
            messages.check_protocol(peer, hello.protocol)
        except PeerIncompatible:
            stream.close()
            raise
        return cls(stream, client, daemon, peer, connected_at)

    async def call(self, promise, timeout_s):
        """Wait for the reply to a call and translate its errors."""
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await promise
        except TimeoutError as error:
            raise PeerTimeout(f"no reply from {self.peer.name} in {timeout_s:.3f} s") from error
        except capnp.KjException as error:
            if error.type != "DISCONNECTED":
                raise PeerFailed(f"{self.peer.name}: {error.description}") from error
            self.close()
            raise PeerDisconnected(f"{self.peer.name}: {error.description}") from error
        finally:
            self.calls -= 1
            if self.retired and self.calls == 0:
                self.close()

    async def submit(
        self, attempt: Attempt, timeout_s: float, handler: ChunkHandler | None = None
    ) -> Outcome:
        """Run an attempt at the peer's target.

        Raises
        ------
        PeerDisconnected, PeerTimeout
            If the reply was lost; the attempt may have run.
        """
        request = self.daemon.submit_request()
        messages.fill_attempt(request.init("attempt"), attempt)
        request.sink = SinkServer(handler or DiscardChunks())
        reply = await self.call(request.send(), timeout_s)
        return messages.read_outcome(reply.outcome)

    async def settle(
        self,
        attempt_id: str,
        incarnation: int,
        deadline_ms: int,
        wait_s: float,
        timeout_s: float,
    ) -> Outcome:
        """Ask whether an attempt ran; an attempt that did not start is revoked."""
        promise = self.daemon.settle(attempt_id, incarnation, deadline_ms, int(wait_s * 1000))
        reply = await self.call(promise, timeout_s)
        return messages.read_outcome(reply.outcome)

    async def cancel(self, attempt_id: str, timeout_s: float) -> None:
        """Stop an attempt whose result is no longer needed."""
        await self.call(self.daemon.cancel(attempt_id), timeout_s)

    async def control(self, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Send a control message, in parts if it is long, and return the body of its reply."""
        parts = range(0, max(1, len(body)), messages.PART_BYTES)
        message = next(self.message_ids)
        for position, start in enumerate(parts):
            part = body[start : start + messages.PART_BYTES]
            parts_left = len(parts) - 1 - position
            reply = await self.call(self.daemon.control(kind, part, message, parts_left), timeout_s)
        return bytes(reply.body)

    def retire(self):
        """Close the connection when its calls in flight have ended; each has a timeout."""
        self.retired = True
        if self.calls == 0:
            self.close()

    def close(self):
        """Close the connection."""
        if self.closed:
            return
        self.closed = True
        self.watch.cancel()
        self.stream.close()


class PeerPool:
    """Keeps one connection for each peer address and opens it on demand.

    Parameters
    ----------
    hello : callable
        Returns the own identity.
    ssl : callable
        Returns the `ssl.SSLContext` for the next connection, None for no TLS. It is called
        for each connection, since certificates are replaced while the process runs.
    """

    def __init__(self, hello: Callable[[], Hello], ssl: Callable[[], object] = lambda: None):
        self.hello = hello
        self.ssl = ssl
        self.clients: dict[str, PeerClient] = {}
        self.pending: dict[str, Awaitable] = {}

    async def get(self, address: str) -> PeerClient:
        """Return an open connection to ``host:port``.

        Raises
        ------
        PeerUnreachable
            If no connection could be made.
        """
        client = self.clients.get(address)
        if client is not None and not client.closed:
            return client
        task = self.pending.get(address)
        if task is None:
            host, _, port = address.rpartition(":")
            connect = PeerClient.connect(host, int(port), self.hello(), self.ssl())
            task = asyncio.ensure_future(connect)
            self.pending[address] = task
            task.add_done_callback(lambda _: self.pending.pop(address, None))
        client = await asyncio.shield(task)
        self.clients[address] = client
        return client

    def evict(self, address: str):
        """Use a new connection to an address from now on, for example after a timeout.

        Other calls on the old connection continue: one slow call must not interrupt the rest.
        """
        client = self.clients.pop(address, None)
        if client is not None:
            client.retire()

    def close(self):
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()
