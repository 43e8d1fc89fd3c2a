"""Creation of HTTP client sessions."""

import ssl as ssl_module

import aiohttp

from turmericreach.http1.status import status_problem

__all__ = ["open_session"]

CONNECT_TIMEOUT_S = 2.0
# Servers commonly close connections after 5 s without a request. A request on a connection that
# the server is closing would leave unknown whether it was processed.
IDLE_TIMEOUT_S = 2.0
# With "Accept-Encoding" a server may compress its response, and no caller here decompresses.
OMITTED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")


class InvalidStatus(aiohttp.ClientPayloadError):
    """The status line of a response has no status of HTTP; the request may have run."""


class CheckedResponse(aiohttp.ClientResponse):
    """Response whose status is one of HTTP; all others are errors of the server."""

    async def start(self, connection) -> "CheckedResponse":
        """Read the head of the response.

        Raises
        ------
        InvalidStatus
            If the status is none, or answers a question that was not asked.
        """
        await super().start(connection)
        version = f"{self.version.major}.{self.version.minor}"
        problem = status_problem(self.status, version)
        if problem:
            raise InvalidStatus(problem)
        return self


def open_session(
    *,
    reuse: bool = True,
    ssl: ssl_module.SSLContext | None = None,
    max_connections: int = 0,
    total_timeout_s: float | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Open a session that never repeats a request by itself.

    Callers pass ``allow_redirects=False``: a redirect would submit a request a second time.

    Parameters
    ----------
    reuse : bool
        Whether connections are kept open. A server may close a kept connection just as a request
        is sent, which leaves unknown whether it ran, so non-idempotent requests use ``False``.
    ssl : ssl.SSLContext or None
        Context for ``https`` addresses.
    max_connections : int
        Connections open at the same time, 0 for no limit.
    total_timeout_s : float or None
        Longest time for a whole request in seconds.
    connect_timeout_s : float
        Longest time for opening a connection in seconds.

    Returns
    -------
    aiohttp.ClientSession
    """
    idle = {"keepalive_timeout": IDLE_TIMEOUT_S} if reuse else {"force_close": True}
    connector = aiohttp.TCPConnector(
        limit=max_connections, ssl=ssl if ssl is not None else True, **idle
    )
    session = aiohttp.ClientSession(
        connector=connector,
        response_class=CheckedResponse,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=total_timeout_s, sock_connect=connect_timeout_s),
        auto_decompress=False,
        skip_auto_headers=OMITTED_HEADERS,
    )
    # aiohttp offers no public switch for its retry of idempotent methods on reused connections.
    # tests/httpclient counts arrivals, so a release that renames the attribute fails there.
    session._retry_connection = False
    return session
