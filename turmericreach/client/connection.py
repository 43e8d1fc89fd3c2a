"""HTTP calls to the gateways, with retries and failover between their addresses."""

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
MAX_RESPONSE_BYTES = 256 * 1024 * 1024
RETRYABLE_STATUSES = (408, 429, 502, 503, 504)
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class ApiError(TurmericreachError):
    """An error response of a gateway, an invalid response, or none at all.

    Attributes
    ----------
    status : int
        HTTP status, 0 if no complete response was received.
    code : str
        Stable error code of the response, empty if it has none.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float
        Seconds that the gateway asks to wait before a retry, 0 if it sent no such time.
    retryable : bool
        Whether a retry of an idempotent call may succeed.
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
    """Exponential backoff with jitter between retries, up to a deadline.

    Parameters
    ----------
    retry_timeout_s : float
        Seconds from now after which no further retry starts.
    """

    def __init__(self, retry_timeout_s: float):
        self.deadline = asyncio.get_running_loop().time() + retry_timeout_s
        self.pause_s = BACKOFF_START_S

    async def wait(self, minimum_s: float = 0.0) -> bool:
        """Pause for at least `minimum_s`; return False at once if that would pass the deadline."""
        pause_s = max(self.pause_s, minimum_s) * (1 + random.uniform(0, BACKOFF_JITTER))
        if asyncio.get_running_loop().time() + pause_s > self.deadline:
            return False
        await asyncio.sleep(pause_s)
        self.pause_s = min(BACKOFF_MAX_S, self.pause_s * 2)
        return True


class ApiConnection:
    """HTTP connection to one of several gateways; an async context manager.

    Parameters
    ----------
    urls : list of str
        Base URLs of the gateways, in the order in which they are tried.
    token : str
        Bearer token, empty for none.
    ssl : ssl.SSLContext or None
        TLS context for https URLs, None for the default.

    Attributes
    ----------
    current : int
        Index of the gateway that the next call uses.
    """

    def __init__(self, urls: list[str], token: str = "", ssl=None):
        if not urls:
            raise ValueError("at least one gateway URL is required")
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
        response_type=dict,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        """Make one call to the current gateway; if the gateway fails, later calls use the next one.

        Parameters
        ----------
        method, path : str
            HTTP method, and path below the base URL of the gateway.
        body : object, optional
            Request body, which is encoded as JSON.
        response_type : type
            Type as which the JSON of the response is decoded.
        timeout_s : float
            Timeout of the whole call in seconds.

        Raises
        ------
        ApiError
            If there was no valid response, or one with a status of 300 or above.
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
                raw = await read_response(response, MAX_RESPONSE_BYTES)
        except NOT_SENT_ERRORS as error:
            self.switch_gateway(url)
            raise ApiError(f"{url}: {error}", verdict=Verdict.NOT_RUN) from error
        except ResponseTooLarge as error:
            raise ApiError(f"{url}: {error}", retryable=False) from error
        except (aiohttp.ClientError, OSError) as error:
            self.switch_gateway(url)
            raise ApiError(f"{url}: {error!r}") from error
        if response.status >= 300:
            raise self.handle_error_response(url, response, raw)
        try:
            return msgspec.json.decode(raw or b"{}", type=response_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.switch_gateway(url)
            message = f"{url}: malformed response: {error}"
            raise ApiError(message, response.status, retryable=True) from error

    def handle_error_response(
        self, url: str, response: aiohttp.ClientResponse, raw: bytes
    ) -> ApiError:
        """Return the exception for an error response; switch gateways if a retry may succeed."""
        status = response.status
        header_s = retry_after_s(response)
        if status in RETRYABLE_STATUSES:
            self.switch_gateway(url)
        try:
            error = msgspec.json.decode(raw, type=dict).get("error", {})
            return ApiError(
                f"{url}: {error.get('message', '')}",
                status,
                str(error.get("code", "")),
                Verdict(error.get("verdict", Verdict.MAY_HAVE_RUN)),
                float(error.get("retry_after_s") or header_s),
            )
        except (msgspec.DecodeError, ValueError, TypeError, AttributeError, RecursionError):
            return ApiError(f"{url}: status {status}", status, retry_after_s=header_s)

    def switch_gateway(self, url: str) -> None:
        """Use the next gateway for later calls, unless another call has switched already."""
        if self.urls[self.current] != url:
            return
        self.current = (self.current + 1) % len(self.urls)

    async def call_with_retries(
        self,
        method: str,
        path: str,
        body=None,
        response_type=dict,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        retry_timeout_s: float = RETRY_TIMEOUT_S,
    ):
        """Make an idempotent call and retry it until it succeeds or the time for retries is over.

        Parameters
        ----------
        method, path, body, response_type, timeout_s : object
            As in `call`.
        retry_timeout_s : float
            Seconds after which no further retry starts.

        Raises
        ------
        ApiError
            The last error; an error that a retry cannot change is raised at once.
        """
        backoff = Backoff(retry_timeout_s)
        while True:
            try:
                return await self.call(method, path, body, response_type, timeout_s)
            except ApiError as error:
                if not error.retryable or not await backoff.wait(error.retry_after_s):
                    raise
