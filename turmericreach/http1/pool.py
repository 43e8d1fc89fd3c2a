"""Pool of idle client connections."""

import asyncio

from turmericreach.http1.client import ClientConnection, connect
from turmericreach.http1.limits import BufferBudget, ResponseLimits
from turmericreach.http1.responses import ResponseHead

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Keeps idle connections by address, for reuse by later requests.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection.
    max_idle : int
        Largest number of idle connections per address.
    limits : ResponseLimits, optional
        Limits on the size of responses.

    Attributes
    ----------
    buffers : BufferBudget
        Memory that the bodies of all responses share.
    idle : dict of str to list of ClientConnection
        Idle connections by address, the last used at the end.
    opened : int
        Number of connections that the pool tried to open.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        max_idle: int = 8,
        limits: ResponseLimits | None = None,
    ):
        self.connect_timeout_s = connect_timeout_s
        self.max_idle = max_idle
        self.limits = limits or ResponseLimits()
        self.buffers = BufferBudget(self.limits.total_bytes)
        self.idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0

    def acquire_idle(
        self, address: str, echo: tuple[str, str] | None = None
    ) -> ClientConnection | None:
        """Return the most recently used idle connection that a request may use, or None.

        Connections that have carried a request with the same `echo` are left in the pool.
        """
        idle_connections = self.idle.get(address, [])
        now = asyncio.get_running_loop().time()
        for connection in reversed(list(idle_connections)):
            usable = connection.reusable and not connection.closed
            expired = now - connection.idle_since >= connection.max_idle_s
            if usable and not expired and not connection.may_carry(echo):
                continue
            idle_connections.remove(connection)
            connection.on_idle_closed = None
            if usable and not expired:
                return connection
            connection.close()
        return None

    async def acquire(
        self, address: str, fresh: bool = False, echo: tuple[str, str] | None = None
    ) -> ClientConnection:
        """Return an idle connection or a new one; with `fresh`, always a new one.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        fresh : bool
            Whether the connection must be new.
        echo : tuple of str, optional
            What identifies the response to the request that the connection is for.

        Raises
        ------
        ConnectFailed
            If no connection could be opened.
        """
        if not fresh:
            connection = self.acquire_idle(address, echo)
            if connection is not None:
                return connection
        self.opened += 1
        return await connect(address, self.connect_timeout_s, self.limits, self.buffers)

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes = b"",
        echo: tuple[str, str] | None = None,
    ) -> tuple[ResponseHead, bytes]:
        """Make a request and return the head and the body of its response.

        Raises
        ------
        ConnectFailed
            If no connection could be opened; nothing was sent.
        ResponseIncomplete
            If the response is not complete; the request may have run.
        """
        connection = await self.acquire(address, echo=echo)
        try:
            head = await connection.request(method, target, fields, body, echo)
            return head, await connection.read_body()
        finally:
            self.release(connection)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse if its response was complete, else close it."""
        idle_connections = self.idle.setdefault(connection.address, [])
        usable = connection.reusable and connection.complete and not connection.closed
        if not usable or len(idle_connections) >= self.max_idle:
            connection.close()
            return
        connection.on_idle_closed = self.remove_idle
        idle_connections.append(connection)

    def remove_idle(self, connection: ClientConnection) -> None:
        """Remove an idle connection that the server has closed."""
        idle_connections = self.idle.get(connection.address, [])
        if connection in idle_connections:
            idle_connections.remove(connection)

    def remove_address(self, address: str) -> None:
        """Close and remove the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.on_idle_closed = None
            connection.close()

    def close_some_idle(self, count: int) -> int:
        """Close up to `count` idle connections, and return how many were closed."""
        closed = 0
        for connections in list(self.idle.values()):
            while connections and closed < count:
                connection = connections.pop(0)
                connection.on_idle_closed = None
                connection.close()
                closed += 1
        return closed

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.remove_address(address)
