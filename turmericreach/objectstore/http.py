"""The object API over HTTP."""

import asyncio
import math
from urllib.parse import quote

from blacksheep import Content, Request, Response
from blacksheep.client import ClientSession
from blacksheep.client.exceptions import ConnectionTimeout

from turmericreach.objectstore import wire
from turmericreach.objectstore.budget import CallBudget
from turmericreach.objectstore.errors import (
    Conflict,
    ObjectStoreError,
    RateLimited,
    ResultUnknown,
    Unavailable,
    ValueTooLarge,
    WatchExpired,
)
from turmericreach.objectstore.pool import FreshPools
from turmericreach.objectstore.protocol import (
    MAX_VALUE_BYTES,
    HostRecord,
    Listing,
    StoredObject,
    WatchResult,
)

__all__ = ["HttpObjectStore"]

DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# The session's own time-out is off: one time-out around each call covers the body as well.
SESSION_TIMEOUT_S = 3600.0


class HttpObjectStore:
    """An `ObjectStore` over HTTP.

    Parameters
    ----------
    url : str
        Base address.
    token : str
        Bearer token, empty for none.
    timeout_s : float
        Longest time of a call; a watch may take its own time-out in addition.
    budget : CallBudget, optional
        Bound on the calls a second.
    ssl : ssl.SSLContext, optional
        Context for https.
    """

    def __init__(
        self, url: str, token: str, timeout_s: float, budget: CallBudget | None = None, ssl=None
    ):
        self.url = url.rstrip("/")
        self.headers = [(b"Authorization", f"Bearer {token}".encode())] if token else []
        self.timeout_s = timeout_s
        self.budget = budget
        self.ssl = ssl
        self.session: ClientSession | None = None
        self.pools = FreshPools()

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            session, self.session = self.session, None
            await session.close()
            await self.pools.dispose()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        response, body = await self.read(object_path(kind, name))
        if response.status == 404:
            return None
        expect(response, 200)
        version = wire.read_etag(header(response, b"ETag"))
        if version is None:
            raise Unavailable("the answer has no valid ETag")
        return StoredObject(kind, name, body, version, revision_of(response))

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        response, body = await self.read(f"/objects/{encode(kind)}")
        expect(response, 200)
        return wire.read_listing(kind, body)

    async def put(
        self,
        kind: str,
        name: str,
        value: bytes,
        if_version: int | None = None,
        if_absent: bool = False,
    ) -> StoredObject:
        """Write an object, see `ObjectStore.put`."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{kind}/{name}: {len(value)} bytes, limit {MAX_VALUE_BYTES}")
        headers = []
        if if_version is not None:
            headers.append((b"If-Match", wire.etag(if_version)))
        if if_absent:
            headers.append((b"If-None-Match", b"*"))
        response, _ = await self.write("PUT", object_path(kind, name), headers, value)
        if response.status in (404, 409, 412):
            raise Conflict(f"{kind}/{name}: the condition of the write does not hold")
        expect(response, 200, 201, 204)
        version = wire.read_etag(header(response, b"ETag"))
        if version is None:
            raise ResultUnknown("the answer has no valid ETag")
        return StoredObject(kind, name, value, version, revision_of(response))

    async def delete(self, kind: str, name: str, if_version: int | None = None) -> bool:
        """Remove an object and return whether there was one."""
        headers = [] if if_version is None else [(b"If-Match", wire.etag(if_version))]
        response, _ = await self.write("DELETE", object_path(kind, name), headers)
        if response.status == 404:
            return False
        if response.status in (409, 412):
            raise Conflict(f"{kind}/{name}: the condition of the deletion does not hold")
        expect(response, 200, 204)
        return True

    async def watch(self, kind: str, since: int, timeout_s: float) -> WatchResult:
        """Wait for changes after a revision, see `ObjectStore.watch`."""
        path = f"/watch/{encode(kind)}?since={since}&timeout_s={timeout_s:g}"
        response, body = await self.read(path, timeout_s)
        if response.status == 410:
            raise WatchExpired(f"{kind}: revision {since} is too old")
        expect(response, 200)
        return wire.read_watch(body)

    async def hosts(self) -> "list[HostRecord]":
        """Return the platform's hosts."""
        response, body = await self.read("/hosts")
        expect(response, 200)
        return wire.read_hosts(body)

    async def read(self, path: str, extra_s: float = 0.0) -> tuple[Response, bytes]:
        """Send a call without effect; a lost answer is `Unavailable`."""
        try:
            return await self.call("GET", path, [], None, self.timeout_s + extra_s)
        except ResultUnknown as error:
            raise Unavailable(str(error)) from None

    async def write(self, method, path, headers, value=None) -> tuple[Response, bytes]:
        """Send a call with an effect."""
        return await self.call(method, path, headers, value, self.timeout_s)

    async def call(self, method, path, headers, value, timeout_s) -> tuple[Response, bytes]:
        """Send one request once and return its answer with the body."""
        if self.budget is not None:
            await self.budget.acquire()
        session = self.open_session()
        request = Request(method, (self.url + path).encode(), [*self.headers, *headers])
        if value is not None:
            request = request.with_content(Content(b"application/octet-stream", value))
        try:
            async with asyncio.timeout(timeout_s):
                response = await session.send(request)
                body = await response.read() or b""
        except (ConnectionRefusedError, ConnectionTimeout) as error:
            raise Unavailable(f"not sent: {describe(error)}") from None
        except TimeoutError:
            raise ResultUnknown(f"no answer within {timeout_s:g} s") from None
        except Exception as error:
            # Besides OSError, the client lets errors of its parser (h11) through; none of them
            # tells whether the request arrived.
            raise ResultUnknown(f"connection failed: {describe(error)}") from None
        check_status(response)
        return response, body

    def open_session(self) -> ClientSession:
        """Return the session, opened at the first call inside the running loop.

        The client's retries, redirects and cookies are off, since a repeated write could take
        effect twice.
        """
        if self.session is None:
            self.session = ClientSession(
                ssl=self.ssl,
                follow_redirects=False,
                cookie_jar=False,
                pools=self.pools,
                max_connection_retries=0,
                connection_timeout=self.timeout_s / 2,
                request_timeout=SESSION_TIMEOUT_S,
            )
        return self.session


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f"/objects/{encode(kind)}/{encode(name)}"


def encode(text: str) -> str:
    """Percent-encode a whole path segment.

    Dots are encoded too, because a client or proxy may resolve ``.`` and ``..``.
    """
    return quote(text, safe="").replace(".", "%2E")


def describe(error: Exception) -> str:
    """Return the class and text of an error."""
    return f"{type(error).__name__}: {error}".rstrip(": ")


def header(response: Response, name: bytes) -> bytes:
    """Return a header, empty if there is none."""
    return response.get_first_header(name) or b""


def revision_of(response: Response) -> int:
    """Return the global revision of an answer, 0 if it has none."""
    text = header(response, b"Turmericreach-Revision")
    return int(text) if text.isdigit() else 0


def check_status(response: Response) -> None:
    """Raise for the statuses that mean the same for every call."""
    if response.status == 429:
        raise RateLimited(retry_after_s(header(response, b"Retry-After")))
    if response.status == 413:
        raise ValueTooLarge("the object API refused the size of the value")
    if response.status == 503:
        raise Unavailable("the object API answered 503")
    if response.status >= 500:
        raise ResultUnknown(f"the object API answered {response.status}")


def retry_after_s(text: bytes) -> float:
    """Return the seconds of a Retry-After header within bounds."""
    try:
        seconds = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not math.isfinite(seconds):
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)


def expect(response: Response, *statuses: int) -> None:
    """Raise if the status is none of the expected ones."""
    if response.status not in statuses:
        raise ObjectStoreError(f"the object API answered {response.status}")
