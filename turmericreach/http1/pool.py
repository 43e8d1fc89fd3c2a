"""Kept connections by address."""

import asyncio

from turmericreach.http1.client import ClientConnection, ResponseHead, connect

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Keeps idle connections for further requests.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a new connection.
    max_idle : int
        Idle connections kept for each address.
    """

    def __init__(self, connect_timeout_s: float, max_idle: int = 8):
        self.connect_timeout_s = connect_timeout_s
        self.max_idle = max_idle
        self.idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0

    def take_idle(self, address: str) -> ClientConnection | None:
        """Return the most recently used connection that is still usable, or None."""
        kept = self.idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            connection.on_idle_end = None
            if connection.closed or not connection.reusable:
                continue
            if now - connection.idle_since >= connection.idle_limit_s:
                connection.close()
                continue
            return connection
        return None

    async def acquire(self, address: str, fresh: bool = False) -> ClientConnection:
        """Return a connection; with `fresh`, one that has carried no request.

        Raises
        ------
        ConnectFailed
            If none could be made.
        """
        if not fresh:
            connection = self.take_idle(address)
            if connection is not None:
                return connection
        self.opened += 1
        return await connect(address, self.connect_timeout_s)

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes = b"",
        echo: tuple[str, str] | None = None,
    ) -> tuple[ResponseHead, bytes]:
        """Make a request and return its whole response.

        Raises
        ------
        ConnectFailed
            If nothing was sent.
        ResponseIncomplete
            If the response is not complete; the request may have run.
        """
        connection = await self.acquire(address)
        try:
            head = await connection.request(method, target, fields, body, echo)
            return head, await connection.read_body()
        finally:
            self.release(connection)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection whose response was complete, or end it."""
        kept = self.idle.setdefault(connection.address, [])
        usable = connection.reusable and connection.complete and not connection.closed
        if not usable or len(kept) >= self.max_idle:
            connection.close()
            return
        connection.on_idle_end = self.forget
        kept.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop an idle connection that its server closed."""
        kept = self.idle.get(connection.address, [])
        if connection in kept:
            kept.remove(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.on_idle_end = None
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.drop(address)
