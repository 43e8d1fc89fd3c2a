"""HTTP interface of the plain service stand-in."""

import asyncio
import random
from collections import Counter

import attrs
import msgspec
import xxhash
from blacksheep import Request, Response, StreamedContent

from turmericreach_standins.common import (
    Faults,
    RequestError,
    StandIn,
    add_route,
    error_response,
    exchange_of,
    json_response,
    new_application,
    query_number,
)

__all__ = ["ServiceSettings", "create_service"]

FAULTS = (
    "fail_before_run",
    "fail_after_run",
    "drop_before_run",
    "drop_after_run",
    "truncate",
    "freeze_s",
    "latency_ms",
)
TRUNCATED_BYTES = 64
MAX_STREAM_ITEMS = 100_000
RETRY_AFTER_S = 1.0


@attrs.define
class ServiceSettings:
    """Options of the service stand-in.

    Parameters
    ----------
    latency_ms : float
        Median duration of an execution in milliseconds.
    latency_sigma : float
        Spread of the duration: sigma of a log-normal distribution.
    concurrency : int
        Largest number of concurrent executions; further requests are rejected with status 503.
        0 means no limit.
    """

    latency_ms: float = 5.0
    latency_sigma: float = 0.2
    concurrency: int = 0


class ServiceApi:
    """Handlers of the service, which count the executions of each request id.

    Attributes
    ----------
    executions : Counter
        Executions by request id.
    running : int
        Executions in progress.
    """

    def __init__(self, settings, seed):
        self.settings = settings
        self.faults = Faults(FAULTS)
        self.random = random.Random(seed)
        self.executions = Counter()
        self.running = 0

    def check_before_run(self, request):
        """Apply the faults and the limit that act before the execution.

        Returns
        -------
        bool
            Whether the connection was dropped.

        Raises
        ------
        RequestError
            503 if the request is rejected.
        """
        if self.faults.consume("fail_before_run"):
            raise RequestError(503, "not_run", "rejected before the execution", RETRY_AFTER_S)
        if self.faults.consume("drop_before_run"):
            exchange_of(request).drop()
            return True
        if 0 < self.settings.concurrency <= self.running:
            raise RequestError(503, "busy", "the concurrency limit is reached", RETRY_AFTER_S)
        return False

    async def execute(self, request):
        """Handle any request: reject it, or execute it and return a response."""
        body = await request.read() or b""
        await self.faults.wait_unfrozen()
        if self.check_before_run(request):
            return Response(500)
        request_id = (request.get_first_header(b"turmericreach-request-id") or b"").decode()
        # Counted at the start, so that an execution whose response is lost counts as well.
        self.executions[request_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.draw_latency_s())
        finally:
            self.running -= 1
        if self.faults.consume("fail_after_run"):
            raise RequestError(500, "failed", "failed after the execution")
        exchange = exchange_of(request)
        if self.faults.consume("drop_after_run"):
            exchange.drop()
        if self.faults.consume("truncate"):
            exchange.truncate(TRUNCATED_BYTES)
        return self.respond(request, request_id, body)

    def draw_latency_s(self):
        """Draw the duration of one execution in seconds."""
        median_ms = self.faults.get("latency_ms", self.settings.latency_ms)
        return median_ms / 1000 * self.random.lognormvariate(0.0, self.settings.latency_sigma)

    def respond(self, request, request_id, body):
        """Return the response of an execution."""
        path = request.url.path.decode()
        if path == "/score" and request.method == "POST":
            return json_response({"score": score_of(body)})
        if path == "/stream":
            return self.stream(query_number(request, "n", 10))
        return json_response(
            {
                "request_id": request_id,
                "method": request.method,
                "path": path,
                "digest": xxhash.xxh64_hexdigest(body),
                "execution": self.executions[request_id],
            }
        )

    def stream(self, count):
        """Return a streamed response of `count` JSON lines, at most `MAX_STREAM_ITEMS`."""

        async def lines():
            for number in range(min(count, MAX_STREAM_ITEMS)):
                if number:
                    await asyncio.sleep(self.draw_latency_s())
                yield msgspec.json.encode({"n": number}) + b"\n"

        return Response(200, None, StreamedContent(b"application/x-ndjson", lines))

    async def load(self, _request):
        """Answer ``GET /v1/load``."""
        await self.faults.wait_unfrozen()
        slots = self.settings.concurrency
        return json_response({"running": self.running, "waiting": 0, "slots": slots})

    def record(self):
        """Return the executions by request id, and their total."""
        return {"executions": self.executions, "total": self.executions.total()}


def score_of(body):
    """Return a score from 0 to 1 that depends only on the body."""
    return (xxhash.xxh64_intdigest(body) >> 11) / 2**53


def create_service(settings=None, seed=0):
    """Return the service stand-in.

    Parameters
    ----------
    settings : ServiceSettings, optional
        Options; the default options if not given.
    seed : int
        Seed of the random latencies.
    """
    api = ServiceApi(settings or ServiceSettings(), seed)
    application = new_application(api.faults, api.record)
    add_route(application, "GET", "/v1/load", api.load)

    async def fallback(request: Request):
        try:
            return await api.execute(request)
        except RequestError as error:
            return error_response(error)

    application.router.fallback = fallback
    # An execution is not cancelled when its client disconnects.
    return StandIn(application)
