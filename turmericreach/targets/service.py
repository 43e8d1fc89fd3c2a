"""Adapter for targets that are plain HTTP services."""

import asyncio
from typing import Protocol

import aiohttp
import attrs
import yarl

from turmericreach.httpclient import (
    LeaveObserver,
    LimitObserver,
    ResponseTooLarge,
    check_length_known,
    observe_state,
    read_response,
    retry_after_s,
)
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["HttpService", "ResponseWriter", "ServiceCall"]

# Responses up to this size are buffered, so that they can be sent again; larger ones are streamed.
MAX_BUFFERED_BYTES = 64 * 1024
# Largest response for callers that do not accept a stream.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# A chunk of a stream is written once it has this size, or this many seconds after its first data.
COALESCE_BYTES = 16 * 1024
COALESCE_S = 0.02
REFUSED_STATUSES = (429, 503)
# Range of final HTTP statuses.
STATUSES_WITHOUT_BODY = (204, 304)
EVENT_STREAM = "text/event-stream"
# Headers that concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)


@attrs.frozen
class ServiceCall:
    """A request as it is sent to a target.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query, already percent-encoded.
    headers : list of (str, str)
        HTTP headers; those of a single connection are not sent.
    body : bytes
        HTTP body, empty for none.
    idempotent : bool
        Whether the request may be repeated after an unknown outcome.
    refusals_not_run : bool
        Whether the target guarantees that a request with the response 429 or 503 did not run.
    timeout_s : float
        Time limit in seconds for the whole call, including the response body.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool
    refusals_not_run: bool
    timeout_s: float


class ResponseWriter(Protocol):
    """Receives a streamed response."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive the status and headers."""

    async def write(self, data: bytes) -> None:
        """Receive one chunk of the body."""


class HttpService:
    """A target reached over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the target.
    session : aiohttp.ClientSession
        Session that reuses connections, for idempotent requests.
    fresh_session : aiohttp.ClientSession
        Session that opens a connection for each request, for non-idempotent requests. A target may
        close a reused connection while a request is being sent, and it would then be unknown
        whether the request ran.

    Attributes
    ----------
    on_limit : callable or None
        Receives the limit that each response names.
    on_leaving : callable or None
        Called for each response that announces that the target leaves.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ):
        self.url = url.rstrip("/")
        self.session = session
        self.fresh_session = fresh_session
        self.on_limit: LimitObserver | None = None
        self.on_leaving: LeaveObserver | None = None

    async def run(self, call: ServiceCall, writer: ResponseWriter | None) -> tuple[Outcome, bool]:
        """Send a request and return its outcome.

        Parameters
        ----------
        call : ServiceCall
            Request to send.
        writer : ResponseWriter or None
            Receives a streamed response; None if every response is to be buffered.

        Returns
        -------
        outcome : Outcome
            Verdict, and the response unless it was streamed.
        streamed : bool
            Whether the response was written to `writer`.
        """
        session = self.session if call.idempotent else self.fresh_session
        sent_at = asyncio.get_running_loop().time()
        try:
            async with session.request(
                call.method,
                yarl.URL(self.url + call.path, encoded=True),
                data=call.body or None,
                headers=end_to_end_headers(call.headers),
                skip_auto_headers=["Content-Type"],
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=2.0),
            ) as response:
                observe_state(response, sent_at, self.on_limit, self.on_leaving)
                return await self.handle_response(call, response, writer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return failed_outcome(Verdict.NOT_RUN, ErrorCode.TARGET_UNREACHABLE, error), False
        except TimeoutError as error:
            return failed_outcome(Verdict.MAY_HAVE_RUN, ErrorCode.TIMEOUT, error), False
        except (aiohttp.ClientError, ResponseTooLarge, OSError, ValueError) as error:
            return failed_outcome(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, error), False

    async def handle_response(self, call, response, writer) -> tuple[Outcome, bool]:
        """Buffer or stream a response; return its outcome and whether it was streamed."""
        check_length_known(response)
        headers = end_to_end_headers(
            [(decode_header(name), decode_header(value)) for name, value in response.raw_headers]
        )
        if response.method == "HEAD" and response.content_length is not None:
            headers.append(("Content-Length", str(response.content_length)))
        if response.status in REFUSED_STATUSES and call.refusals_not_run:
            await read_response(response, MAX_BUFFERED_BYTES)
            return refused_outcome(response), False
        if writer is not None and should_stream(response):
            return await self.stream_response(response, headers, writer), True
        body = await read_response(response, MAX_RESPONSE_BYTES)
        outcome = Outcome(
            Verdict.ANSWERED,
            status=response.status,
            headers=headers,
            body=body,
            evidence="target responded",
        )
        return outcome, False

    async def stream_response(self, response, headers, writer) -> Outcome:
        """Relay a response in coalesced chunks; the writer's window bounds the memory."""
        await writer.begin(response.status, headers)
        chunk = bytearray()
        reader = response.content
        at_end = False
        while not at_end:
            try:
                at_end = await fill_chunk(reader, chunk)
            except (aiohttp.ClientError, OSError):
                # Relays what arrived before the error; the error then ends the stream.
                await writer.write(bytes(chunk))
                raise
            if chunk:
                await writer.write(bytes(chunk))
                chunk.clear()
        return Outcome(
            Verdict.ANSWERED, status=response.status, evidence="target responded, streamed"
        )


def end_to_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those that concern a single connection."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [pair for pair in headers if pair[0].lower() not in dropped]


def decode_header(raw: bytes) -> str:
    """Decode a header as UTF-8, or as Latin-1 if it is not valid UTF-8."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


async def fill_chunk(reader: aiohttp.StreamReader, chunk: bytearray) -> bool:
    """Append data to a chunk for up to `COALESCE_S` or `COALESCE_BYTES`.

    Without coalescing, one message for each token would take most of a core at the token rate
    of a target.

    Returns
    -------
    bool
        Whether the response has ended.
    """
    data = await reader.readany()
    if not data:
        return True
    chunk.extend(data)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + COALESCE_S
    while len(chunk) < COALESCE_BYTES:
        remaining_s = deadline - loop.time()
        if remaining_s <= 0:
            return False
        try:
            async with asyncio.timeout(remaining_s):
                data = await reader.readany()
        except TimeoutError:
            return False
        if not data:
            return True
        chunk.extend(data)
    return False


def should_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response is streamed instead of buffered."""
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return False
    if response.content_type == EVENT_STREAM:
        return True
    length = response.content_length
    return length is None or length > MAX_BUFFERED_BYTES


def refused_outcome(response: aiohttp.ClientResponse) -> Outcome:
    """Return the outcome of a refusal by which the target guarantees that nothing ran."""
    return Outcome(
        Verdict.NOT_RUN,
        code=ErrorCode.OVERLOADED,
        status=response.status,
        retry_after_s=retry_after_s(response),
        evidence="target refused the request before it started",
    )


def failed_outcome(verdict: Verdict, code: ErrorCode, error: Exception) -> Outcome:
    """Return the outcome of a call without a complete response."""
    return Outcome(verdict, code=code, evidence=f"target: {error!r}")
