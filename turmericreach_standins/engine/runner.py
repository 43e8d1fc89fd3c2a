"""Runs the batch of an engine on the event loop's clock."""

import asyncio
import random
from collections import OrderedDict, deque

from turmericreach_standins.common import Faults, LaggedValue, RequestError
from turmericreach_standins.engine.batch import Batch, Piece, QueueFull, Sequence
from turmericreach_standins.engine.cache import PrefixCache
from turmericreach_standins.engine.orders import WeightState

__all__ = ["FAULTS", "Runner"]

FAULTS = (
    "crash",
    "fail_swaps",
    "wrong_swap",
    "freeze_s",
    "drop_stream_after",
    "omit_version",
    "error_rate",
    "slow_factor",
    "load_lag_s",
)
KEPT_SEQUENCES = 4096
RECORDED_RUNS = 100_000


class Runner:
    """The engine without its HTTP interface.

    Parameters
    ----------
    settings : EngineSettings
        Options.
    seed : int
        Seed of all random choices.
    download : callable
        Coroutine function that fetches a version from the weight store.
    """

    def __init__(self, settings, seed, download):
        self.settings = settings
        self.seed = seed
        self.random = random.Random(seed)
        self.faults = Faults(FAULTS)
        self.faults.listeners.append(self.on_faults)
        self.cache = PrefixCache(settings.cache_entries, settings.cache_event_gap, seed)
        self.batch = Batch(settings, self.cache)
        self.weights = WeightState(settings, self.faults, download)
        self.weights.before_change = self.step
        self.load = LaggedValue((0, 0))
        self.kept = OrderedDict()
        self.runs = deque(maxlen=RECORDED_RUNS)
        self.ticker = None

    @staticmethod
    def now():
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def on_faults(self, _changes):
        """Apply the speed fault to the time from now on."""
        self.step()
        self.batch.slow_factor = max(1e-3, self.faults.get("slow_factor", 1.0))

    def step(self):
        """Let the batch catch up with the clock."""
        now = self.now()
        self.batch.version = self.weights.version
        generate = not self.weights.swapping and not self.faults.is_frozen(now)
        self.batch.pass_time(now, generate)
        self.note_load(now)

    def note_load(self, now):
        """Record the present load for lagging reports."""
        self.load.put(now, (len(self.batch.running), len(self.batch.waiting)))

    def submit(self, sequence):
        """Take a sequence in; returns the queue of its pieces.

        Raises
        ------
        RequestError
            429 if the queue is full, 409 if the request id is in use.
        """
        known = self.kept.get(sequence.request_id)
        if known is not None and not known.is_over:
            raise RequestError(409, "in_progress", f"{sequence.request_id} is in progress")
        pieces = asyncio.Queue()
        sequence.on_piece = pieces.put_nowait
        self.step()
        try:
            self.batch.submit(sequence, self.now())
        except QueueFull as error:
            raise RequestError(429, "queue_full", str(error), error.retry_after_s) from error
        self.keep(sequence)
        self.runs.append(sequence)
        self.note_load(self.now())
        if self.ticker is None or self.ticker.done():
            self.ticker = asyncio.ensure_future(self.tick())
        return pieces

    def keep(self, sequence):
        """Keep a sequence for resume and KV export."""
        self.kept[sequence.request_id] = sequence
        self.kept.move_to_end(sequence.request_id)
        while len(self.kept) > KEPT_SEQUENCES:
            self.kept.popitem(last=False)

    async def tick(self):
        """Step while there is work."""
        while self.batch.running or self.batch.waiting:
            await asyncio.sleep(self.settings.tick_s)
            self.step()

    def cancel(self, sequence):
        """Cancel a sequence and free its slot."""
        self.step()
        cancelled = self.batch.cancel(sequence, self.now())
        self.note_load(self.now())
        return cancelled

    def find(self, request_id):
        """Return a kept sequence, or raise a `RequestError` (404)."""
        sequence = self.kept.get(request_id)
        if sequence is None:
            raise RequestError(404, "unknown_request", f"no request {request_id!r} is known")
        return sequence

    def resume(self, request_id, from_token):
        """Go on with a sequence that has ended early.

        Returns
        -------
        Sequence, asyncio.Queue
            The sequence and its pieces, from the token `from_token` on. Tokens that the
            former run generated are repeated with their versions.
        """
        former = self.find(request_id)
        if not former.is_over:
            raise RequestError(409, "in_progress", f"{request_id} is in progress")
        if from_token > len(former.tokens):
            message = f"only {len(former.tokens)} tokens are known"
            raise RequestError(400, "bad_request", message)
        copy = copied(former)
        repeated = pieces_from(former, from_token)
        if len(copy.tokens) >= copy.length:
            copy.state = former.state
            pieces = asyncio.Queue()
            repeated.append(Piece(self.weights.version, [], former.state))
        else:
            pieces = self.submit(copy)
        fresh = [pieces.get_nowait() for _ in range(pieces.qsize())]
        for piece in repeated + fresh:
            pieces.put_nowait(piece)
        return copy, pieces

    def load_report(self):
        """Return the load as a lagging report shows it."""
        lag_s = self.faults.get("load_lag_s", self.settings.load_lag_s)
        running, waiting = self.load.get(self.now(), lag_s)
        settings = self.settings
        return {
            "running": running,
            "waiting": waiting,
            "slots": settings.slots,
            "queue": settings.queue,
        }

    def record(self):
        """Return what was executed."""
        return {"runs": [shown(run) for run in self.runs], "orders": self.weights.log}


def copied(former):
    """Return a waiting copy of an ended sequence."""
    return Sequence(
        request_id=former.request_id,
        prompt=former.prompt,
        seed=former.seed,
        length=former.length,
        max_tokens=former.max_tokens,
        priority=former.priority,
        user=former.user,
        tokens=list(former.tokens),
        segments=[list(segment) for segment in former.segments],
    )


def pieces_from(sequence, first):
    """Return the known tokens of a sequence from `first` on, by version."""
    pieces = []
    start = 0
    for version, count in sequence.segments:
        tokens = sequence.tokens[max(first, start) : start + count]
        if tokens:
            pieces.append(Piece(version, tokens, None))
        start += count
    return pieces


def shown(run):
    """Return the record of one run; times are in seconds of the loop's clock."""
    return {
        "request_id": run.request_id,
        "user": run.user,
        "priority": run.priority,
        "state": run.state,
        "start": run.started,
        "end": run.ended,
        "versions": [version for version, _ in run.segments],
        "segments": run.segments,
        "tokens": len(run.tokens),
    }
