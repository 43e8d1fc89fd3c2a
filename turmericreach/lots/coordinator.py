"""The coordinator of a lot: decision logic without I/O or access to a clock."""

import collections

from turmericreach.lots import delivery, results, scheduling
from turmericreach.lots.samples import LotProgress
from turmericreach.lots.state import LotState
from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["LotCoordinator"]

MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class LotCoordinator:
    """Decides which rollouts of a lot run and which samples its trainer receives.

    All times are seconds on the clock that the calling code passes in as `now`.

    Parameters
    ----------
    spec : LotSpec
        The lot to coordinate.
    policy : Policy
        Scheduling policy; only `weighting` and `straggler_copies` are used.
    cursor : Cursor
        Samples that the trainer has acknowledged so far.
    rng : random.Random
        Source of task ids and backoff jitter.
    lengths : LengthModel, optional
        Expected lengths of rollouts. Lots of one process can share a model, so that a new lot
        starts with the lengths observed for its kind.
    speeds : SpeedModel, optional
        Speeds of the engines; can be shared like `lengths`.
    retry_unknown_scores : bool
        Whether a scoring call that may have run can be repeated.
    max_buffered_bytes : int
        Total size of the text of finished samples, in bytes, above which no further group is
        started.
    """

    def __init__(
        self,
        spec,
        policy,
        cursor,
        rng,
        *,
        lengths=None,
        speeds=None,
        retry_unknown_scores=False,
        max_buffered_bytes=MAX_BUFFERED_BYTES,
    ):
        self.spec = spec
        self.state = LotState(spec, policy, cursor, rng, lengths, speeds)
        self.retry_unknown_scores = retry_unknown_scores
        self.max_buffered_bytes = max_buffered_bytes

    def next_tasks(self, now, current_version, slots, engines):
        """Select the rollouts to start.

        Parameters
        ----------
        now : float
            Current time in seconds.
        current_version : int
            Newest weight version of the model.
        slots : int
            Maximum number of rollouts to start.
        engines : EngineView
            Engines that can run them.

        Returns
        -------
        list of SampleTask
        """
        self.state.forecaster.observe(current_version, now)
        if self.state.stopped or slots <= 0:
            return []
        return scheduling.select_tasks(self.state, now, slots, engines, self.max_buffered_bytes)

    def on_started(self, task_id, target, version, now):
        """Record the target and weight version on which a rollout was actually started."""
        task = self.state.tasks.get(task_id)
        if task is not None:
            task.target = target
            task.version = version
            task.started_at = now

    def on_result(self, task_id, result, now):
        """Handle the result of a rollout and return the resulting actions."""
        return results.handle_result(self.state, task_id, result, now)

    def on_failure(self, task_id, verdict, code, now, retry_after_s=0.0):
        """Handle the failure of a rollout and return the resulting actions.

        Rollouts are idempotent and can be repeated after any verdict. `verdict` only determines
        whether the tokens that the engine has probably generated count as thrown away.
        """
        if verdict is not Verdict.NOT_RUN and task_id in self.state.tasks:
            task = self.state.tasks[task_id]
            produced = min(self.state.estimated_tokens(task, now), self.spec.max_tokens)
            self.state.tokens_thrown_away += int(produced)
        return results.handle_rollout_failure(self.state, task_id, code, now, retry_after_s)

    def on_score(self, task_id, score, now):
        """Handle the score of a sample and return the resulting actions."""
        return results.handle_score(self.state, task_id, score, now)

    def on_score_failure(self, task_id, verdict, now):
        """Handle the failure of a scoring call and return the resulting actions."""
        return results.handle_score_failure(
            self.state, task_id, verdict, now, self.retry_unknown_scores
        )

    def pull(self, cursor, trainer_version, max_samples, now, whole_groups=False):
        """Deliver finished samples to the trainer.

        Parameters
        ----------
        cursor : Cursor
            Samples that the trainer has consumed.
        trainer_version : int
            Current weight version of the trainer.
        max_samples : int
            Maximum number of samples to return.
        now : float
            Current time in seconds.
        whole_groups : bool
            Whether to deliver a group only when all of its samples are finished.

        Returns
        -------
        PullResult

        Raises
        ------
        RequestError
            With code ``bad_request`` for invalid arguments, ``cancelled`` if the lot was
            cancelled, or ``leaving`` if it was handed over to another coordinator.
        """
        self.raise_if_stopped()
        self.state.forecaster.observe_trainer_version(trainer_version, now)
        return delivery.pull_samples(
            self.state,
            cursor,
            trainer_version,
            max_samples,
            now,
            whole_groups,
            self.max_buffered_bytes,
        )

    def ack(self, cursor, now=0.0):
        """Remove the samples that the trainer has saved and return the resulting actions.

        The acknowledged cursor is the union of all cursors passed in; it never shrinks.
        """
        return delivery.acknowledge(self.state, cursor, now)

    @property
    def cursor(self):
        """Cursor of the acknowledged samples."""
        return self.state.acknowledged

    def cancel_unusable_work(self, now, current_version):
        """Cancel rollouts and scoring calls whose result can no longer be used.

        These are rollouts that are expected to exceed the staleness bound, rollouts of consumed
        samples, and rollouts and scoring calls that have exceeded their deadline, which includes
        those whose end was never reported. To be called periodically.

        Returns
        -------
        list of Action
        """
        self.state.forecaster.observe(current_version, now)
        actions = scheduling.cancel_unusable_rollouts(self.state, now)
        for task_id, ordinal in list(self.state.scoring.items()):
            if now - self.state.records[ordinal].scoring_requested_at > self.spec.deadline_s:
                actions += self.on_score_failure(task_id, Verdict.MAY_HAVE_RUN, now)
        return actions

    def hand_over(self):
        """Return the finished, unacknowledged samples as bytes and reject further calls."""
        body = delivery.export_samples(self.state)
        self.state.stopped = ErrorCode.LEAVING
        return body

    def apply_handover(self, body, now=0.0):
        """Import the samples handed over by another coordinator; return the resulting actions."""
        return delivery.import_samples(self.state, body, now)

    def cancel(self, now=0.0):
        """Stop the lot and return a `Cancel` for each running rollout.

        After `hand_over`, this only stops the rollouts here; the lot continues at the next
        coordinator and is not marked as cancelled.
        """
        self.state.stopped = self.state.stopped or ErrorCode.CANCELLED
        actions = []
        for record in self.state.records:
            actions += self.state.cancel_tasks(record, now)
            self.state.remove_sample(record)
        return actions

    def raise_if_stopped(self):
        """Raise `RequestError` if the lot was cancelled or handed over."""
        if self.state.stopped:
            message = f"lot {self.spec.name} is no longer served by this process"
            status = 503 if self.state.stopped is ErrorCode.LEAVING else 409
            raise RequestError(self.state.stopped, message, status=status)

    def progress(self):
        """Return the progress of the lot for status displays."""
        state = self.state
        counts = collections.Counter(queued=0, running=0, scoring=0, ready=0, consumed=0)
        for record in state.records:
            wanted = state.is_wanted(record.ordinal)
            counts[record.phase.value if wanted else "consumed"] += 1
        return LotProgress(
            counts=dict(counts),
            stragglers=sum(task.copy > 0 for task in state.tasks.values()),
            discarded=dict(state.discarded),
            tokens_useful=state.tokens_useful,
            tokens_thrown_away=state.tokens_thrown_away,
            buffered_bytes=state.buffered_bytes,
            stopped=bool(state.stopped),
        )
