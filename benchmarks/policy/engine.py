"""Simulation of an engine with continuous batching, without any I/O."""

import collections
import heapq
import itertools

import attrs

from turmericreach.verdicts import Segment

__all__ = ["EngineModel", "Stream"]

MAX_CACHED_PREFIXES = 64


@attrs.define(eq=False)
class Stream:
    """One completion at an engine.

    Attributes
    ----------
    tokens : float
        Tokens to generate.
    prefix : str
        Key of the prompt prefix in the engine's prefix cache.
    owner : str
        Name of the trainer, empty for ordinary requests.
    on_end : callable
        Called with the list of `Segment` when the stream is complete.
    begin_count, end_count : float
        Value of the engine's `token_count` at the first and after the last token.
    is_running : bool
        False after the stream has completed, was cancelled or was lost in a crash.
    """

    tokens: float
    prefix: str
    owner: str
    on_end: object
    begin_count: float = 0.0
    end_count: float = 0.0
    is_running: bool = True


class EngineModel:
    """Streams of one engine, which all generate at the same speed.

    All streams advance equally, so the engine keeps one counter, `token_count`: the tokens that a
    stream running since the start would have generated. A stream ends when the counter reaches
    the stream's `end_count`.

    Parameters
    ----------
    speed : float
        Tokens per second of a single stream.
    slowdown : float
        Each of `n` concurrent streams runs at ``speed / (1 + slowdown * (n - 1))``.
    prefill_tokens : float
        Cost of the prefill of a prefix that is not cached, in generated tokens.
    version : int
        Initial weight version.
    """

    def __init__(self, clock, name, speed, slowdown, prefill_tokens=0.0, version=1):
        self.clock = clock
        self.name = name
        self.speed = speed
        self.slowdown = slowdown
        self.prefill_tokens = prefill_tokens
        self.token_count = 0.0
        self.counted_at = 0.0
        self.running = set()
        self.end_heap = []
        self.sequence = itertools.count()
        self.epoch = 0
        self.up = True
        self.versions = [(0.0, version)]
        self.prefixes = collections.OrderedDict()
        self.produced = collections.Counter()

    @property
    def version(self):
        """Active weight version."""
        return self.versions[-1][1]

    def rate(self):
        """Return the current speed of each stream in tokens per second."""
        return self.speed / (1.0 + self.slowdown * max(0, len(self.running) - 1))

    def advance(self):
        """Update `token_count` to the current time."""
        if self.running:
            self.token_count += (self.clock.now - self.counted_at) * self.rate()
        self.counted_at = self.clock.now

    def start(self, stream):
        """Start a stream; a cached prefix needs no prefill."""
        self.advance()
        prefill = 0.0
        if stream.prefix not in self.prefixes:
            prefill = self.prefill_tokens
        self.prefixes[stream.prefix] = True
        self.prefixes.move_to_end(stream.prefix)
        if len(self.prefixes) > MAX_CACHED_PREFIXES:
            self.prefixes.popitem(last=False)
        stream.begin_count = self.token_count + prefill
        stream.end_count = stream.begin_count + stream.tokens
        self.running.add(stream)
        heapq.heappush(self.end_heap, (stream.end_count, next(self.sequence), stream))
        self.schedule_next_end()

    def schedule_next_end(self):
        """Schedule the end of the stream that completes first."""
        self.epoch += 1
        while self.end_heap and not self.end_heap[0][2].is_running:
            heapq.heappop(self.end_heap)
        if self.end_heap:
            delay_s = max(0.0, self.end_heap[0][0] - self.token_count) / self.rate()
            self.clock.after(delay_s, self.end_first, self.epoch)

    def end_first(self, epoch):
        """Complete the first stream, unless the set of streams has changed since scheduling."""
        if epoch != self.epoch:
            return
        self.advance()
        end_count, _, stream = heapq.heappop(self.end_heap)
        self.token_count = max(self.token_count, end_count)
        self.remove_stream(stream)
        self.schedule_next_end()
        stream.on_end(self.segments(stream))

    def remove_stream(self, stream):
        """Remove a stream and add its generated tokens to its owner's total."""
        stream.is_running = False
        self.running.discard(stream)
        self.produced[stream.owner] += self.generated_tokens(stream)

    def generated_tokens(self, stream):
        """Return the tokens that a stream has generated so far."""
        return min(stream.tokens, max(0.0, self.token_count - stream.begin_count))

    def produced_by(self, owner):
        """Return the tokens generated for an owner so far, including running streams."""
        self.advance()
        return self.produced[owner] + sum(
            self.generated_tokens(stream) for stream in self.running if stream.owner == owner
        )

    def cancel(self, stream):
        """Stop a stream; the tokens generated so far count as produced but reach nobody."""
        if not stream.is_running:
            return
        self.advance()
        self.remove_stream(stream)
        self.schedule_next_end()

    def crash(self):
        """Stop the engine: end all streams without a result and return them."""
        self.advance()
        lost = sorted(self.running, key=lambda stream: stream.end_count)
        for stream in lost:
            self.remove_stream(stream)
        self.schedule_next_end()
        self.prefixes.clear()
        self.up = False
        return lost

    def activate(self, version):
        """Activate a weight version while streams keep running; this empties the prefix cache."""
        self.advance()
        self.versions.append((self.token_count, version))
        self.prefixes.clear()

    def segments(self, stream):
        """Return the weight version of each part of a completed stream, as `Segment` objects."""
        segments = []
        total = int(stream.tokens)
        labelled = 0
        for position, (since, version) in enumerate(self.versions):
            last = position + 1 == len(self.versions)
            until = (
                stream.end_count if last else min(stream.end_count, self.versions[position + 1][0])
            )
            if until <= max(since, stream.begin_count) and not last:
                continue
            end = total if until >= stream.end_count else int(max(0.0, until - stream.begin_count))
            if end > labelled:
                segments.append(Segment(version, end - labelled))
                labelled = end
            if labelled >= total:
                break
        return segments
