"""Transitions on the end of rollouts and of scoring calls."""

import math

from turmericreach.lots.samples import Sample, Score, is_label_complete
from turmericreach.lots.state import Phase
from turmericreach.verdicts import Verdict

__all__ = ["fail_rollout", "fail_score", "take_result", "take_score"]

# A scoring call that may have run is repeated this often. Calls that did not run are repeated
# until the sample is stale, since an outage of the scorer must not throw finished rollouts away.
MAX_SCORE_TRIES = 8


def take_result(state, task_id, result, now):
    """Take the end of a rollout and return the actions that follow.

    Results of rollouts that were cancelled or given up are ignored.
    """
    task = state.end_task(task_id)
    if task is None:
        return []
    record = state.records[task.ordinal]
    state.failure_streak = 0
    if not is_label_complete(result):
        return discard_result(state, record, result, "unknown_label", now)
    learn(state, task, result, now)
    if not state.is_wanted(task.ordinal):
        return drop_unwanted(state, record, result, now)
    sample = make_sample(state, task, result)
    if state.is_stale(sample):
        return discard_result(state, record, result, "stale", now)
    actions = state.cancel_tasks(record, now)
    state.hold(record, sample)
    if not state.spec.scoring_service:
        state.make_ready(record, None)
        return actions
    return [*actions, request_score(state, record, task_id, now)]


def learn(state, task, result, now):
    """Learn the length of a rollout and the speed of its engine."""
    state.lengths.observe(state.spec.kind, state.prefix(task.ordinal), result.tokens)
    state.speeds.observe(result.engine or task.target, result.tokens, now - task.started_at)


def make_sample(state, task, result):
    """Return the sample of a result, without its score."""
    group, index = divmod(task.ordinal, state.spec.samples_per_group)
    return Sample(
        id=state.spec.sample_id(task.ordinal),
        group=group,
        index=index,
        text=result.text,
        tokens=result.tokens,
        segments=list(result.segments),
        engine=result.engine or task.target,
        attempt_id=result.attempt_id,
        started_version=result.started_version,
        finished_version=result.finished_version,
        group_size=state.spec.samples_per_group,
    )


def discard_result(state, record, result, reason, now):
    """Discard a result; a missing label backs off, since the engine may keep sending none."""
    state.tokens_thrown_away += result.tokens
    if reason == "stale":
        return state.requeue(record, reason, now)
    record.failures += 1
    return state.requeue(record, reason, now, state.backoff(record.failures))


def drop_unwanted(state, record, result, now):
    """Discard the result of a sample that the trainer got from another coordinator."""
    state.tokens_thrown_away += result.tokens
    actions = state.cancel_tasks(record, now)
    state.requeue(record, "consumed", now)
    return actions


def fail_rollout(state, task_id, code, now, retry_after_s=0.0):
    """Take the failure of a rollout; it is queued again with backoff."""
    task = state.end_task(task_id)
    if task is None:
        return []
    record = state.records[task.ordinal]
    record.failures += 1
    state.failure_streak += 1
    delay = max(retry_after_s, state.backoff(record.failures))
    return state.requeue(record, code or "failed", now, delay)


def request_score(state, record, task_id, now, delay_s=0.0):
    """Return the action that asks for the score of a held sample."""
    record.phase = Phase.SCORING
    record.scoring_task = task_id
    record.since = now + delay_s
    record.score_tries += 1
    state.scoring[task_id] = record.ordinal
    return Score(task_id, record.ordinal, record.sample, record.since)


def take_score(state, task_id, score, now):
    """Take the score of a held sample; answers to former requests are ignored."""
    ordinal = state.scoring.get(task_id)
    if ordinal is None:
        return []
    record = state.records[ordinal]
    if not isinstance(score, int | float) or not math.isfinite(score):
        return state.discard_sample(record, "bad_score", now)
    state.make_ready(record, score)
    return []


def fail_score(state, task_id, verdict, now, may_repeat):
    """Take the failure of a scoring call.

    Parameters
    ----------
    state : LotState
    task_id : str
    verdict : Verdict
        Whether the call may have run.
    now : float
        Time in seconds.
    may_repeat : bool
        Whether the scoring service allows a call to be repeated that may have run.

    Returns
    -------
    list of Action
        `Score` again if that is allowed, otherwise `Regenerate`.
    """
    ordinal = state.scoring.get(task_id)
    if ordinal is None:
        return []
    record = state.records[ordinal]
    if state.is_stale(record.sample):
        return state.discard_sample(record, "stale", now)
    repeats = may_repeat and record.score_tries < MAX_SCORE_TRIES
    if verdict is not Verdict.NOT_RUN and not repeats:
        return state.discard_sample(record, "unscored", now)
    return [request_score(state, record, task_id, now, state.backoff(record.score_tries))]
