"""State of a lot and of each of its samples."""

import collections
import enum

import attrs
import xxhash

from turmericreach.lots.cursor import Cursor
from turmericreach.lots.estimates import OVERRUN_FACTOR, LengthModel, SpeedModel, VersionForecaster
from turmericreach.lots.samples import Cancel, Regenerate, Sample

__all__ = ["LotState", "Phase", "SampleRecord", "Task"]

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
BACKOFF_DOUBLINGS = 8


class Phase(enum.StrEnum):
    """Phase of the current candidate of a sample."""

    QUEUED = "queued"
    RUNNING = "running"
    SCORING = "scoring"
    READY = "ready"


@attrs.define
class Task:
    """A running rollout.

    Attributes
    ----------
    task_id : str
        Identifier that is unique over all coordinators.
    ordinal : int
        Position of the sample in the cursor.
    copy : int
        0 for the first run of a candidate, 1 and up for copies of a straggler.
    target : str
        Engine that runs the rollout.
    version : int
        Weight version of the engine when the rollout started.
    started_at : float
        Time of the start in seconds.
    expected_tokens : int
        Expected length in tokens at the start.
    probe : bool
        Whether the rollout was started although it is expected to exceed the staleness bound.
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
class SampleRecord:
    """State of one sample.

    Attributes
    ----------
    ordinal : int
        Position of the sample in the cursor.
    phase : Phase
        Phase of the current candidate.
    start_not_before : float
        Earliest time at which a queued sample may be started, in seconds.
    failures : int
        Number of consecutive failures, which increase the backoff.
    candidate : int
        Number of previous candidates, which were discarded or failed. Each candidate has its own
        sampling seed.
    tasks : list of str
        Ids of the running rollouts of the sample.
    sample : Sample or None
        Finished candidate, None while there is none.
    scoring_task : str
        Id of the rollout whose score was requested last.
    scoring_requested_at : float
        Earliest time of the last scoring request in seconds.
    score_attempts : int
        Number of scoring requests for the current candidate.
    delivered : bool
        Whether the current candidate was delivered to the trainer.
    """

    ordinal: int
    phase: Phase = Phase.QUEUED
    start_not_before: float = 0.0
    failures: int = 0
    candidate: int = 0
    tasks: list[str] = attrs.field(factory=list)
    sample: Sample | None = None
    scoring_task: str = ""
    scoring_requested_at: float = 0.0
    score_attempts: int = 0
    delivered: bool = False


class LotState:
    """State of a lot, with the transitions that keep it consistent.

    Attributes
    ----------
    acknowledged : Cursor
        Union of the acknowledged cursors; it never shrinks.
    last_pull_cursor : Cursor
        Cursor of the last pull. It can shrink when a trainer restarts from a checkpoint; the
        samples that are no longer in it are then delivered again.
    highest_trainer_version : int
        Highest weight version that the trainer stated in a pull.
    forecaster : VersionForecaster
        Forecast of new weight versions.
    lengths : LengthModel
        Expected lengths of rollouts.
    speeds : SpeedModel
        Speeds of the engines.
    records : list of SampleRecord
        State of each sample, by ordinal.
    prefixes : list of str
        Keys of the prompts, by group.
    queue : dict of int to set of int
        Queued ordinals by group.
    tasks : dict of str to Task
        Running rollouts by task id.
    scoring : dict of str to int
        Ordinals of the samples that are being scored, by task id.
    ready : set of int
        Ordinals of the samples that can be delivered.
    started_groups : set of int
        Groups of which at least one rollout was started.
    preferred_engines : dict of int to str
        Engine on which a group was first started, by group.
    buffered_bytes : int
        Total size of the text of finished samples in bytes.
    consecutive_failures : int
        Number of failed rollouts since the last successful one.
    discarded : collections.Counter of str
        Number of failed or discarded rollouts by reason.
    tokens_useful : int
        Tokens of samples that were finished and not discarded.
    tokens_thrown_away : int
        Tokens of discarded samples, and estimated tokens of cancelled and failed rollouts.
    stopped : str
        Error code for calls after the lot was cancelled or handed over, empty before.
    """

    def __init__(self, spec, policy, cursor, rng, lengths=None, speeds=None):
        self.spec = spec
        self.policy = policy
        self.rng = rng
        self.acknowledged = cursor
        self.last_pull_cursor = Cursor(spec.size)
        self.highest_trainer_version = 0
        self.forecaster = VersionForecaster()
        self.lengths = lengths or LengthModel()
        self.speeds = speeds or SpeedModel()
        self.records = [SampleRecord(ordinal) for ordinal in range(spec.size)]
        self.prefixes = [xxhash.xxh3_64_hexdigest(group.prompt.encode()) for group in spec.groups]
        self.queue = collections.defaultdict(set)
        self.tasks = {}
        self.scoring = {}
        self.ready = set()
        self.started_groups = set()
        self.preferred_engines = {}
        self.buffered_bytes = 0
        self.consecutive_failures = 0
        self.discarded = collections.Counter()
        self.tokens_useful = 0
        self.tokens_thrown_away = 0
        self.stopped = ""
        self.next_task = 0
        # Two coordinators of one lot must not generate the same task ids.
        self.task_prefix = f"{rng.getrandbits(48):012x}"
        for ordinal in range(spec.size):
            if not cursor.contains(ordinal):
                self.queue[spec.group_of(ordinal)].add(ordinal)

    def is_wanted(self, ordinal):
        """Return whether the trainer has not consumed a sample yet."""
        return not (self.acknowledged.contains(ordinal) or self.last_pull_cursor.contains(ordinal))

    def is_stale(self, sample):
        """Return whether a sample exceeds the staleness bound."""
        return self.highest_trainer_version - sample.lowest_version > self.spec.staleness_bound

    def queued_ordinals(self, group):
        """Return the sorted queued ordinals of a group that the trainer has not consumed yet."""
        return sorted(ordinal for ordinal in self.queue[group] if self.is_wanted(ordinal))

    def prefix(self, ordinal):
        """Return the key of a sample's prompt."""
        return self.prefixes[self.spec.group_of(ordinal)]

    def new_task_id(self, ordinal):
        """Return a task id that is unique over all coordinators."""
        self.next_task += 1
        return f"{self.spec.sample_id(ordinal)}#{self.task_prefix}-{self.next_task}"

    def record_start(self, task):
        """Record that a rollout was started."""
        record = self.records[task.ordinal]
        group = self.spec.group_of(task.ordinal)
        self.tasks[task.task_id] = task
        self.queue[group].discard(task.ordinal)
        self.started_groups.add(group)
        record.tasks.append(task.task_id)
        record.phase = Phase.RUNNING

    def remove_task(self, task_id):
        """Remove a running rollout and return it, or None if it is no longer running."""
        task = self.tasks.pop(task_id, None)
        if task is not None:
            self.records[task.ordinal].tasks.remove(task_id)
        return task

    def cancel_tasks(self, record, now):
        """Remove the running rollouts of a sample and return their `Cancel` actions."""
        actions = []
        for task_id in list(record.tasks):
            task = self.remove_task(task_id)
            self.tokens_thrown_away += int(
                min(self.estimated_tokens(task, now), self.spec.max_tokens)
            )
            actions.append(Cancel(task_id))
        return actions

    def estimated_tokens(self, task, now):
        """Return the estimated number of tokens that a rollout has generated by now."""
        return max(0.0, now - task.started_at) * self.speeds.speed(task.target)

    def expected_total_tokens(self, task, now):
        """Return the expected length in tokens of a running rollout, given its time so far."""
        produced = self.estimated_tokens(task, now)
        if produced < task.expected_tokens:
            return task.expected_tokens
        return min(self.spec.max_tokens, max(task.expected_tokens, produced * OVERRUN_FACTOR))

    def remaining_s(self, task, now):
        """Return the expected remaining time of a running rollout in seconds."""
        produced = self.estimated_tokens(task, now)
        if produced < task.expected_tokens:
            return (task.expected_tokens - produced) / self.speeds.speed(task.target)
        return (OVERRUN_FACTOR - 1.0) * (now - task.started_at)

    def store_sample(self, record, sample):
        """Store a finished candidate in the record of its sample."""
        record.sample = sample
        record.delivered = False
        record.score_attempts = 0
        self.queue[sample.group].discard(record.ordinal)
        self.started_groups.add(sample.group)
        self.buffered_bytes += len(sample.text.encode())

    def make_ready(self, record, score):
        """Make a finished sample available to pulls."""
        record.sample = attrs.evolve(record.sample, score=score)
        record.phase = Phase.READY
        record.failures = 0
        self.scoring.pop(record.scoring_task, None)
        self.ready.add(record.ordinal)
        self.tokens_useful += record.sample.tokens

    def remove_sample(self, record):
        """Remove the finished candidate of a record and queue the sample; return its tokens."""
        sample = record.sample
        if sample is None:
            return 0
        self.buffered_bytes -= len(sample.text.encode())
        self.scoring.pop(record.scoring_task, None)
        self.ready.discard(record.ordinal)
        record.sample = None
        record.phase = Phase.QUEUED
        record.delivered = False
        self.queue[sample.group].add(record.ordinal)
        return sample.tokens

    def discard_sample(self, record, reason, now):
        """Discard a finished candidate and queue the next one without delay."""
        if record.phase is Phase.READY:
            self.tokens_useful -= record.sample.tokens
        self.tokens_thrown_away += self.remove_sample(record)
        return self.requeue(record, reason, now)

    def requeue(self, record, reason, now, delay_s=0.0):
        """Count a discarded or failed rollout; queue its sample unless a copy still runs."""
        self.discarded[reason] += 1
        if record.tasks:
            return []
        record.phase = Phase.QUEUED
        record.candidate += 1
        record.start_not_before = now + delay_s
        self.queue[self.spec.group_of(record.ordinal)].add(record.ordinal)
        return [Regenerate(record.ordinal, reason)]

    def backoff_s(self, failures):
        """Return a delay with jitter that doubles with each failure, in seconds."""
        delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(failures, BACKOFF_DOUBLINGS))
        return delay * (0.5 + 0.5 * self.rng.random())
