"""An HTTP server with limits on connections and slow senders."""

import asyncio
import contextlib
import math
import socket
import ssl as ssl_module

import attrs
import uvicorn

from turmericreach.httpserver.protocol import make_protocol
from turmericreach.settings.schema import LimitSettings

__all__ = ["HttpServer", "bind_socket"]

BACKLOG = 1024


def bind_socket(ip: str, port: int) -> socket.socket:
    """Open a listening socket; raises `OSError` if the address is in use."""
    # asyncio sets TCP_NODELAY only on sockets that name their protocol. Without it, a response
    # in two writes waits 40 ms for the caller's delayed acknowledgement.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((ip, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process.

    Attributes
    ----------
    ready : asyncio.Event
        Set when connections are accepted.
    """

    def __init__(self, config):
        super().__init__(config)
        self.ready = asyncio.Event()

    async def startup(self, sockets=None):
        """Start listening."""
        await super().startup(sockets)
        self.ready.set()

    def capture_signals(self):
        """Install no signal handlers."""
        return contextlib.nullcontext()


@attrs.define
class HttpServer:
    """Serves an ASGI application on a bound socket.

    Attributes
    ----------
    app : callable
        ASGI application.
    listener : socket.socket
        Bound socket, see `bind_socket`.
    limits : LimitSettings
        Limits on connections and slow senders.
    stop_timeout_s : float
        Longest time that `stop` waits for requests in flight, in seconds.
    ssl_context : ssl.SSLContext or None
        Context for TLS; None serves plain HTTP.
    """

    app: object
    listener: socket.socket
    limits: LimitSettings
    stop_timeout_s: float
    ssl_context: ssl_module.SSLContext | None = None
    server: uvicorn.Server | None = None
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start serving and return once requests are accepted."""
        options = {}
        if self.ssl_context is not None:
            options["ssl_context_factory"] = lambda config, default: self.ssl_context
        config = uvicorn.Config(
            self.app,
            http=make_protocol(self.limits),
            ws="none",
            loop="none",
            lifespan="on",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=math.ceil(self.stop_timeout_s) + 1,
            **options,
        )
        self.server = EmbeddedServer(config)
        self.task = asyncio.ensure_future(self.server.serve([self.listener]))
        ready = asyncio.ensure_future(self.server.ready.wait())
        await asyncio.wait([ready, self.task], return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
        if self.task.done():
            self.task.result()

    async def stop(self) -> int:
        """Stop accepting connections, wait for requests in flight, and close.

        Returns
        -------
        int
            Requests that had not ended after `stop_timeout_s` and were cancelled.
        """
        if self.server is None:
            return 0
        self.server.should_exit = True
        _, pending = await asyncio.wait([self.task], timeout=self.stop_timeout_s)
        cancelled = len(self.server.server_state.tasks) if pending else 0
        await self.task
        return cancelled
