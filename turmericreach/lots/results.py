"""State transitions at the end of rollouts and scoring calls."""

import math

from turmericreach.lots.samples import Sample, Score, is_label_complete
from turmericreach.lots.state import Phase
from turmericreach.verdicts import Verdict

__all__ = ["handle_result", "handle_rollout_failure", "handle_score", "handle_score_failure"]

# Maximum number of attempts to score a sample when the last call may have run. Calls that did not
# run are repeated until the sample is stale, so that an outage of the scoring service does not
# discard finished rollouts.
MAX_SCORE_ATTEMPTS = 8


def handle_result(state, task_id, result, now):
    """Handle the result of a rollout and return the resulting actions.

    Results of cancelled rollouts are ignored.
    """
    task = state.remove_task(task_id)
    if task is None:
        return []
    record = state.records[task.ordinal]
    state.consecutive_failures = 0
    if not is_label_complete(result):
        return discard_result(state, record, result, "unknown_label", now)
    update_estimates(state, task, result, now)
    if not state.is_wanted(task.ordinal):
        return discard_unwanted(state, record, result, now)
    sample = make_sample(state, task, result)
    if state.is_stale(sample):
        return discard_result(state, record, result, "stale", now)
    actions = state.cancel_tasks(record, now)
    state.store_sample(record, sample)
    if not state.spec.scoring_service:
        state.make_ready(record, None)
        return actions
    return [*actions, request_score(state, record, task_id, now)]


def update_estimates(state, task, result, now):
    """Add the length of a rollout and the speed of its engine to the estimates."""
    state.lengths.observe(state.spec.kind, state.prefix(task.ordinal), result.tokens)
    state.speeds.observe(result.engine or task.target, result.tokens, now - task.started_at)


def make_sample(state, task, result):
    """Build the sample of a result; it has no score yet."""
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
    """Discard a result and queue its sample again.

    After an incomplete version label this is delayed, since the engine may repeat the fault.
    """
    state.tokens_thrown_away += result.tokens
    if reason == "stale":
        return state.requeue(record, reason, now)
    record.failures += 1
    return state.requeue(record, reason, now, state.backoff_s(record.failures))


def discard_unwanted(state, record, result, now):
    """Discard the result of a sample that the trainer already has from another coordinator."""
    state.tokens_thrown_away += result.tokens
    actions = state.cancel_tasks(record, now)
    state.requeue(record, "consumed", now)
    return actions


def handle_rollout_failure(state, task_id, code, now, retry_after_s=0.0):
    """Handle the failure of a rollout; its sample is queued again with backoff."""
    task = state.remove_task(task_id)
    if task is None:
        return []
    record = state.records[task.ordinal]
    record.failures += 1
    state.consecutive_failures += 1
    delay = max(retry_after_s, state.backoff_s(record.failures))
    return state.requeue(record, code or "failed", now, delay)


def request_score(state, record, task_id, now, delay_s=0.0):
    """Return the action that requests the score of a finished sample."""
    record.phase = Phase.SCORING
    record.scoring_task = task_id
    record.scoring_requested_at = now + delay_s
    record.score_attempts += 1
    state.scoring[task_id] = record.ordinal
    return Score(task_id, record.ordinal, record.sample, record.scoring_requested_at)


def handle_score(state, task_id, score, now):
    """Handle the score of a sample; responses to earlier requests are ignored."""
    ordinal = state.scoring.get(task_id)
    if ordinal is None:
        return []
    record = state.records[ordinal]
    if not isinstance(score, int | float) or not math.isfinite(score):
        return state.discard_sample(record, "bad_score", now)
    state.make_ready(record, score)
    return []


def handle_score_failure(state, task_id, verdict, now, may_repeat):
    """Handle the failure of a scoring call.

    Parameters
    ----------
    state : LotState
        State of the lot.
    task_id : str
        Rollout that generated the sample.
    verdict : Verdict
        Whether the call may have run.
    now : float
        Current time in seconds.
    may_repeat : bool
        Whether a scoring call that may have run can be repeated.

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
    is_repeatable = may_repeat and record.score_attempts < MAX_SCORE_ATTEMPTS
    if verdict is not Verdict.NOT_RUN and not is_repeatable:
        return state.discard_sample(record, "unscored", now)
    return [request_score(state, record, task_id, now, state.backoff_s(record.score_attempts))]
