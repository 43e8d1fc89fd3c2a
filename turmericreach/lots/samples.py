"""Samples, tasks, results and the actions that the coordinator asks for."""

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
    """One finished rollout with its label.

    Attributes
    ----------
    id : str
        ``lot/group/index``.
    segments : list of Segment
        Versions of the tokens as the engine reported them.
    score : float or None
        None if the lot has no scoring service.
    started_version, finished_version : int or None
        Versions that the agent read before the start and after the end.
    group_size : int
        Number of samples in the group, so that a trainer can recognise a whole group.
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
        """Lowest weight version that produced a token."""
        return min(segment.version for segment in self.segments)


@attrs.frozen
class RolloutResult:
    """The end of one rollout.

    Attributes
    ----------
    tokens : int
        Tokens that the engine counted.
    complete : bool
        Whether every chunk carried a version.
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
    """Return whether the segments account for every token without contradiction.

    Parameters
    ----------
    result : RolloutResult

    Returns
    -------
    bool
        False if a chunk had no version, the counts do not add up, or a segment lies outside the
        versions that the agent read before and after. A label is never guessed.
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
    """An engine as the caller sees it; `speed` is tokens a second of one stream, 0 if unknown."""

    target: str
    version: int
    free_slots: int
    speed: float = 0.0


@attrs.frozen
class EngineView:
    """The engines that may run rollouts of a lot."""

    engines: list[EngineState] = attrs.field(factory=list)


@attrs.frozen
class SampleTask:
    """One rollout to start.

    Attributes
    ----------
    copy : int
        0 for the first run of a candidate, 1 and up for straggler copies.
    min_version : int
        Lowest version on which the rollout is likely to end within its bound.
    prefer_target : str
        Engine to use if it still has a slot; empty for any.
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
    """Ask the scoring service for the score of a sample, not before `not_before` (seconds)."""

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
    """Tells that a sample is generated again, and why; the coordinator has queued it."""

    ordinal: int
    reason: str


Action = Score | Cancel | Regenerate


@attrs.frozen
class PullResult:
    """Answer to a pull.

    Attributes
    ----------
    remaining : int
        Samples that are neither in the cursor nor in this answer.
    done : bool
        Whether the cursor holds every sample.
    trainer_version : int
        Version against which staleness was checked. A trainer that has stated a higher one
        since must ignore this answer.
    """

    samples: list[Sample]
    remaining: int
    done: bool
    trainer_version: int


@attrs.frozen
class LotProgress:
    """State of a lot for status displays."""

    counts: dict[str, int]
    stragglers: int
    discarded: dict[str, int]
    tokens_useful: int
    tokens_thrown_away: int
    buffered_bytes: int
    stopped: bool
