"""Advances the batch of an engine with the clock of the event loop."""

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
MAX_SEQUENCES = 4096
MAX_RECORDED_RUNS = 100_000


class Runner:
    """The engine stand-in without its HTTP interface.

    Parameters
    ----------
    settings : EngineSettings
        Options.
    seed : int
        Seed of all random choices.
    download : callable
        Coroutine function that downloads a version from the weight store.

    Attributes
    ----------
    load : LaggedValue
        Numbers of running and of waiting sequences.
    sequences : dict of str to Sequence
        Latest sequences by request id, for resume and KV export.
    runs : deque of Sequence
        Submitted sequences, for the record.
    step_task : asyncio.Task or None
        Steps the batch while there is work.
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
        self.sequences = OrderedDict()
        self.runs = deque(maxlen=MAX_RECORDED_RUNS)
        self.step_task = None

    @staticmethod
    def now():
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def on_faults(self, _changes):
        """Simulate the time up to now, then apply the fault ``slow_factor``."""
        self.step()
        self.batch.slow_factor = max(1e-3, self.faults.get("slow_factor", 1.0))

    def step(self):
        """Simulate the batch up to the current time."""
        now = self.now()
        self.batch.version = self.weights.version
        generate = not self.weights.swapping and not self.faults.is_frozen(now)
        self.batch.advance_to(now, generate)
        self.record_load(now)

    def record_load(self, now):
        """Record the current load for the load report."""
        self.load.record(now, (len(self.batch.running), len(self.batch.waiting)))

    def submit(self, sequence):
        """Submit a sequence and return the queue of its pieces.

        Raises
        ------
        RequestError
            429 if the queue is full, 409 if a sequence with this request id has not ended.
        """
        existing = self.sequences.get(sequence.request_id)
        if existing is not None and not existing.is_over:
            raise RequestError(409, "in_progress", f"{sequence.request_id} is in progress")
        pieces = asyncio.Queue()
        sequence.on_piece = pieces.put_nowait
        self.step()
        try:
            self.batch.submit(sequence, self.now())
        except QueueFull as error:
            raise RequestError(429, "queue_full", str(error), error.retry_after_s) from error
        self.store_sequence(sequence)
        self.runs.append(sequence)
        self.record_load(self.now())
        if self.step_task is None or self.step_task.done():
            self.step_task = asyncio.ensure_future(self.run_steps())
        return pieces

    def store_sequence(self, sequence):
        """Store a sequence for resume and KV export; evict the oldest beyond the limit."""
        self.sequences[sequence.request_id] = sequence
        self.sequences.move_to_end(sequence.request_id)
        while len(self.sequences) > MAX_SEQUENCES:
            self.sequences.popitem(last=False)

    async def run_steps(self):
        """Step the batch until it has no sequences."""
        while self.batch.running or self.batch.waiting:
            await asyncio.sleep(self.settings.tick_s)
            self.step()

    def cancel(self, sequence):
        """Cancel a sequence and free its slot; return whether it had not ended yet."""
        self.step()
        cancelled = self.batch.cancel(sequence, self.now())
        self.record_load(self.now())
        return cancelled

    def find(self, request_id):
        """Return a stored sequence; raise a `RequestError` (404) if there is none."""
        sequence = self.sequences.get(request_id)
        if sequence is None:
            raise RequestError(404, "unknown_request", f"no request {request_id!r} is known")
        return sequence

    def resume(self, request_id, from_token):
        """Continue a sequence that was interrupted.

        Returns
        -------
        Sequence, asyncio.Queue
            A copy of the sequence and its pieces, from the token `from_token` on. Tokens that
            the previous run generated are repeated with their versions.

        Raises
        ------
        RequestError
            404 for an unknown request id, 409 if the sequence has not ended, 400 if
            `from_token` lies beyond the known tokens, 429 if the queue is full.
        """
        previous = self.find(request_id)
        if not previous.is_over:
            raise RequestError(409, "in_progress", f"{request_id} is in progress")
        if from_token > len(previous.tokens):
            message = f"only {len(previous.tokens)} tokens are known"
            raise RequestError(400, "bad_request", message)
        copy = copy_to_resume(previous)
        repeated = pieces_from(previous, from_token)
        if len(copy.tokens) >= copy.length:
            copy.state = previous.state
            pieces = asyncio.Queue()
            repeated.append(Piece(self.weights.version, [], previous.state))
        else:
            pieces = self.submit(copy)
        new_pieces = [pieces.get_nowait() for _ in range(pieces.qsize())]
        for piece in repeated + new_pieces:
            pieces.put_nowait(piece)
        return copy, pieces

    def load_report(self):
        """Return the load report, which lags behind the actual load."""
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
        """Return the submitted sequences and the accepted orders."""
        return {
            "runs": [run_record(run) for run in self.runs],
            "orders": self.weights.accepted_orders,
        }


def copy_to_resume(previous):
    """Return a copy of an ended sequence in the state ``waiting``."""
    return Sequence(
        request_id=previous.request_id,
        prompt=previous.prompt,
        seed=previous.seed,
        length=previous.length,
        max_tokens=previous.max_tokens,
        priority=previous.priority,
        user=previous.user,
        tokens=list(previous.tokens),
        segments=[list(segment) for segment in previous.segments],
    )


def pieces_from(sequence, first):
    """Return the known tokens of a sequence from position `first` on, one piece per segment."""
    pieces = []
    start = 0
    for version, count in sequence.segments:
        tokens = sequence.tokens[max(first, start) : start + count]
        if tokens:
            pieces.append(Piece(version, tokens, None))
        start += count
    return pieces


def run_record(run):
    """Return the record of one run; times are in seconds of the event loop's clock."""
    return {
        "request_id": run.request_id,
        "user": run.user,
        "priority": run.priority,
        "state": run.state,
        "start": run.started_at,
        "end": run.ended_at,
        "versions": [version for version, _ in run.segments],
        "segments": run.segments,
        "tokens": len(run.tokens),
    }
