"""Adapter for engines that speak the OpenAI-compatible completions protocol."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import aiohttp

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
                return await collect_generation(response.content)
        except aiohttp.ClientConnectorError as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE, f"nothing sent: {error}", Verdict.NOT_RUN
            ) from error
        except (aiohttp.ClientError, ValueError, OSError, TimeoutError) as error:
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
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def cancel(self, request_id: str) -> None:
        """Stop a completion and free its slot."""
        with contextlib.suppress(EngineError):
            await self.call(
                "POST", "/v1/cancel", {"request_id": request_id}, timeout_s=CANCEL_TIMEOUT_S
            )

    async def export_kv(self, cache_id: str) -> bytes:
        """Return the KV cache of a sequence."""
        return await self.raw_call("GET", f"/v1/kv/{cache_id}", b"", CONTROL_TIMEOUT_S)

    async def import_kv(self, cache_id: str, data: bytes) -> None:
        """Load the KV cache of a sequence."""
        await self.raw_call("PUT", f"/v1/kv/{cache_id}", data, CONTROL_TIMEOUT_S)

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
        return EngineLoad(
            int(answer.get("running", 0)),
            int(answer.get("waiting", 0)),
            int(answer.get("slots", 0)),
        )

    async def cache_events(self, since: int) -> list[dict]:
        """Return prefix-cache events after a sequence number; late and with gaps."""
        answer = await self.call("GET", f"/v1/cache_events?since={since}")
        return list(answer.get("events", []))

    async def call(
        self, method: str, path: str, body: dict | None = None, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> dict:
        """Make a JSON call."""
        data = b"" if body is None else json.dumps(body).encode()
        raw = await self.raw_call(method, path, data, timeout_s)
        try:
            answer = json.loads(raw) if raw else {}
        except ValueError as error:
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"malformed answer: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        return answer if isinstance(answer, dict) else {}

    async def raw_call(self, method: str, path: str, data: bytes, timeout_s: float) -> bytes:
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
                raw = await response.read()
                check_control_status(response, raw)
                return raw
        except aiohttp.ClientConnectorError as error:
            raise EngineError(
                ErrorCode.TARGET_UNREACHABLE, f"nothing sent: {error}", Verdict.NOT_RUN
            ) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise EngineError(
                ErrorCode.TARGET_FAILED, f"no answer: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error


def read_version(answer: dict) -> EngineVersion:
    """Read a version answer."""
    version = answer.get("version")
    if not isinstance(version, int):
        raise EngineError(
            ErrorCode.UNKNOWN_VERSION, "the engine named no version", Verdict.MAY_HAVE_RUN
        )
    return EngineVersion(version, [int(item) for item in answer.get("prepared", [])])


def retry_after(response: aiohttp.ClientResponse) -> float:
    """Return the seconds of a ``Retry-After`` header, 0 if there is none."""
    try:
        return max(0.0, float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0


async def check_generation_status(response: aiohttp.ClientResponse) -> None:
    """Raise for an answer that carries no completion."""
    if response.status == 200:
        return
    text = (await response.read())[:200].decode(errors="replace")
    if response.status in REFUSED_STATUSES:
        # Engines refuse with these statuses only before the first token.
        raise EngineError(
            ErrorCode.OVERLOADED, f"refused: {text}", Verdict.NOT_RUN, retry_after(response)
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
            ErrorCode.OVERLOADED, f"refused: {text}", Verdict.NOT_RUN, retry_after(response)
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
    """Collect the events of a completion; raises `ValueError` if its end is missing."""
    texts: list[str] = []
    label = LabelBuilder()
    finish_reason = ""
    async for data in read_events(content):
        if data == END_OF_STREAM:
            if not finish_reason:
                raise ValueError("the stream ended without a finish reason")
            return Generation(
                "".join(texts), label.tokens, finish_reason, label.segments(), label.complete
            )
        event = json.loads(data)
        choice = event["choices"][0]
        texts.append(choice.get("text") or "")
        finish_reason = choice.get("finish_reason") or finish_reason
        label.add(event.get("weight_version"), event.get("tokens"))
    raise ValueError("the stream ended without its end mark")
