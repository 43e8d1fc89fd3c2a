"""Adapter for engines that speak the OpenAI-compatible completions protocol."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from urllib.parse import quote

import aiohttp

from turmericreach.httpclient import (
    AnswerTooLarge,
    check_length_known,
    read_answer,
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
# A download of weights into the engine's memory may take long; the caller's pacing bounds it.
ORDER_TIMEOUT_S = 120.0
CANCEL_TIMEOUT_S = 2.0
MAX_CONTROL_BYTES = 4 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024
MAX_KV_BYTES = 64 * 1024 * 1024
MAX_COMPLETION_CHARS = 8 * 1024 * 1024
# Other reasons, such as "cancelled" or "abort", mark a completion that lacks its end.
WHOLE_FINISH_REASONS = ("stop", "length")
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
DATA_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"
REFUSED_STATUSES = (429, 503)
CONFLICT_STATUS = 409
ARGUMENT_FIELDS = {OrderKind.LOAD_ADAPTER: "adapter", OrderKind.ROLE: "role"}


class OpenAIEngine:
    """An engine reached over HTTP.

    Parameters
    ----------
    url : str
        Base address of the engine.
    session : aiohttp.ClientSession
    model : str
        Model name for the ``model`` field.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, model: str = ""):
        self.url = url.rstrip("/")
        self.session = session
        self.model = model
        # The loop itself holds only weak references to tasks.
        self.cancellations: set[asyncio.Task] = set()

    async def generate(self, request: GenerationRequest) -> Generation:
        """Generate a completion; cancelling the call cancels it at the engine."""
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
        """Resume an interrupted stream from a token position."""
        body = {"request_id": request_id, "from_token": from_token}
        return await self.stream_completion("/v1/resume", body, request_id)

    async def stream_completion(self, path: str, body: dict, request_id: str) -> Generation:
        """Collect a streamed completion and its label."""
        try:
            async with self.session.post(
                self.url + path, json=body, allow_redirects=False
            ) as response:
                await check_generation_status(response)
                check_length_known(response)
                return await collect_generation(response.content)
        except NOT_SENT_ERRORS as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE, f"nothing sent: {error}", Verdict.NOT_RUN
            ) from error
        except (aiohttp.ClientError, AnswerTooLarge, ValueError, OSError) as error:
            self.cancel_in_background(request_id)
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"completion cut off: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        except asyncio.CancelledError:
            # Closing the connection is not enough for engines that finish what they started.
            self.cancel_in_background(request_id)
            raise

    def cancel_in_background(self, request_id: str) -> None:
        """Cancel a completion without waiting for the answer."""
        task = asyncio.ensure_future(self.cancel(request_id))
        self.cancellations.add(task)
        task.add_done_callback(self.cancellations.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def cancel(self, request_id: str) -> None:
        """Stop a completion and free its slot."""
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
        """Give an order; raises `OrderRefused` if the engine refuses it."""
        body = {
            "order": order.kind.value,
            "version": order.version,
            "fencing": order.fencing,
        }
        if order.argument:
            body[ARGUMENT_FIELDS[order.kind]] = order.argument
        if order.token:
            body["token"] = order.token
        answer = await self.call("POST", "/v1/orders", body, timeout_s=ORDER_TIMEOUT_S)
        return read_version(answer)

    async def version(self) -> EngineVersion:
        """Return the weights in use."""
        return read_version(await self.call("GET", "/v1/version"))

    async def load(self) -> EngineLoad:
        """Return the load, which lags."""
        answer = await self.call("GET", "/v1/load")
        numbers = [count_of(answer, name) for name in ("running", "waiting", "slots")]
        return EngineLoad(*numbers)

    async def cache_events(self, since: int) -> list[dict]:
        """Return prefix-cache events after a sequence number; late and with gaps."""
        answer = await self.call("GET", f"/v1/cache_events?since={since}")
        events = answer.get("events", [])
        if not isinstance(events, list):
            raise malformed("events is no list")
        return events

    async def call(
        self, method: str, path: str, body: dict | None = None, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> dict:
        """Make a JSON call."""
        data = b"" if body is None else json.dumps(body).encode()
        raw = await self.raw_call(method, path, data, timeout_s)
        try:
            answer = json.loads(raw) if raw else {}
        except (ValueError, RecursionError) as error:
            raise malformed(str(error)) from error
        if not isinstance(answer, dict):
            raise malformed("it is no object")
        return answer

    async def raw_call(
        self,
        method: str,
        path: str,
        data: bytes,
        timeout_s: float,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes:
        """Make a call and return the body of a successful answer."""
        try:
            async with self.session.request(
                method,
                self.url + path,
                data=data or None,
                headers={"Content-Type": "application/json"},
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=2.0),
            ) as response:
                raw = await read_answer(response, max_bytes)
                check_control_status(response, raw)
                return raw
        except NOT_SENT_ERRORS as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE, f"nothing sent: {error}", Verdict.NOT_RUN
            ) from error
        except (aiohttp.ClientError, AnswerTooLarge, OSError, ValueError) as error:
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"no answer: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error


def kv_path(cache_id: str) -> str:
    """Return the path of a sequence's KV cache."""
    return f"/v1/kv/{quote(cache_id, safe='')}"


def malformed(reason: str) -> EngineError:
    """Return the error for an answer that cannot be read."""
    return EngineError(ErrorCode.TARGET_FAILED, f"malformed answer: {reason}", Verdict.MAY_HAVE_RUN)


def is_count(value) -> bool:
    """Return whether a JSON value is a number of things."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**63


def count_of(answer: dict, name: str) -> int:
    """Return a field that counts, 0 if it is missing."""
    value = answer.get(name, 0)
    if not is_count(value):
        raise malformed(f"{name} is no count")
    return value


def read_version(answer: dict) -> EngineVersion:
    """Read a version answer."""
    version = answer.get("version")
    if not is_count(version):
        raise EngineError(
            ErrorCode.UNKNOWN_VERSION, "the engine named no version", Verdict.MAY_HAVE_RUN
        )
    prepared = answer.get("prepared", [])
    if not isinstance(prepared, list) or not all(is_count(item) for item in prepared):
        raise malformed("prepared is no list of versions")
    return EngineVersion(version, prepared)


async def check_generation_status(response: aiohttp.ClientResponse) -> None:
    """Raise for an answer that carries no completion."""
    if response.status == 200:
        return
    text = (await read_answer(response, MAX_ERROR_BYTES))[:200].decode(errors="replace")
    if response.status in REFUSED_STATUSES:
        # Engines refuse with these statuses only before the first token.
        raise EngineError(
            ErrorCode.OVERLOADED, f"refused: {text}", Verdict.NOT_RUN, retry_after_s(response)
        )
    code = ErrorCode.BAD_REQUEST if response.status < 500 else ErrorCode.TARGET_FAILED
    raise EngineError(code, f"status {response.status}: {text}", Verdict.MAY_HAVE_RUN)


def check_control_status(response: aiohttp.ClientResponse, raw: bytes) -> None:
    """Raise for an unsuccessful answer to a control call."""
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
    """Return the fencing number in a refusal, 0 if there is none."""
    try:
        answer = json.loads(raw)
        return int(answer.get("fencing", 0))
    except (ValueError, AttributeError, TypeError):
        return 0


async def read_events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the data of server-sent events."""
    async for line in content:
        line = line.strip()
        if not line.startswith(DATA_PREFIX):
            continue
        yield line[len(DATA_PREFIX) :].strip()


async def collect_generation(content: aiohttp.StreamReader) -> Generation:
    """Collect the events of a completion.

    Raises
    ------
    ValueError
        If an event is malformed, or the completion is too large or without its end.
    """
    texts: list[str] = []
    size = 0
    label = LabelBuilder()
    finish_reason = ""
    async for data in read_events(content):
        if data == END_OF_STREAM:
            if finish_reason not in WHOLE_FINISH_REASONS:
                raise ValueError(f"the completion ended with the reason {finish_reason!r}")
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
    raise ValueError("the stream ended without its end mark")


def read_event(data: bytes) -> tuple[dict, str, str]:
    """Return an event with its text and finish reason; raises `ValueError` if malformed."""
    try:
        event = json.loads(data)
        choice = event["choices"][0]
        text = choice.get("text") or ""
        reason = choice.get("finish_reason") or ""
    except (LookupError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"malformed event: {error!r}") from error
    if not isinstance(text, str) or not isinstance(reason, str):
        raise ValueError("malformed event: text or finish_reason is no text")
    return event, text, reason
