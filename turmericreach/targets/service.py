"""Passing an ordinary request to a target and its answer back."""

import asyncio
from typing import Protocol

import aiohttp
import attrs
import yarl

from turmericreach.httpclient import (
    AnswerTooLarge,
    check_length_known,
    read_answer,
    retry_after_s,
)
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["AnswerWriter", "HttpService", "ServiceCall"]

# Answers up to this size travel whole, so that they can still be repeated; larger ones stream.
MAX_WHOLE_ANSWER_BYTES = 64 * 1024
# Bound on answers to callers that take no stream.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
COALESCE_BYTES = 16 * 1024
COALESCE_S = 0.02
REFUSED_STATUSES = (429, 503)
LOWEST_STATUS = 200
HIGHEST_STATUS = 599
STATUSES_WITHOUT_BODY = (204, 304)
EVENT_STREAM = "text/event-stream"
HOP_HEADERS = frozenset(
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
    """An ordinary request as it goes to a target.

    Attributes
    ----------
    refusals_not_run : bool
        Whether the target promises that a 429 or 503 means that the request did not run.
    timeout_s : float
        Longest time for the whole answer.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool
    refusals_not_run: bool
    timeout_s: float


class AnswerWriter(Protocol):
    """Takes a streamed answer."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the status line and headers."""

    async def write(self, data: bytes) -> None:
        """Take one chunk."""


class HttpService:
    """A target reached over HTTP.

    Parameters
    ----------
    url : str
        Base address.
    session : aiohttp.ClientSession
        Session that keeps connections, for idempotent requests.
    fresh_session : aiohttp.ClientSession
        Session that opens a connection for each request. A target may close a kept connection
        just as a request is sent, which would leave unknown whether an order ran.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ):
        self.url = url.rstrip("/")
        self.session = session
        self.fresh_session = fresh_session

    async def run(self, call: ServiceCall, writer: AnswerWriter | None) -> tuple[Outcome, bool]:
        """Send a request and return its outcome.

        Returns
        -------
        outcome : Outcome
        streamed : bool
            Whether the answer went through `writer`.
        """
        session = self.session if call.idempotent else self.fresh_session
        try:
            async with session.request(
                call.method,
                yarl.URL(self.url + call.path, encoded=True),
                data=call.body or None,
                headers=end_to_end(call.headers),
                skip_auto_headers=["Content-Type"],
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=2.0),
            ) as response:
                return await self.read_answer(call, response, writer)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return failed(Verdict.NOT_RUN, ErrorCode.TARGET_UNREACHABLE, error), False
        except TimeoutError as error:
            return failed(Verdict.MAY_HAVE_RUN, ErrorCode.TIMEOUT, error), False
        except (aiohttp.ClientError, AnswerTooLarge, OSError, ValueError) as error:
            return failed(Verdict.MAY_HAVE_RUN, ErrorCode.TARGET_FAILED, error), False

    async def read_answer(self, call, response, writer) -> tuple[Outcome, bool]:
        """Read a whole answer or stream it on."""
        if not LOWEST_STATUS <= response.status <= HIGHEST_STATUS:
            raise ValueError(f"status {response.status} is no final status")
        check_length_known(response)
        headers = end_to_end([(text(name), text(value)) for name, value in response.raw_headers])
        if response.method == "HEAD" and response.content_length is not None:
            headers.append(("Content-Length", str(response.content_length)))
        if response.status in REFUSED_STATUSES and call.refusals_not_run:
            await read_answer(response, MAX_WHOLE_ANSWER_BYTES)
            return refused(response), False
        if writer is not None and should_stream(response):
            return await self.stream_answer(response, headers, writer), True
        body = await read_answer(response, MAX_ANSWER_BYTES)
        outcome = Outcome(
            Verdict.ANSWERED,
            status=response.status,
            headers=headers,
            body=body,
            evidence="target answered",
        )
        return outcome, False

    async def stream_answer(self, response, headers, writer) -> Outcome:
        """Pass an answer on in coalesced chunks; memory is bounded by the writer's window."""
        await writer.begin(response.status, headers)
        waiting = bytearray()
        reader = response.content
        at_end = False
        while not at_end:
            try:
                at_end = await fill_chunk(reader, waiting)
            except (aiohttp.ClientError, OSError):
                # What arrived before the fault is passed on; the stream then ends with the fault.
                await writer.write(bytes(waiting))
                raise
            if waiting:
                await writer.write(bytes(waiting))
                waiting.clear()
        return Outcome(
            Verdict.ANSWERED, status=response.status, evidence="target answered, streamed"
        )


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are not only for one connection."""
    dropped = set(HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return [pair for pair in headers if pair[0].lower() not in dropped]


def text(raw: bytes) -> str:
    """Return a header as text; one that is not UTF-8 is read as Latin-1."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


async def fill_chunk(reader: aiohttp.StreamReader, waiting: bytearray) -> bool:
    """Collect data for up to `COALESCE_S` or `COALESCE_BYTES`; return whether it is the end.

    One message for each token would cost most of a core at the target's token rate.
    """
    data = await reader.readany()
    if not data:
        return True
    waiting.extend(data)
    loop = asyncio.get_running_loop()
    ends = loop.time() + COALESCE_S
    while len(waiting) < COALESCE_BYTES:
        left_s = ends - loop.time()
        if left_s <= 0:
            return False
        try:
            async with asyncio.timeout(left_s):
                data = await reader.readany()
        except TimeoutError:
            return False
        if not data:
            return True
        waiting.extend(data)
    return False


def should_stream(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer is passed on piece by piece."""
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return False
    if response.content_type == EVENT_STREAM:
        return True
    length = response.content_length
    return length is None or length > MAX_WHOLE_ANSWER_BYTES


def refused(response: aiohttp.ClientResponse) -> Outcome:
    """Return the outcome of a refusal that proves that the request did not run."""
    return Outcome(
        Verdict.NOT_RUN,
        code=ErrorCode.OVERLOADED,
        status=response.status,
        retry_after_s=retry_after_s(response),
        evidence="target refused before it started",
    )


def failed(verdict: Verdict, code: ErrorCode, error: Exception) -> Outcome:
    """Return the outcome of a call without an answer."""
    return Outcome(verdict, code=code, evidence=f"target: {error!r}")
