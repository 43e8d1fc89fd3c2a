"""Calls to the gateways, with failover between entry addresses."""

import asyncio
import random

import aiohttp
import msgspec

from turmericreach.httpclient import ResponseTooLarge, open_session, read_response, retry_after_s
from turmericreach.verdicts import TurmericreachError, Verdict

__all__ = ["ApiConnection", "ApiError", "Backoff"]

BACKOFF_START_S = 0.1
BACKOFF_MAX_S = 5.0
BACKOFF_JITTER = 0.3
DEFAULT_TIMEOUT_S = 30.0
RETRY_TIMEOUT_S = 120.0
MAX_ANSWER_BYTES = 256 * 1024 * 1024
RETRYABLE_STATUSES = (408, 429, 502, 503, 504)
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


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
    retry_after_s : float
        Seconds after which the gateway asks to be called again, 0 if it named none.
    retryable : bool
        Whether a repetition of an idempotent call may succeed.
    """

    def __init__(
        self,
        message: str,
        status: int = 0,
        code: str = "",
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
        retry_after_s: float = 0.0,
        retryable: bool | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.retryable = status in (0, *RETRYABLE_STATUSES) if retryable is None else retryable


class Backoff:
    """Growing pauses between repetitions, until the time for repetitions is over.

    Parameters
    ----------
    retry_timeout_s : float
        Seconds from now after which no further repetition starts.
    """

    def __init__(self, retry_timeout_s: float):
        self.ends = asyncio.get_running_loop().time() + retry_timeout_s
        self.pause_s = BACKOFF_START_S

    async def wait(self, least_s: float = 0.0) -> bool:
        """Pause for at least `least_s`; return False at once if the time would end before."""
        pause_s = max(self.pause_s, least_s) * (1 + random.uniform(0, BACKOFF_JITTER))
        if asyncio.get_running_loop().time() + pause_s > self.ends:
            return False
        await asyncio.sleep(pause_s)
        self.pause_s = min(BACKOFF_MAX_S, self.pause_s * 2)
        return True


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
                raw = await read_response(response, MAX_ANSWER_BYTES)
        except NOT_SENT_ERRORS as error:
            self.leave_gateway(url)
            raise ApiError(f"{url}: {error}", verdict=Verdict.NOT_RUN) from error
        except ResponseTooLarge as error:
            raise ApiError(f"{url}: {error}", retryable=False) from error
        except (aiohttp.ClientError, OSError) as error:
            self.leave_gateway(url)
            raise ApiError(f"{url}: {error!r}") from error
        if response.status >= 300:
            raise self.read_error(url, response, raw)
        try:
            return msgspec.json.decode(raw or b"{}", type=answer_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.leave_gateway(url)
            message = f"{url}: malformed answer: {error}"
            raise ApiError(message, response.status, retryable=True) from error

    def read_error(self, url: str, response: aiohttp.ClientResponse, raw: bytes) -> ApiError:
        """Return the error of an unsuccessful answer."""
        status = response.status
        named_s = retry_after_s(response)
        if status in RETRYABLE_STATUSES:
            self.leave_gateway(url)
        try:
            error = msgspec.json.decode(raw, type=dict).get("error", {})
            return ApiError(
                f"{url}: {error.get('message', '')}",
                status,
                str(error.get("code", "")),
                Verdict(error.get("verdict", Verdict.MAY_HAVE_RUN)),
                float(error.get("retry_after_s") or named_s),
            )
        except (msgspec.DecodeError, ValueError, TypeError, AttributeError, RecursionError):
            return ApiError(f"{url}: status {status}", status, retry_after_s=named_s)

    def leave_gateway(self, url: str) -> None:
        """Use another entry address for the next call, unless another call has moved already."""
        if self.urls[self.current] != url:
            return
        self.current = (self.current + 1) % len(self.urls)

    async def call_repeatedly(
        self,
        method: str,
        path: str,
        body=None,
        answer_type=dict,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        retry_timeout_s: float = RETRY_TIMEOUT_S,
    ):
        """Make an idempotent call and repeat it until it is answered or its time is over.

        Raises
        ------
        ApiError
            The last error, or at once an error that a repetition cannot change.
        """
        backoff = Backoff(retry_timeout_s)
        while True:
            try:
                return await self.call(method, path, body, answer_type, timeout_s)
            except ApiError as error:
                if not error.retryable or not await backoff.wait(error.retry_after_s):
                    raise
