"""Calls to the gateways, with failover between entry addresses."""

import asyncio
import random

import aiohttp
import msgspec

from turmericreach.httpclient import open_session
from turmericreach.verdicts import TurmericreachError, Verdict

__all__ = ["ApiConnection", "ApiError"]

BACKOFF_START_S = 0.1
BACKOFF_MAX_S = 5.0
BACKOFF_JITTER = 0.3
DEFAULT_TIMEOUT_S = 30.0
RETRYABLE_STATUSES = (429, 502, 503, 504)


class ApiError(TurmericreachError):
    """An error answer of a gateway, or no answer at all.

    Attributes
    ----------
    status : int
        HTTP status, 0 if there was no answer.
    code : str
        Stable error code, empty if there was no answer.
    verdict : Verdict
        Whether the request may have run.
    """

    def __init__(
        self,
        message: str,
        status: int = 0,
        code: str = "",
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
        retry_after_s: float = 0.0,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class ApiConnection:
    """Calls the gateways at one or more entry addresses.

    Parameters
    ----------
    urls : list of str
        Base addresses of the gateways.
    token : str
        Bearer token, empty for none.
    ssl : ssl.SSLContext or None
    """

    def __init__(self, urls: list[str], token: str = "", ssl=None):
        if not urls:
            raise ValueError("at least one gateway address is needed")
        self.urls = [url.rstrip("/") for url in urls]
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.ssl = ssl
        self.current = 0
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "ApiConnection":
        self.session = open_session(ssl=self.ssl)
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.session.close()

    async def call(
        self,
        method: str,
        path: str,
        body=None,
        answer_type=dict,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        """Make one call to the current gateway and move to the next one if it fails.

        Raises
        ------
        ApiError
        """
        data = None if body is None else msgspec.json.encode(body)
        url = self.urls[self.current]
        try:
            async with self.session.request(
                method,
                url + path,
                data=data,
                headers=self.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=2.0),
            ) as response:
                raw = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            self.next_gateway()
            raise ApiError(f"{url}: {error}", verdict=Verdict.NOT_RUN) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.next_gateway()
            raise ApiError(f"{url}: {error!r}") from error
        if status >= 300:
            raise self.read_error(url, status, raw)
        try:
            return msgspec.json.decode(raw or b"{}", type=answer_type)
        except msgspec.DecodeError as error:
            raise ApiError(f"{url}: malformed answer: {error}", status) from error

    def read_error(self, url: str, status: int, raw: bytes) -> ApiError:
        """Return the error of an unsuccessful answer."""
        if status in RETRYABLE_STATUSES:
            self.next_gateway()
        try:
            error = msgspec.json.decode(raw, type=dict).get("error", {})
            return ApiError(
                f"{url}: {error.get('message', '')}",
                status,
                str(error.get("code", "")),
                Verdict(error.get("verdict", Verdict.MAY_HAVE_RUN)),
                float(error.get("retry_after_s") or 0.0),
            )
        except (msgspec.DecodeError, ValueError, AttributeError):
            return ApiError(f"{url}: status {status}", status)

    def next_gateway(self) -> None:
        """Use another entry address for the next call."""
        self.current = (self.current + 1) % len(self.urls)

    async def call_repeatedly(
        self,
        method: str,
        path: str,
        body=None,
        answer_type=dict,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        patience_s: float = 120.0,
    ):
        """Make an idempotent call and repeat it until it is answered or patience ends.

        Raises
        ------
        ApiError
            The last error, or at once an error that a repetition cannot change.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + patience_s
        backoff_s = BACKOFF_START_S
        while True:
            try:
                return await self.call(method, path, body, answer_type, timeout_s)
            except ApiError as error:
                final = error.status and error.status not in RETRYABLE_STATUSES
                pause_s = max(backoff_s, error.retry_after_s)
                pause_s *= 1 + random.uniform(0, BACKOFF_JITTER)
                if final or loop.time() + pause_s > ends:
                    raise
                await asyncio.sleep(pause_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
