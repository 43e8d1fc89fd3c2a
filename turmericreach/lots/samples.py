"""Samples, tasks, results and the actions that the coordinator requests."""

import attrs

from turmericreach.verdicts import Segment

__all__ = [
    "Action",
    "Cancel",
    "EngineState",
    "EngineView",
    "LotProgress",
    "PullResult",
    "Regenerate",
    "RolloutResult",
    "Sample",
    "SampleTask",
    "Score",
    "is_label_complete",
]


@attrs.frozen
class Sample:
    """One finished rollout with its version label.

    Attributes
    ----------
    id : str
        Identifier of the form ``lot/group/index``.
    group : int
        Position of the group in the lot.
    index : int
        Position of the sample in its group.
    text : str
        Generated text.
    tokens : int
        Length of the text in tokens, as counted by the engine.
    segments : list of Segment
        Version label: consecutive runs of tokens with the weight version that the engine
        reported for them.
    score : float or None
        Score of the scoring service, None if the lot has none or the sample is not scored yet.
    engine : str
        Target that generated the sample.
    attempt_id : str
        Attempt that generated the sample.
    started_version, finished_version : int or None
        Weight versions that the agent read before the start and after the end of the rollout,
        None if unknown.
    group_size : int
        Number of samples in the group, with which a trainer recognises a complete group.
    """

    id: str
    group: int
    index: int
    text: str
    tokens: int
    segments: list[Segment]
    score: float | None = None
    engine: str = ""
    attempt_id: str = ""
    started_version: int | None = None
    finished_version: int | None = None
    group_size: int = 0

    @property
    def lowest_version(self):
        """Lowest weight version that generated a token of the sample."""
        return min(segment.version for segment in self.segments)


@attrs.frozen
class RolloutResult:
    """Result of one rollout.

    Attributes
    ----------
    text : str
        Generated text.
    tokens : int
        Length of the text in tokens, as counted by the engine.
    segments : list of Segment
        Weight versions of the tokens, as reported by the engine.
    engine : str
        Target that ran the rollout, empty if unknown.
    attempt_id : str
        Attempt that generated the text.
    started_version, finished_version : int or None
        Weight versions that the agent read before the start and after the end of the rollout,
        None if unknown.
    complete : bool
        Whether every chunk of the stream carried a weight version.
    """

    text: str
    tokens: int
    segments: list[Segment]
    engine: str = ""
    attempt_id: str = ""
    started_version: int | None = None
    finished_version: int | None = None
    complete: bool = True


def is_label_complete(result):
    """Return whether the version label covers every token and is consistent.

    Results without such a label are discarded; a label is never guessed.

    Parameters
    ----------
    result : RolloutResult

    Returns
    -------
    bool
        False if a chunk carried no version, the token counts do not add up, or a segment lies
        outside the range of versions that the agent read before and after the rollout.
    """
    if not result.complete or not result.segments:
        return False
    if any(segment.version < 0 or segment.tokens <= 0 for segment in result.segments):
        return False
    if sum(segment.tokens for segment in result.segments) != result.tokens:
        return False
    if result.started_version is None or result.finished_version is None:
        return True
    low, high = sorted((result.started_version, result.finished_version))
    return all(low <= segment.version <= high for segment in result.segments)


@attrs.frozen
class EngineState:
    """State of an engine, as known to this process.

    Attributes
    ----------
    target : str
        Name of the target.
    version : int
        Weight version that the engine serves.
    free_slots : int
        Number of rollouts that can be started on it.
    speed : float
        Speed of a single stream in tokens per second, 0 if unknown.
    """

    target: str
    version: int
    free_slots: int
    speed: float = 0.0


@attrs.frozen
class EngineView:
    """The engines that can run rollouts of a lot."""

    engines: list[EngineState] = attrs.field(factory=list)


@attrs.frozen
class SampleTask:
    """One rollout to start.

    Attributes
    ----------
    task_id : str
        Identifier that is unique over all coordinators.
    ordinal : int
        Position of the sample in the cursor.
    prompt : str
        Text to send to the engine.
    copy : int
        0 for the first run of a candidate, 1 and up for copies of a straggler.
    seed : int
        Sampling seed, equal for all copies of a candidate.
    min_version : int
        Lowest weight version on which the result is expected to be within the staleness bound.
    expected_tokens : int
        Expected length in tokens.
    prefer_target : str
        Engine to use if it still has a free slot, empty for any.
    prefix : str
        Key of the prompt prefix, equal for all samples of a group.
    """

    task_id: str
    ordinal: int
    prompt: str
    copy: int
    seed: int
    min_version: int
    expected_tokens: int
    prefer_target: str
    prefix: str


@attrs.frozen
class Score:
    """Request the score of a sample from the scoring service.

    Attributes
    ----------
    task_id : str
        Rollout that generated the sample.
    ordinal : int
        Position of the sample in the cursor.
    sample : Sample
        Sample to score.
    not_before : float
        Earliest time of the request in seconds.
    """

    task_id: str
    ordinal: int
    sample: Sample
    not_before: float = 0.0


@attrs.frozen
class Cancel:
    """Cancel a running rollout."""

    task_id: str


@attrs.frozen
class Regenerate:
    """Notification that a sample will be generated again; the coordinator has queued it.

    Attributes
    ----------
    ordinal : int
        Position of the sample in the cursor.
    reason : str
        Why the previous candidate was discarded, or the error code of its failure.
    """

    ordinal: int
    reason: str


Action = Score | Cancel | Regenerate


@attrs.frozen
class PullResult:
    """Result of a pull.

    Attributes
    ----------
    samples : list of Sample
        Samples delivered to the trainer.
    remaining : int
        Number of samples that are neither consumed nor in this result.
    done : bool
        Whether all samples of the lot are consumed.
    trainer_version : int
        Version against which staleness was checked. A trainer that has meanwhile stated a
        higher version must ignore this result.
    """

    samples: list[Sample]
    remaining: int
    done: bool
    trainer_version: int


@attrs.frozen
class LotProgress:
    """Progress of a lot for status displays.

    Attributes
    ----------
    counts : dict of str to int
        Number of samples in each phase, and of consumed samples under ``consumed``.
    stragglers : int
        Number of running straggler copies.
    discarded : dict of str to int
        Number of failed or discarded rollouts by reason.
    tokens_useful : int
        Tokens of samples that were finished and not discarded.
    tokens_thrown_away : int
        Tokens of discarded samples, and estimated tokens of cancelled and failed rollouts.
    buffered_bytes : int
        Total size of the text of buffered samples in bytes.
    stopped : bool
        Whether the lot was cancelled or handed over.
    """

    counts: dict[str, int]
    stragglers: int
    discarded: dict[str, int]
    tokens_useful: int
    tokens_thrown_away: int
    buffered_bytes: int
    stopped: bool
