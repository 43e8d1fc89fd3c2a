"""Connection pools that drop idle connections before the server closes them."""

from blacksheep.client.connection import HTTPConnection
from blacksheep.client.pool import ConnectionPool, ConnectionPools

__all__ = ["IDLE_TIMEOUT_S", "FreshPools"]

# Servers commonly close connections after 5 s without a call.
IDLE_TIMEOUT_S = 2.0


class FreshPool(ConnectionPool):
    """Pool that hands out no connection that was idle for too long or is closed by the server.

    The library checks the idle time for HTTP/2 only. A write on a connection that the server has
    closed would end as unknown.
    """

    async def get_connection(self) -> HTTPConnection:
        """Return a connection that is likely to work."""
        while True:
            connection = await super().get_connection()
            if connection.is_alive() and not connection.reader.at_eof():
                return connection
            await connection.close()


class FreshPools(ConnectionPools):
    """Pools of `FreshPool`, HTTP/1.1 only."""

    def __init__(self):
        super().__init__(http2=False, idle_timeout=IDLE_TIMEOUT_S)
        self.pools: dict[tuple, FreshPool] = {}

    def get_pool(self, scheme, host, port, ssl) -> FreshPool:
        """Return the pool of an origin."""
        key = (scheme, host, port or (443 if scheme == b"https" else 80))
        if key not in self.pools:
            self.pools[key] = FreshPool(*key, ssl, http2=False, idle_timeout=self.idle_timeout)
        return self.pools[key]

    async def dispose(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.dispose()
        self.pools.clear()
