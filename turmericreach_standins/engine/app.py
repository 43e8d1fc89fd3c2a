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
from turmericreach_standins.engine.download import create_downloader
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

CRASH_EXIT_STATUS = 70
CANCELLABLE_PATHS = ("/v1/completions", "/v1/resume")


class EngineApi:
    """Handlers of the engine's endpoints."""

    def __init__(self, runner, exit_process):
        self.runner = runner
        self.faults = runner.faults
        self.faults.listeners.append(self.on_faults)
        self.exit_process = exit_process
        self.request_numbers = itertools.count(1)

    def on_faults(self, changes):
        """End the process if the fault ``crash`` is set."""
        if changes.get("crash"):
            self.exit_process(CRASH_EXIT_STATUS)

    async def read_json_body(self, request):
        """Wait until the engine is not frozen, then return the JSON request body."""
        await self.faults.wait_unfrozen()
        return await read_json(request)

    async def completions(self, request):
        """Handle ``POST /v1/completions``."""
        body = await self.read_json_body(request)
        if self.runner.random.random() < self.faults.get("error_rate"):
            raise RequestError(
                500, "engine_error", "the engine failed before the generation started"
            )
        request_id = f"cmpl-{next(self.request_numbers)}"
        settings = self.runner.settings
        sequence = parse_completion(body, request_id, self.runner.seed, settings)
        pieces = self.runner.submit(sequence)
        return await self.respond(request, sequence, pieces, bool(body.get("stream", False)))

    async def resume(self, request):
        """Handle ``POST /v1/resume``."""
        body = await self.read_json_body(request)
        from_token = integer_field(body, "from_token", 0, 0)
        sequence, pieces = self.runner.resume(text_field(body, "request_id"), from_token)
        return await self.respond(request, sequence, pieces, bool(body.get("stream", True)))

    async def respond(self, request, sequence, pieces, stream):
        """Return a response with the pieces of a sequence.

        The sequence is cancelled if it has not ended when the exchange ends.
        """
        exchange = exchange_of(request)
        exchange.on_end.append(lambda: self.runner.cancel(sequence))
        # The first piece arrives when the sequence starts; until then it may be rejected.
        first = await pieces.get()
        if first.finish_reason == "refused":
            retry_after_s = self.runner.batch.retry_after_s()
            raise RequestError(
                429, "queue_full", "rejected in favour of more urgent requests", retry_after_s
            )
        source = self.pieces_until_drop(exchange, sequence, first, pieces)
        if not stream:
            return await self.respond_whole(sequence, source)

        async def events():
            async for piece in source:
                yield b"data: " + msgspec.json.encode(self.chunk_body(sequence, piece)) + b"\n\n"
            if not exchange.dropped:
                yield b"data: [DONE]\n\n"

        return Response(200, None, StreamedContent(b"text/event-stream", events))

    async def pieces_until_drop(self, exchange, sequence, piece, pieces):
        """Yield the pieces to the end, or to the token at which the connection is dropped."""
        sent = 0
        while True:
            max_tokens = self.faults.get("drop_stream_after")
            if max_tokens and sent + len(piece.tokens) >= max_tokens:
                allowed = piece.tokens[: int(max_tokens) - sent]
                yield Piece(piece.version, allowed, None)
                exchange.drop()
                return
            sent += len(piece.tokens)
            if piece.tokens or piece.finish_reason:
                yield piece
            if piece.finish_reason:
                return
            piece = await pieces.get()

    def chunk_body(self, sequence, piece):
        """Return the JSON body of one chunk of a completion."""
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

    async def respond_whole(self, sequence, source):
        """Return a response with the whole completion."""
        segments = []
        tokens = []
        last = None
        async for last in source:
            tokens.extend(last.tokens)
            if segments and segments[-1][0] == last.version:
                segments[-1][1] += len(last.tokens)
            elif last.tokens:
                segments.append([last.version, len(last.tokens)])
        body = self.chunk_body(sequence, attrs.evolve(last, tokens=tokens))
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
        """Handle ``POST /v1/cancel``."""
        body = await self.read_json_body(request)
        sequence = self.runner.find(text_field(body, "request_id"))
        return json_response({"cancelled": self.runner.cancel(sequence)})

    async def get_kv(self, request):
        """Handle ``GET /v1/kv/{id}``."""
        await self.faults.wait_unfrozen()
        sequence = self.runner.find(request.route_values["id"])
        names = ("request_id", "prompt", "seed", "length", "max_tokens", "tokens", "segments")
        return json_response({name: getattr(sequence, name) for name in names})

    async def put_kv(self, request):
        """Handle ``PUT /v1/kv/{id}``."""
        body = await self.read_json_body(request)
        sequence = parse_kv(body, request.route_values["id"])
        existing = self.runner.sequences.get(sequence.request_id)
        if existing is not None and not existing.is_over:
            raise RequestError(409, "in_progress", f"{sequence.request_id} is in progress")
        self.runner.store_sequence(sequence)
        self.runner.cache.use_prompt(sequence.prompt, self.runner.now())
        return json_response({"tokens": len(sequence.tokens)})

    async def orders(self, request):
        """Handle ``POST /v1/orders``."""
        body = await self.read_json_body(request)
        weights = self.runner.weights
        try:
            await weights.execute(body)
        except OrderError as error:
            error_body = {"code": error.code, "message": error.message}
            if error.retry_after_s is not None:
                error_body["retry_after_s"] = error.retry_after_s
            return json_response({**weights.state_body(), "error": error_body}, error.status)
        await self.faults.wait_unfrozen()
        return json_response(weights.state_body())

    async def version(self, _request):
        """Handle ``GET /v1/version``."""
        await self.faults.wait_unfrozen()
        return json_response(
            {**self.runner.weights.state_body(), "model": self.runner.settings.model}
        )

    async def load(self, _request):
        """Handle ``GET /v1/load``."""
        await self.faults.wait_unfrozen()
        return json_response(self.runner.load_report())

    async def cache_events(self, request):
        """Handle ``GET /v1/cache_events?since=N``."""
        await self.faults.wait_unfrozen()
        since = query_number(request, "since", 0)
        lag_s = self.runner.settings.cache_event_lag_s
        events = self.runner.cache.events_since(since, self.runner.now(), lag_s)
        names = ("seq", "type", "hash", "tokens")
        event_bodies = [{name: getattr(event, name) for name in names} for event in events]
        return json_response({"next": events[-1].seq if events else since, "events": event_bodies})


def create_engine(settings=None, seed=0, exit_process=os._exit):
    """Return the engine stand-in.

    Parameters
    ----------
    settings : EngineSettings, optional
        Options; the default options if not given.
    seed : int
        Seed of all random choices.
    exit_process : callable
        Ends the process at once with the given status; called for the fault ``crash``.
    """
    settings = settings or EngineSettings()
    runner = Runner(settings, seed, create_downloader(settings))
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
    return StandIn(application, cancels=lambda scope: scope["path"] in CANCELLABLE_PATHS)
