"""HTTP client of the object API."""

import asyncio
from urllib.parse import quote

import aiohttp
import yarl

from turmericreach.http1 import read_number
from turmericreach.httpclient import ResponseTooLarge, open_session, read_response, retry_after_s
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
from turmericreach.objectstore.protocol import (
    MAX_VALUE_BYTES,
    HostRecord,
    Listing,
    StoredObject,
    WatchResult,
)

__all__ = ["HttpObjectStore"]

DEFAULT_RETRY_AFTER_S = 1.0
# A listing holds many values, in base64.
MAX_LISTING_BYTES = 64 * 1024 * 1024


class HttpObjectStore:
    """An `ObjectStore` over HTTP.

    Parameters
    ----------
    url : str
        Base address.
    token : str
        Bearer token, empty for none.
    timeout_s : float
        Timeout of a call in seconds; a watch adds its own timeout.
    budget : CallBudget, optional
        Rate limit on the calls.
    ssl : ssl.SSLContext, optional
        Context for https.
    max_listing_bytes : int
        Largest response of a listing, a watch or the host list; a larger one counts as lost.
    """

    def __init__(
        self,
        url: str,
        token: str,
        timeout_s: float,
        budget: CallBudget | None = None,
        ssl=None,
        max_listing_bytes: int = MAX_LISTING_BYTES,
    ):
        self.url = url.rstrip("/")
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.timeout_s = timeout_s
        self.budget = budget
        self.ssl = ssl
        self.max_listing_bytes = max_listing_bytes
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            session, self.session = self.session, None
            await session.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        response, body = await self.read(object_path(kind, name))
        if response.status == 404:
            return None
        expect(response, 200)
        version = wire.read_etag(header(response, "ETag"))
        if version is None:
            raise Unavailable("the response has no valid ETag")
        return StoredObject(kind, name, body, version, revision_of(response))

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        response, body = await self.read(f"/objects/{encode(kind)}", self.max_listing_bytes)
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
        headers = {"Content-Type": "application/octet-stream"}
        if if_version is not None:
            headers["If-Match"] = wire.etag(if_version)
        if if_absent:
            headers["If-None-Match"] = "*"
        response, _ = await self.write("PUT", object_path(kind, name), headers, value)
        if response.status in (404, 409, 412):
            raise Conflict(f"{kind}/{name}: the condition of the write does not hold")
        expect(response, 200, 201, 204)
        version = wire.read_etag(header(response, "ETag"))
        if version is None:
            raise ResultUnknown("the response has no valid ETag")
        return StoredObject(kind, name, value, version, revision_of(response))

    async def delete(self, kind: str, name: str, if_version: int | None = None) -> bool:
        """Remove an object and return whether there was one."""
        headers = {} if if_version is None else {"If-Match": wire.etag(if_version)}
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
        response, body = await self.read(path, self.max_listing_bytes, timeout_s)
        if response.status == 410:
            raise WatchExpired(f"{kind}: revision {since} is too old")
        expect(response, 200)
        return wire.read_watch(body)

    async def hosts(self) -> "list[HostRecord]":
        """Return the platform's hosts."""
        response, body = await self.read("/hosts", self.max_listing_bytes)
        expect(response, 200)
        return wire.read_hosts(body)

    async def read(
        self, path: str, max_bytes: int = MAX_VALUE_BYTES, extra_s: float = 0.0
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send a call that changes nothing; a lost response raises `Unavailable`."""
        try:
            return await self.call("GET", path, {}, None, self.timeout_s + extra_s, max_bytes)
        except ResultUnknown as error:
            raise Unavailable(str(error)) from None

    async def write(self, method, path, headers, value=None):
        """Send a call that changes an object; a lost response raises `ResultUnknown`."""
        return await self.call(method, path, headers, value, self.timeout_s, MAX_VALUE_BYTES)

    async def call(
        self, method, path, headers, value, timeout_s, max_bytes
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send a request once and return its response and body."""
        if self.budget is not None:
            await self.budget.acquire()
        session = self.open_session()
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.request(
                    method,
                    yarl.URL(self.url + path, encoded=True),
                    headers={**self.headers, **headers},
                    data=value,
                    allow_redirects=False,
                ) as response,
            ):
                body = await read_response(response, max_bytes)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise Unavailable(f"not sent: {describe(error)}") from None
        except TimeoutError:
            raise ResultUnknown(f"no response within {timeout_s:g} s") from None
        except ResponseTooLarge as error:
            raise ResultUnknown(str(error)) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise ResultUnknown(f"connection failed: {describe(error)}") from None
        check_status(response)
        return response, body

    def open_session(self) -> aiohttp.ClientSession:
        """Return the session, opened at the first call inside the running loop."""
        if self.session is None:
            self.session = open_session(ssl=self.ssl, connect_timeout_s=self.timeout_s / 2)
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


def header(response: aiohttp.ClientResponse, name: str) -> str:
    """Return a header, empty if there is none."""
    return response.headers.get(name, "")


def revision_of(response: aiohttp.ClientResponse) -> int:
    """Return the global revision of a response, 0 if it has none."""
    return read_number(header(response, "Turmericreach-Revision")) or 0


def check_status(response: aiohttp.ClientResponse) -> None:
    """Raise for the statuses that have the same meaning for every call."""
    if response.status == 429:
        raise RateLimited(retry_after_s(response, DEFAULT_RETRY_AFTER_S))
    if response.status == 413:
        raise ValueTooLarge("the object API rejected the value as too large")
    if response.status == 503:
        raise Unavailable("the object API responded with status 503")
    if response.status >= 500:
        raise ResultUnknown(f"the object API responded with status {response.status}")


def expect(response: aiohttp.ClientResponse, *statuses: int) -> None:
    """Raise if the status is none of the expected ones."""
    if response.status not in statuses:
        raise ObjectStoreError(f"the object API responded with status {response.status}")
