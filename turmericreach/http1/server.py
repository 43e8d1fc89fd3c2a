"""Server that passes completely received requests to a handler."""

import asyncio
import socket

from turmericreach.http1.connection import Handler, ServerConnection
from turmericreach.http1.limits import ServerLimits
from turmericreach.http1.memory_budget import MemoryBudget
from turmericreach.http1.server_bounds import ServerBounds

__all__ = ["HttpServer", "ServerLimits"]

# Connections that wait to be accepted, and those that asyncio accepts in one turn of the loop.
# Connections over the budget are closed some turns later, so few are accepted at once.
BACKLOG = 1024
ACCEPTED_PER_TURN = 16


class HttpServer:
    """HTTP server that listens at one address.

    Parameters
    ----------
    handler : callable
        Coroutine function that is called with each request and its responder.
    limits : ServerLimits, optional
        Limits of requests.
    bounds : ServerBounds, optional
        Budgets that the servers of the process share; by default the server has its own.
    name : str
        Name of the listener in the budget of connections.

    Attributes
    ----------
    limits : ServerLimits
        Limits of requests; may be replaced while the server runs.
    connections : set of ServerConnection
        Open connections.
    closing : bool
        Whether responses ask the client to close its connection.
    active : int
        Number of requests being handled.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        bounds: ServerBounds | None = None,
        name: str = "",
    ):
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.bounds = bounds or ServerBounds(MemoryBudget(self.limits.total_body_bytes))
        self.name = name
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.active = 0
        self.server: asyncio.Server | None = None

    @property
    def body_bytes(self) -> int:
        """Return the total size of the request bodies that are being received."""
        return sum(len(connection.parser.body) for connection in self.connections)

    async def start(self, address: str) -> int:
        """Listen at ``ip:port`` and return the port."""
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host, int(port)))
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: ServerConnection(self), sock=listener, backlog=ACCEPTED_PER_TURN
            )
            listener.listen(BACKLOG)
        except BaseException:
            listener.close()
            raise
        return listener.getsockname()[1]

    def close_idle(self) -> None:
        """Close idle connections, and let further responses ask for the end of their connection.

        A connection with requests that wait for their turn is closed after the last response.
        """
        self.closing = True
        for connection in list(self.connections):
            if connection.is_unused() and not connection.parser.in_message:
                connection.transport.close()

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones are served."""
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Stop listening and close all connections at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
