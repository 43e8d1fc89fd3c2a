"""Adapter for engines that speak the OpenAI-compatible completions protocol."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from urllib.parse import quote

import aiohttp

from turmericreach.httpclient import (
    LeaveObserver,
    LimitObserver,
    ResponseTooLarge,
    check_length_known,
    observe_state,
    read_response,
    retry_after_s,
)
from turmericreach.targets.engine import (
    EngineError,
    EngineLoad,
    EngineOrder,
    EngineVersion,
    Generation,
    GenerationRequest,
    OrderKind,
    OrderRefused,
)
from turmericreach.targets.labels import LabelBuilder
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["OpenAIEngine"]

CONTROL_TIMEOUT_S = 5.0
# Loading weights into the engine's memory may take long; the caller limits the rate of such orders.
ORDER_TIMEOUT_S = 120.0
CANCEL_TIMEOUT_S = 2.0
MAX_CONTROL_BYTES = 4 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024
MAX_KV_BYTES = 64 * 1024 * 1024
MAX_COMPLETION_CHARS = 8 * 1024 * 1024
# Other reasons, such as "cancelled" or "abort", mark an incomplete completion.
COMPLETE_FINISH_REASONS = ("stop", "length")
# Errors of connecting, after which no part of the request can have been sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
DATA_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"
REFUSED_STATUSES = (429, 503)
CONFLICT_STATUS = 409
ARGUMENT_FIELDS = {OrderKind.LOAD_ADAPTER: "adapter", OrderKind.ROLE: "role"}


class OpenAIEngine:
    """An engine with an OpenAI-compatible HTTP interface.

    Parameters
    ----------
    url : str
        Base URL of the engine.
    session : aiohttp.ClientSession
        Session for all calls to the engine.
    model : str
        Model name for the ``model`` field of completion requests.

    Attributes
    ----------
    cancellations : set of asyncio.Task
        Calls in progress that cancel completions.
    on_limit : callable or None
        Receives the limit that the response to each completion names.
    on_leaving : callable or None
        Called for each such response that announces that the engine leaves.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, model: str = ""):
        self.url = url.rstrip("/")
        self.session = session
        self.model = model
        # Keeps the tasks alive, since the event loop holds only weak references to them.
        self.cancellations: set[asyncio.Task] = set()
        self.on_limit: LimitObserver | None = None
        self.on_leaving: LeaveObserver | None = None

    async def generate(self, request: GenerationRequest) -> Generation:
        """Generate a completion; cancelling the call cancels the completion at the engine."""
        body = {
            "model": self.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "temperature": request.temperature,
            "seed": request.seed,
            "priority": request.priority,
            "request_id": request.request_id,
            "stream": True,
        }
        return await self.stream_completion("/v1/completions", body, request.request_id)

    async def resume(self, request_id: str, from_token: int) -> Generation:
        """Resume an interrupted completion from the token at index `from_token`."""
        body = {"request_id": request_id, "from_token": from_token}
        return await self.stream_completion("/v1/resume", body, request_id)

    async def stream_completion(self, path: str, body: dict, request_id: str) -> Generation:
        """Request a streamed completion and return it with its label.

        Raises
        ------
        EngineError
            If the engine refuses the request or the stream is interrupted or malformed.
        """
        sent_at = asyncio.get_running_loop().time()
        try:
            async with self.session.post(
                self.url + path, json=body, allow_redirects=False
            ) as response:
                observe_state(response, sent_at, self.on_limit, self.on_leaving)
                await check_generation_status(response)
                check_length_known(response)
                return await collect_generation(response.content)
        except NOT_SENT_ERRORS as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE,
                f"cannot connect to the engine: {error}",
                Verdict.NOT_RUN,
            ) from error
        except (aiohttp.ClientError, ResponseTooLarge, ValueError, OSError) as error:
            self.cancel_in_background(request_id)
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"completion interrupted: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        except asyncio.CancelledError:
            # Some engines finish a completion even if its connection is closed.
            self.cancel_in_background(request_id)
            raise

    def cancel_in_background(self, request_id: str) -> None:
        """Cancel a completion without waiting for the response."""
        task = asyncio.ensure_future(self.cancel(request_id))
        self.cancellations.add(task)
        task.add_done_callback(self.cancellations.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def cancel(self, request_id: str) -> None:
        """Stop a completion and release its slot; errors are ignored."""
        with contextlib.suppress(EngineError):
            await self.call(
                "POST", "/v1/cancel", {"request_id": request_id}, timeout_s=CANCEL_TIMEOUT_S
            )

    async def export_kv(self, cache_id: str) -> bytes:
        """Return the KV cache of a sequence."""
        return await self.raw_call("GET", kv_path(cache_id), b"", CONTROL_TIMEOUT_S, MAX_KV_BYTES)

    async def import_kv(self, cache_id: str, data: bytes) -> None:
        """Load the KV cache of a sequence."""
        await self.raw_call("PUT", kv_path(cache_id), data, CONTROL_TIMEOUT_S)

    async def order(self, order: EngineOrder) -> EngineVersion:
        """Send an order and return the versions of the engine after it.

        Raises
        ------
        OrderRefused
            If the engine refuses the order.
        """
        body = {
            "order": order.kind.value,
            "version": order.version,
            "fencing": order.fencing,
        }
        if order.argument:
            body[ARGUMENT_FIELDS[order.kind]] = order.argument
        if order.token:
            body["token"] = order.token
        fields = await self.call("POST", "/v1/orders", body, timeout_s=ORDER_TIMEOUT_S)
        return read_version(fields)

    async def version(self) -> EngineVersion:
        """Return the weight versions of the engine."""
        return read_version(await self.call("GET", "/v1/version"))

    async def load(self) -> EngineLoad:
        """Return the load, which is reported with a delay."""
        fields = await self.call("GET", "/v1/load")
        numbers = [read_count(fields, name) for name in ("running", "waiting", "slots")]
        return EngineLoad(*numbers)

    async def cache_events(self, since: int) -> list[dict]:
        """Return the prefix-cache events after sequence number `since`.

        The engine publishes events with a delay, and some may be missing.
        """
        fields = await self.call("GET", f"/v1/cache_events?since={since}")
        events = fields.get("events", [])
        if not isinstance(events, list):
            raise malformed_response("field events is not a list")
        return events

    async def call(
        self, method: str, path: str, body: dict | None = None, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> dict:
        """Make a call and return the JSON object of the response, empty if it has no body."""
        data = b"" if body is None else json.dumps(body).encode()
        raw = await self.raw_call(method, path, data, timeout_s)
        try:
            fields = json.loads(raw) if raw else {}
        except (ValueError, RecursionError) as error:
            raise malformed_response(str(error)) from error
        if not isinstance(fields, dict):
            raise malformed_response("it is not a JSON object")
        return fields

    async def raw_call(
        self,
        method: str,
        path: str,
        data: bytes,
        timeout_s: float,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes:
        """Make a call and return the body of a successful response.

        Raises
        ------
        EngineError
            If the call failed or its response has an error status.
        """
        try:
            async with self.session.request(
                method,
                self.url + path,
                data=data or None,
                headers={"Content-Type": "application/json"},
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=2.0),
            ) as response:
                raw = await read_response(response, max_bytes)
                check_control_status(response, raw)
                return raw
        except NOT_SENT_ERRORS as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE,
                f"cannot connect to the engine: {error}",
                Verdict.NOT_RUN,
            ) from error
        except (aiohttp.ClientError, ResponseTooLarge, OSError, ValueError) as error:
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"no complete response: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error


def kv_path(cache_id: str) -> str:
    """Return the URL path of a sequence's KV cache."""
    return f"/v1/kv/{quote(cache_id, safe='')}"


def malformed_response(reason: str) -> EngineError:
    """Return the error for a response that cannot be parsed."""
    return EngineError(
        ErrorCode.TARGET_FAILED, f"malformed response: {reason}", Verdict.MAY_HAVE_RUN
    )


def is_count(value) -> bool:
    """Return whether a JSON value is a non-negative integer of at most 63 bits."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**63


def read_count(fields: dict, name: str) -> int:
    """Return the count in a field, 0 if it is missing."""
    value = fields.get(name, 0)
    if not is_count(value):
        raise malformed_response(f"field {name} is not a count")
    return value


def read_version(fields: dict) -> EngineVersion:
    """Return the versions in a response."""
    version = fields.get("version")
    if not is_count(version):
        raise EngineError(
            ErrorCode.UNKNOWN_VERSION,
            "the response contains no valid weight version",
            Verdict.MAY_HAVE_RUN,
        )
    prepared = fields.get("prepared", [])
    if not isinstance(prepared, list) or not all(is_count(item) for item in prepared):
        raise malformed_response("field prepared is not a list of versions")
    return EngineVersion(version, prepared)


async def check_generation_status(response: aiohttp.ClientResponse) -> None:
    """Raise `EngineError` for a response without a completion."""
    if response.status == 200:
        return
    text = (await read_response(response, MAX_ERROR_BYTES))[:200].decode(errors="replace")
    if response.status in REFUSED_STATUSES:
        # Engines use these statuses only before they have generated a token.
        raise EngineError(
            ErrorCode.OVERLOADED, f"refused: {text}", Verdict.NOT_RUN, retry_after_s(response)
        )
    code = ErrorCode.BAD_REQUEST if response.status < 500 else ErrorCode.TARGET_FAILED
    raise EngineError(code, f"status {response.status}: {text}", Verdict.MAY_HAVE_RUN)


def check_control_status(response: aiohttp.ClientResponse, raw: bytes) -> None:
    """Raise `EngineError` for an unsuccessful response to a control call."""
    if response.status < 300:
        return
    text = raw[:200].decode(errors="replace")
    if response.status == CONFLICT_STATUS:
        raise OrderRefused(text, read_fencing(raw))
    if response.status in REFUSED_STATUSES:
        raise EngineError(
            ErrorCode.OVERLOADED, f"refused: {text}", Verdict.NOT_RUN, retry_after_s(response)
        )
    raise EngineError(
        ErrorCode.TARGET_FAILED, f"status {response.status}: {text}", Verdict.MAY_HAVE_RUN
    )


def read_fencing(raw: bytes) -> int:
    """Return the fencing token in a refusal, 0 if there is none."""
    try:
        fields = json.loads(raw)
        return int(fields.get("fencing", 0))
    except (ValueError, AttributeError, TypeError, OverflowError, RecursionError):
        return 0


async def read_events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the data of server-sent events."""
    async for line in content:
        line = line.strip()
        if not line.startswith(DATA_PREFIX):
            continue
        yield line[len(DATA_PREFIX) :].strip()


async def collect_generation(content: aiohttp.StreamReader) -> Generation:
    """Build a completion from the events of its stream.

    Raises
    ------
    ValueError
        If an event is malformed, or the completion is too large or incomplete.
    """
    texts: list[str] = []
    size = 0
    label = LabelBuilder()
    finish_reason = ""
    async for data in read_events(content):
        if data == END_OF_STREAM:
            if finish_reason not in COMPLETE_FINISH_REASONS:
                raise ValueError(f"the completion ended with finish reason {finish_reason!r}")
            return Generation(
                "".join(texts), label.tokens, finish_reason, label.segments(), label.complete
            )
        event, text, reason = read_event(data)
        size += len(text)
        if size > MAX_COMPLETION_CHARS:
            raise ValueError(f"the completion is larger than {MAX_COMPLETION_CHARS} characters")
        texts.append(text)
        finish_reason = reason or finish_reason
        label.add(event.get("weight_version"), event.get("tokens"))
    raise ValueError("the stream ended without its [DONE] event")


def read_event(data: bytes) -> tuple[dict, str, str]:
    """Return an event with its text and finish reason, empty strings where missing.

    Raises
    ------
    ValueError
        If the event is malformed.
    """
    try:
        event = json.loads(data)
        choice = event["choices"][0]
        text = choice.get("text") or ""
        reason = choice.get("finish_reason") or ""
    except (LookupError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"malformed event: {error!r}") from error
    if not isinstance(text, str) or not isinstance(reason, str):
        raise ValueError("malformed event: text or finish_reason is not a string")
    return event, text, reason
