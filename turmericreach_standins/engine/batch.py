"""Continuous batching at a set speed, as a pure model of time."""

import attrs

from turmericreach_standins.engine.text import token_text

__all__ = ["Batch", "Piece", "QueueFull", "Sequence"]


class QueueFull(Exception):
    """No place in the queue; `retry_after_s` estimates when there is one, in seconds."""

    def __init__(self, retry_after_s):
        super().__init__("the queue is full")
        self.retry_after_s = retry_after_s


@attrs.frozen
class Piece:
    """Tokens of one weight version, and the reason of the end (or None)."""

    version: int
    tokens: list
    finish_reason: str | None


@attrs.define(eq=False)
class Sequence:
    """One completion.

    `state` goes from ``waiting`` through ``running`` to ``stop``, ``length`` or
    ``cancelled``; a sequence that never started may also end as ``refused``.
    """

    request_id: str
    prompt: str
    seed: int
    length: int
    max_tokens: int
    priority: int = 0
    user: str = ""
    order: int = 0
    state: str = "waiting"
    prefill_left: float = 0.0
    credit: float = 0.0
    tokens: list = attrs.Factory(list)
    segments: list = attrs.Factory(list)
    started: float | None = None
    ended: float | None = None
    on_piece: object = None

    @property
    def is_over(self):
        """Whether the sequence has ended."""
        return self.state not in ("waiting", "running")

    def add(self, count, version):
        """Generate `count` tokens with a weight version."""
        first = len(self.tokens)
        new = [
            token_text(self.prompt, self.seed, position, version)
            for position in range(first, first + count)
        ]
        self.tokens.extend(new)
        if self.segments and self.segments[-1][0] == version:
            self.segments[-1][1] += count
        else:
            self.segments.append([version, count])
        return new

    def tell(self, piece):
        """Hand a piece to the listener."""
        if self.on_piece is not None:
            self.on_piece(piece)


class Batch:
    """The running and the waiting sequences of an engine.

    Parameters
    ----------
    settings : EngineSettings
        Speeds and sizes.
    cache : PrefixCache
        Shortens the prefill of a known prompt prefix.
    """

    def __init__(self, settings, cache):
        self.settings = settings
        self.cache = cache
        self.running = []
        self.waiting = []
        self.version = settings.version
        self.slow_factor = 1.0
        self.counter = 0
        self.now = None

    def rate(self):
        """Return the speed of each stream in tokens a second."""
        slowdown = 1.0 + self.settings.batch_slowdown * max(0, len(self.running) - 1)
        return self.settings.tokens_per_s / slowdown / self.slow_factor

    def submit(self, sequence, now):
        """Start a sequence, or let it wait.

        When the queue is full, the least urgent sequence that has not started is refused;
        that can be the new one.

        Raises
        ------
        QueueFull
            If the new sequence is refused.
        """
        self.counter += 1
        sequence.order = self.counter
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda item: (item.priority, item.order))
        self.fill(now)
        if len(self.waiting) <= self.settings.queue:
            return
        refused = self.waiting.pop()
        refused.state = "refused"
        refused.ended = now
        if refused is sequence:
            raise QueueFull(self.retry_after_s())
        refused.tell(Piece(self.version, [], "refused"))

    def retry_after_s(self):
        """Estimate the seconds until a running sequence ends."""
        left = [item.length - len(item.tokens) for item in self.running]
        return max(0.1, min(left, default=0) / self.rate())

    def fill(self, now):
        """Start waiting sequences while there are free slots."""
        while self.waiting and len(self.running) < self.settings.slots:
            sequence = self.waiting.pop(0)
            cached = self.cache.use(sequence.prompt, now)
            sequence.prefill_left = max(0, len(sequence.prompt.split()) - cached)
            sequence.state = "running"
            sequence.started = now
            self.running.append(sequence)
            sequence.tell(Piece(self.version, [], None))

    def cancel(self, sequence, now):
        """End a sequence and free its slot; tells whether it was still going on."""
        if sequence.is_over:
            return False
        holder = self.running if sequence.state == "running" else self.waiting
        holder.remove(sequence)
        self.end(sequence, "cancelled", now)
        sequence.tell(Piece(self.version, [], "cancelled"))
        self.fill(now)
        return True

    def end(self, sequence, state, now):
        """Mark a sequence as over."""
        sequence.state = state
        sequence.ended = now

    def pass_time(self, now, generate=True):
        """Let the time pass up to `now`; without `generate` the batch stands still."""
        elapsed = 0.0 if self.now is None else max(0.0, now - self.now)
        self.now = now
        if not generate:
            return
        rate = self.rate()
        for sequence in list(self.running):
            self.advance(sequence, elapsed, rate, now)
        self.running = [sequence for sequence in self.running if not sequence.is_over]
        self.fill(now)

    def advance(self, sequence, elapsed, rate, now):
        """Generate the tokens of one sequence for `elapsed` seconds."""
        prefill_rate = self.settings.prefill_tokens_per_s / self.slow_factor
        prefill_s = min(elapsed, sequence.prefill_left / prefill_rate)
        sequence.prefill_left -= prefill_s * prefill_rate
        if sequence.prefill_left > 1e-9:
            return
        sequence.credit += (elapsed - prefill_s) * rate
        count = min(int(sequence.credit), sequence.length - len(sequence.tokens))
        sequence.credit -= count
        done = len(sequence.tokens) + count >= sequence.length
        if not count and not done:
            return
        new = sequence.add(count, self.version) if count else []
        reason = None
        if done:
            reason = "length" if sequence.length >= sequence.max_tokens else "stop"
            self.end(sequence, reason, now)
        sequence.tell(Piece(self.version, new, reason))
