"""Callers that send ordinary requests to the demo's services."""

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
MEAN_PAUSE_S = 0.1
RETRY_PAUSE_S = 0.2
MAX_ATTEMPTS = 20


@attrs.define
class CallRecord:
    """An ordinary request and its result.

    Attributes
    ----------
    kind : str
        ``lookup`` (model service), ``stock`` (read) or ``order`` (not idempotent).
    request_id : str
        Value of the request id header, the same in all attempts.
    idempotent : bool
        Whether the request may be repeated after an attempt that may have run.
    verdict : str
        ``answered``, the verdict of the error, or ``no_answer`` if the response was lost.
    complete : bool
        Whether the response was complete and belonged to this request.
    latency_s : float
        Time from the first attempt to the end of the last one in seconds.
    attempts : int
        Number of attempts sent.
    """

    kind: str
    request_id: str
    idempotent: bool
    verdict: str = "no_answer"
    complete: bool = False
    latency_s: float = 0.0
    attempts: int = 0


@attrs.define
class CallerRun:
    """One caller that sends requests of random kinds until the load ends.

    Attributes
    ----------
    urls : list of str
        URLs of the gateways.
    seed : int
        Seed of the choice of kinds, gateways and pauses.
    records : list of CallRecord
        One for each request sent.
    """

    deployment: Deployment
    urls: list[str]
    seed: int
    records: list[CallRecord] = attrs.field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Send requests one after the other until an instant of the event loop's clock."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while loop.time() < ends_at:
                await self.send_with_retries(session, rng, loop)
                await asyncio.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def send_with_retries(self, session, rng: random.Random, loop) -> None:
        """Send one request, and retry it at the next gateway while that is safe."""
        kind = rng.choice(["lookup", "stock", "order"])
        record = CallRecord(kind, uuid.uuid4().hex, kind != "order")
        self.records.append(record)
        started = loop.time()
        offset = rng.randrange(len(self.urls))
        for number in range(MAX_ATTEMPTS):
            record.attempts += 1
            url = self.urls[(offset + number) % len(self.urls)]
            try:
                await self.send_attempt(session, url, record)
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

    async def send_attempt(self, session, url: str, record: CallRecord) -> None:
        """Send one attempt of a request and check the response."""
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
                record.complete = body.get("request_id") == record.request_id
                return
            record.verdict = body["error"]["verdict"]

    async def send_lookup(self, session, url: str, record: CallRecord) -> None:
        """Send one attempt of a short streamed completion and check the response."""
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
            record.complete = text.rstrip().endswith("data: [DONE]") and record.request_id in text
