"""HTTP interface of the engine stand-in."""

import itertools
import os

import attrs
import msgspec
from blacksheep import Response, StreamedContent

from turmericreach_standins.common import (
    RequestError,
    StandIn,
    add_route,
    exchange_of,
    json_response,
    new_application,
    query_number,
    read_json,
)
from turmericreach_standins.engine.batch import Piece
from turmericreach_standins.engine.download import downloader
from turmericreach_standins.engine.orders import OrderError
from turmericreach_standins.engine.requests import (
    integer_field,
    parse_completion,
    parse_kv,
    text_field,
)
from turmericreach_standins.engine.runner import Runner
from turmericreach_standins.engine.settings import EngineSettings

__all__ = ["create_engine"]

EXIT_STATUS_OF_CRASH = 70
CANCELLED_PATHS = ("/v1/completions", "/v1/resume")


class EngineApi:
    """Handlers of the engine's endpoints."""

    def __init__(self, runner, exit_process):
        self.runner = runner
        self.faults = runner.faults
        self.faults.listeners.append(self.on_faults)
        self.exit_process = exit_process
        self.numbers = itertools.count(1)

    def on_faults(self, changes):
        """Crash if that is asked for."""
        if changes.get("crash"):
            self.exit_process(EXIT_STATUS_OF_CRASH)

    async def read(self, request):
        """Wait for the end of a freeze, then return the JSON body."""
        await self.faults.wait_unfrozen()
        return await read_json(request)

    async def completions(self, request):
        """Answer ``POST /v1/completions``."""
        body = await self.read(request)
        if self.runner.random.random() < self.faults.get("error_rate"):
            raise RequestError(500, "engine_error", "the engine failed before it started")
        request_id = f"cmpl-{next(self.numbers)}"
        settings = self.runner.settings
        sequence = parse_completion(body, request_id, self.runner.seed, settings)
        pieces = self.runner.submit(sequence)
        return await self.answer(request, sequence, pieces, bool(body.get("stream", False)))

    async def resume(self, request):
        """Answer ``POST /v1/resume``."""
        body = await self.read(request)
        from_token = integer_field(body, "from_token", 0, 0)
        sequence, pieces = self.runner.resume(text_field(body, "request_id"), from_token)
        return await self.answer(request, sequence, pieces, bool(body.get("stream", True)))

    async def answer(self, request, sequence, pieces, stream):
        """Answer with the pieces of a sequence; a closed connection cancels it."""
        exchange = exchange_of(request)
        exchange.on_close.append(lambda: self.runner.cancel(sequence))
        # The first piece tells that the sequence has started; until then it may be refused.
        first = await pieces.get()
        if first.finish_reason == "refused":
            retry_after_s = self.runner.batch.retry_after_s()
            raise RequestError(429, "queue_full", "more urgent requests came", retry_after_s)
        source = self.deliver(exchange, sequence, first, pieces)
        if not stream:
            return await self.answer_whole(sequence, source)

        async def events():
            async for piece in source:
                yield b"data: " + msgspec.json.encode(self.chunk(sequence, piece)) + b"\n\n"
            if not exchange.dropped:
                yield b"data: [DONE]\n\n"

        return Response(200, None, StreamedContent(b"text/event-stream", events))

    async def deliver(self, exchange, sequence, piece, pieces):
        """Yield the pieces up to the end, or up to where the connection is to drop."""
        sent = 0
        while True:
            limit = self.faults.get("drop_stream_after")
            if limit and sent + len(piece.tokens) >= limit:
                kept = piece.tokens[: int(limit) - sent]
                yield Piece(piece.version, kept, None)
                exchange.drop()
                return
            sent += len(piece.tokens)
            if piece.tokens or piece.finish_reason:
                yield piece
            if piece.finish_reason:
                return
            piece = await pieces.get()

    def chunk(self, sequence, piece):
        """Return the body of one chunk."""
        text = "".join(f"{token} " for token in piece.tokens)
        choice = {"index": 0, "text": text, "finish_reason": piece.finish_reason}
        body = {
            "id": sequence.request_id,
            "object": "text_completion",
            "model": self.runner.settings.model,
            "choices": [choice],
            "weight_version": piece.version,
            "tokens": len(piece.tokens),
        }
        if self.faults.get("omit_version"):
            del body["weight_version"]
        return body

    async def answer_whole(self, sequence, source):
        """Answer without streaming."""
        segments = []
        tokens = []
        last = None
        async for last in source:
            tokens.extend(last.tokens)
            if segments and segments[-1][0] == last.version:
                segments[-1][1] += len(last.tokens)
            elif last.tokens:
                segments.append([last.version, len(last.tokens)])
        body = self.chunk(sequence, attrs.evolve(last, tokens=tokens))
        if not self.faults.get("omit_version"):
            body["segments"] = segments
        prompt_tokens = len(sequence.prompt.split())
        body["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": prompt_tokens + len(tokens),
        }
        return json_response(body)

    async def cancel(self, request):
        """Answer ``POST /v1/cancel``."""
        body = await self.read(request)
        sequence = self.runner.find(text_field(body, "request_id"))
        return json_response({"cancelled": self.runner.cancel(sequence)})

    async def get_kv(self, request):
        """Answer ``GET /v1/kv/{id}``."""
        await self.faults.wait_unfrozen()
        sequence = self.runner.find(request.route_values["id"])
        names = ("request_id", "prompt", "seed", "length", "max_tokens", "tokens", "segments")
        return json_response({name: getattr(sequence, name) for name in names})

    async def put_kv(self, request):
        """Answer ``PUT /v1/kv/{id}``."""
        body = await self.read(request)
        sequence = parse_kv(body, request.route_values["id"])
        known = self.runner.kept.get(sequence.request_id)
        if known is not None and not known.is_over:
            raise RequestError(409, "in_progress", f"{sequence.request_id} is in progress")
        self.runner.keep(sequence)
        self.runner.cache.use(sequence.prompt, self.runner.now())
        return json_response({"tokens": len(sequence.tokens)})

    async def orders(self, request):
        """Answer ``POST /v1/orders``."""
        body = await self.read(request)
        weights = self.runner.weights
        try:
            await weights.execute(body)
        except OrderError as error:
            shown = {"code": error.code, "message": error.message}
            if error.retry_after_s is not None:
                shown["retry_after_s"] = error.retry_after_s
            return json_response({**weights.shown(), "error": shown}, error.status)
        await self.faults.wait_unfrozen()
        return json_response(weights.shown())

    async def version(self, _request):
        """Answer ``GET /v1/version``."""
        await self.faults.wait_unfrozen()
        return json_response({**self.runner.weights.shown(), "model": self.runner.settings.model})

    async def load(self, _request):
        """Answer ``GET /v1/load``."""
        await self.faults.wait_unfrozen()
        return json_response(self.runner.load_report())

    async def cache_events(self, request):
        """Answer ``GET /v1/cache_events?since=N``."""
        await self.faults.wait_unfrozen()
        since = query_number(request, "since", 0)
        lag_s = self.runner.settings.cache_event_lag_s
        events = self.runner.cache.events_since(since, self.runner.now(), lag_s)
        names = ("seq", "type", "hash", "tokens")
        shown = [{name: getattr(event, name) for name in names} for event in events]
        return json_response({"next": events[-1].seq if events else since, "events": shown})


def create_engine(settings=None, seed=0, exit_process=os._exit):
    """Return the engine stand-in.

    Parameters
    ----------
    settings : EngineSettings, optional
        Options; the defaults otherwise.
    seed : int
        Seed of all random choices.
    exit_process : callable
        Ends the process with a status at once, for the fault ``crash``.
    """
    settings = settings or EngineSettings()
    runner = Runner(settings, seed, downloader(settings))
    api = EngineApi(runner, exit_process)
    application = new_application(runner.faults, runner.record)
    add_route(application, "POST", "/v1/completions", api.completions)
    add_route(application, "POST", "/v1/resume", api.resume)
    add_route(application, "POST", "/v1/cancel", api.cancel)
    add_route(application, "GET", "/v1/kv/{id}", api.get_kv)
    add_route(application, "PUT", "/v1/kv/{id}", api.put_kv)
    add_route(application, "POST", "/v1/orders", api.orders)
    add_route(application, "GET", "/v1/version", api.version)
    add_route(application, "GET", "/v1/load", api.load)
    add_route(application, "GET", "/v1/cache_events", api.cache_events)
    return StandIn(application, cancels=lambda scope: scope["path"] in CANCELLED_PATHS)
