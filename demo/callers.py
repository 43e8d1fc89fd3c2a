"""Ordinary callers of the demo."""

import asyncio
import json
import random
import uuid

import aiohttp
import attrs

from demo.deployments import Deployment

__all__ = ["CallRecord", "CallerRun"]

REQUEST_ID = "Turmericreach-Request-Id"
CALL_TIMEOUT_S = 20.0
PAUSE_S = 0.1
RETRY_PAUSE_S = 0.2
MAX_TRIES = 20


@attrs.define
class CallRecord:
    """One ordinary request.

    Attributes
    ----------
    verdict : str
        ``answered``, or the verdict of the error; ``no_answer`` if the connection ended.
    whole : bool
        Whether the answer was whole and for this request.
    """

    kind: str
    request_id: str
    idempotent: bool
    verdict: str = "no_answer"
    whole: bool = False
    latency_s: float = 0.0
    tries: int = 0


@attrs.define
class CallerRun:
    """Callers that send requests of several kinds until the time is over."""

    deployment: Deployment
    urls: list[str]
    seed: int
    records: list[CallRecord] = attrs.field(factory=list)

    async def run(self, ends: float) -> None:
        """Send requests one after the other."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while loop.time() < ends:
                await self.one(session, rng, loop)
                await asyncio.sleep(rng.uniform(0, 2 * PAUSE_S))

    async def one(self, session, rng: random.Random, loop) -> None:
        """Send one request, again while that is safe."""
        kind = rng.choice(["lookup", "stock", "order"])
        record = CallRecord(kind, uuid.uuid4().hex, kind != "order")
        self.records.append(record)
        started = loop.time()
        offset = rng.randrange(len(self.urls))
        for number in range(MAX_TRIES):
            record.tries += 1
            url = self.urls[(offset + number) % len(self.urls)]
            try:
                await self.send(session, url, record)
            except aiohttp.ClientConnectorError:
                record.verdict = "not_run"
            except (aiohttp.ClientError, OSError, TimeoutError):
                record.verdict = "no_answer"
            if record.verdict == "answered":
                break
            if not record.idempotent and record.verdict != "not_run":
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        record.latency_s = loop.time() - started

    async def send(self, session, url: str, record: CallRecord) -> None:
        """Send one try of a request and check its answer."""
        if record.kind == "lookup":
            await self.send_lookup(session, url, record)
            return
        service = self.deployment.plain_service.name
        method = "GET" if record.kind == "stock" else "POST"
        path = "/stock" if record.kind == "stock" else "/orders"
        headers = {REQUEST_ID: record.request_id}
        if not record.idempotent:
            headers["Turmericreach-Idempotent"] = "false"
        async with session.request(
            method, f"{url}/services/{service}{path}", headers=headers
        ) as response:
            body = json.loads(await response.read())
            if response.status == 200:
                record.verdict = "answered"
                record.whole = body.get("request_id") == record.request_id
                return
            record.verdict = body["error"]["verdict"]

    async def send_lookup(self, session, url: str, record: CallRecord) -> None:
        """Ask the model service for a short streamed answer."""
        service = self.deployment.model_service
        body = {
            "model": service.model,
            "prompt": f"lookup {record.request_id}",
            "max_tokens": 8,
            "stream": True,
            "request_id": record.request_id,
        }
        async with session.post(
            f"{url}/services/{service.name}/v1/completions",
            json=body,
            headers={REQUEST_ID: record.request_id},
        ) as response:
            text = (await response.read()).decode()
            if response.status != 200:
                record.verdict = json.loads(text)["error"]["verdict"]
                return
            record.verdict = "answered"
            record.whole = text.rstrip().endswith("data: [DONE]") and record.request_id in text
