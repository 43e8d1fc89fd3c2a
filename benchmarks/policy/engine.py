"""A model engine with continuous batching, as a pure model of time."""

import collections
import heapq
import itertools

import attrs

from turmericreach.verdicts import Segment

__all__ = ["EngineModel", "Stream"]

PREFIX_ENTRIES = 64


@attrs.define(eq=False)
class Stream:
    """One running completion; `owner` is the trainer, empty for ordinary requests."""

    tokens: float
    prefix: str
    owner: str
    on_end: object
    begins: float = 0.0
    ends: float = 0.0
    live: bool = True


class EngineModel:
    """Streams of one engine, all at the same speed.

    Because all streams advance alike, the engine counts the tokens of one stream that has always
    run; a stream ends when that count reaches a known value.

    Parameters
    ----------
    speed : float
        Tokens a second of a single stream.
    slowdown : float
        A stream of `n` runs at ``speed / (1 + slowdown * (n - 1))``.
    prefill_tokens : float
        Tokens that the prefill of an unknown prefix costs.
    """

    def __init__(self, clock, name, speed, slowdown, prefill_tokens=0.0, version=1):
        self.clock = clock
        self.name = name
        self.speed = speed
        self.slowdown = slowdown
        self.prefill_tokens = prefill_tokens
        self.count = 0.0
        self.counted_at = 0.0
        self.running = set()
        self.ends = []
        self.order = itertools.count()
        self.epoch = 0
        self.up = True
        self.versions = [(0.0, version)]
        self.prefixes = collections.OrderedDict()
        self.produced = collections.Counter()

    @property
    def version(self):
        """Weight version in force."""
        return self.versions[-1][1]

    def rate(self):
        """Return the speed of each stream in tokens a second."""
        return self.speed / (1.0 + self.slowdown * max(0, len(self.running) - 1))

    def advance(self):
        """Bring the count of tokens up to now."""
        if self.running:
            self.count += (self.clock.now - self.counted_at) * self.rate()
        self.counted_at = self.clock.now

    def start(self, stream):
        """Start a stream; a known prefix saves its prefill."""
        self.advance()
        prefill = 0.0
        if stream.prefix not in self.prefixes:
            prefill = self.prefill_tokens
        self.prefixes[stream.prefix] = True
        self.prefixes.move_to_end(stream.prefix)
        if len(self.prefixes) > PREFIX_ENTRIES:
            self.prefixes.popitem(last=False)
        stream.begins = self.count + prefill
        stream.ends = stream.begins + stream.tokens
        self.running.add(stream)
        heapq.heappush(self.ends, (stream.ends, next(self.order), stream))
        self.schedule()

    def schedule(self):
        """Plan the end of the stream that ends first."""
        self.epoch += 1
        while self.ends and not self.ends[0][2].live:
            heapq.heappop(self.ends)
        if self.ends:
            delay_s = max(0.0, self.ends[0][0] - self.count) / self.rate()
            self.clock.after(delay_s, self.end_first, self.epoch)

    def end_first(self, epoch):
        """End the first stream unless the plan has changed."""
        if epoch != self.epoch:
            return
        self.advance()
        ends, _, stream = heapq.heappop(self.ends)
        self.count = max(self.count, ends)
        self.drop(stream)
        self.schedule()
        stream.on_end(self.segments(stream))

    def drop(self, stream):
        """Take out a stream and count its tokens."""
        stream.live = False
        self.running.discard(stream)
        self.produced[stream.owner] += self.done(stream)

    def done(self, stream):
        """Return the tokens of a stream so far."""
        return min(stream.tokens, max(0.0, self.count - stream.begins))

    def produced_by(self, owner):
        """Return the tokens produced for an owner so far, with those of running streams."""
        self.advance()
        return self.produced[owner] + sum(
            self.done(stream) for stream in self.running if stream.owner == owner
        )

    def cancel(self, stream):
        """Stop a stream; its tokens so far were produced in vain."""
        if not stream.live:
            return
        self.advance()
        self.drop(stream)
        self.schedule()

    def crash(self):
        """End all streams without a result and return them."""
        self.advance()
        lost = sorted(self.running, key=lambda stream: stream.ends)
        for stream in lost:
            self.drop(stream)
        self.schedule()
        self.prefixes.clear()
        self.up = False
        return lost

    def activate(self, version):
        """Swap the weights under the running streams."""
        self.advance()
        self.versions.append((self.count, version))
        self.prefixes.clear()

    def segments(self, stream):
        """Return the versions of a finished stream."""
        found = []
        total = int(stream.tokens)
        taken = 0
        for position, (since, version) in enumerate(self.versions):
            last = position + 1 == len(self.versions)
            until = stream.ends if last else min(stream.ends, self.versions[position + 1][0])
            if until <= max(since, stream.begins) and not last:
                continue
            upto = total if until >= stream.ends else int(max(0.0, until - stream.begins))
            if upto > taken:
                found.append(Segment(version, upto - taken))
                taken = upto
            if taken >= total:
                break
        return found
