"""What a coordinator knows about each sample of its lot."""

import collections
import enum

import attrs
import xxhash

from turmericreach.lots.cursor import Cursor
from turmericreach.lots.estimates import OVERRUN_FACTOR, LengthModel, SpeedModel, VersionClock
from turmericreach.lots.samples import Cancel, Regenerate, Sample

__all__ = ["LotState", "Phase", "Record", "Task"]

FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 30.0
BACKOFF_DOUBLINGS = 8


class Phase(enum.StrEnum):
    """How far the current candidate of a sample has come."""

    QUEUED = "queued"
    RUNNING = "running"
    SCORING = "scoring"
    READY = "ready"


@attrs.define
class Task:
    """A running rollout.

    Attributes
    ----------
    version : int
        Version of the engine when the rollout started.
    probe : bool
        Whether it was started although it looked too long for its bound.
    """

    task_id: str
    ordinal: int
    copy: int
    target: str
    version: int
    started_at: float
    expected_tokens: int
    probe: bool = False


@attrs.define
class Record:
    """The state of one sample.

    Attributes
    ----------
    ready_at : float
        Time before which a queued sample is not started, in seconds.
    failures : int
        Failures in a row, which lengthen the backoff.
    candidate : int
        Number of results that were discarded; each candidate has its own sampling seed.
    since : float
        Time of the last scoring request, in seconds.
    handed : bool
        Whether the candidate was part of a pull answer.
    """

    ordinal: int
    phase: Phase = Phase.QUEUED
    ready_at: float = 0.0
    failures: int = 0
    candidate: int = 0
    tasks: list[str] = attrs.field(factory=list)
    sample: Sample | None = None
    scoring_task: str = ""
    since: float = 0.0
    score_tries: int = 0
    handed: bool = False


class LotState:
    """State of a lot, with the transitions that keep it consistent.

    Attributes
    ----------
    acked : Cursor
        Union of the acknowledged cursors; it never shrinks.
    stated : Cursor
        Cursor of the last pull. It may shrink when a trainer restarts from a checkpoint, and the
        samples between are then handed over again.
    highest : int
        Highest trainer version that a pull stated.
    queue : dict of int to set of int
        Queued ordinals by group.
    """

    def __init__(self, spec, policy, cursor, rng, lengths=None, speeds=None):
        self.spec = spec
        self.policy = policy
        self.rng = rng
        self.acked = cursor
        self.stated = Cursor(spec.size)
        self.highest = 0
        self.clock = VersionClock()
        self.lengths = lengths or LengthModel()
        self.speeds = speeds or SpeedModel()
        self.records = [Record(ordinal) for ordinal in range(spec.size)]
        self.prefixes = [xxhash.xxh3_64_hexdigest(group.prompt.encode()) for group in spec.groups]
        self.queue = collections.defaultdict(set)
        self.tasks = {}
        self.scoring = {}
        self.ready = set()
        self.begun = set()
        self.homes = {}
        self.buffered_bytes = 0
        self.failure_streak = 0
        self.discarded = collections.Counter()
        self.tokens_useful = 0
        self.tokens_thrown_away = 0
        self.stopped = ""
        self.next_task = 0
        # Two coordinators of one lot must not choose the same task ids.
        self.task_prefix = f"{rng.getrandbits(48):012x}"
        for ordinal in range(spec.size):
            if not cursor.contains(ordinal):
                self.queue[spec.group_of(ordinal)].add(ordinal)

    def is_wanted(self, ordinal):
        """Return whether the trainer has yet to consume a sample."""
        return not (self.acked.contains(ordinal) or self.stated.contains(ordinal))

    def is_stale(self, sample):
        """Return whether a sample is older than its bound allows."""
        return self.highest - sample.lowest_version > self.spec.staleness_bound

    def queued(self, group):
        """Return the queued ordinals of a group that the trainer has yet to consume."""
        return sorted(ordinal for ordinal in self.queue[group] if self.is_wanted(ordinal))

    def prefix(self, ordinal):
        """Return the key of a sample's prompt."""
        return self.prefixes[self.spec.group_of(ordinal)]

    def new_task_id(self, ordinal):
        """Return an id that no other task of any coordinator has."""
        self.next_task += 1
        return f"{self.spec.sample_id(ordinal)}#{self.task_prefix}-{self.next_task}"

    def start(self, task):
        """Note that a rollout was started."""
        record = self.records[task.ordinal]
        group = self.spec.group_of(task.ordinal)
        self.tasks[task.task_id] = task
        self.queue[group].discard(task.ordinal)
        self.begun.add(group)
        record.tasks.append(task.task_id)
        record.phase = Phase.RUNNING

    def end_task(self, task_id):
        """Forget a running rollout and return it, or None if it is not running any more."""
        task = self.tasks.pop(task_id, None)
        if task is not None:
            self.records[task.ordinal].tasks.remove(task_id)
        return task

    def cancel_tasks(self, record, now):
        """Forget the rollouts of a sample and return their `Cancel` actions."""
        actions = []
        for task_id in list(record.tasks):
            task = self.end_task(task_id)
            self.tokens_thrown_away += int(min(self.produced(task, now), self.spec.max_tokens))
            actions.append(Cancel(task_id))
        return actions

    def produced(self, task, now):
        """Return the tokens that a rollout is expected to have produced."""
        return max(0.0, now - task.started_at) * self.speeds.speed(task.target)

    def expected_total(self, task, now):
        """Return the expected length of a running rollout, given how long it has run."""
        produced = self.produced(task, now)
        if produced < task.expected_tokens:
            return task.expected_tokens
        return min(self.spec.max_tokens, max(task.expected_tokens, produced * OVERRUN_FACTOR))

    def remaining_s(self, task, now):
        """Return the time that a rollout is expected to run on, in seconds."""
        produced = self.produced(task, now)
        if produced < task.expected_tokens:
            return (task.expected_tokens - produced) / self.speeds.speed(task.target)
        return (OVERRUN_FACTOR - 1.0) * (now - task.started_at)

    def hold(self, record, sample):
        """Keep a finished sample; one that needs no score is ready."""
        record.sample = sample
        record.handed = False
        record.score_tries = 0
        self.queue[sample.group].discard(record.ordinal)
        self.begun.add(sample.group)
        self.buffered_bytes += len(sample.text.encode())

    def make_ready(self, record, score):
        """Make a held sample available to pulls."""
        record.sample = attrs.evolve(record.sample, score=score)
        record.phase = Phase.READY
        record.failures = 0
        self.scoring.pop(record.scoring_task, None)
        self.ready.add(record.ordinal)
        self.tokens_useful += record.sample.tokens

    def release(self, record):
        """Free the held sample of a record and leave it queued; return its tokens."""
        sample = record.sample
        if sample is None:
            return 0
        self.buffered_bytes -= len(sample.text.encode())
        self.scoring.pop(record.scoring_task, None)
        self.ready.discard(record.ordinal)
        record.sample = None
        record.phase = Phase.QUEUED
        record.handed = False
        self.queue[sample.group].add(record.ordinal)
        return sample.tokens

    def discard_sample(self, record, reason, now):
        """Drop a held sample and generate the next candidate at once."""
        if record.phase is Phase.READY:
            self.tokens_useful -= record.sample.tokens
        self.tokens_thrown_away += self.release(record)
        return self.requeue(record, reason, now)

    def requeue(self, record, reason, now, delay_s=0.0):
        """Queue a sample again unless a copy of it still runs."""
        self.discarded[reason] += 1
        if record.tasks:
            return []
        record.phase = Phase.QUEUED
        record.candidate += 1
        record.ready_at = now + delay_s
        self.queue[self.spec.group_of(record.ordinal)].add(record.ordinal)
        return [Regenerate(record.ordinal, reason)]

    def backoff(self, tries):
        """Return a delay that doubles with each try, with jitter, in seconds."""
        delay = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(tries, BACKOFF_DOUBLINGS))
        return delay * (0.5 + 0.5 * self.rng.random())
