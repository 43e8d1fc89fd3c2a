"""The coordinator of a lot: a pure decision object without sockets or clocks."""

import collections

from turmericreach.lots import delivery, results, scheduling
from turmericreach.lots.samples import LotProgress
from turmericreach.lots.state import LotState
from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["LotCoordinator"]

MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class LotCoordinator:
    """Decides which rollouts of a lot run and which samples its trainer gets.

    All times are seconds of the caller's clock.

    Parameters
    ----------
    spec : LotSpec
    policy : Policy
        Uses `weighting` and `straggler_copies`.
    cursor : Cursor
        Samples acknowledged so far.
    rng : random.Random
        Source of task ids and backoff jitter.
    lengths : LengthModel, optional
        Shared by the lots of a process, so that a new lot knows the lengths of its kind.
    speeds : SpeedModel, optional
        Shared like `lengths`.
    retry_unknown_scores : bool
        Whether the scoring service allows a call to be repeated that may have run.
    max_buffered_bytes : int
        Size of finished samples beyond which no further group is begun.
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
        """Choose the rollouts to start.

        Parameters
        ----------
        now : float
        current_version : int
            Newest weight version of the model.
        slots : int
            Rollouts that may be started.
        engines : EngineView

        Returns
        -------
        list of SampleTask
        """
        self.state.clock.observe(current_version, now)
        if self.state.stopped or slots <= 0:
            return []
        return scheduling.choose_tasks(self.state, now, slots, engines, self.max_buffered_bytes)

    def on_started(self, task_id, target, version, now):
        """Note where a rollout really runs, if not on its preferred target."""
        task = self.state.tasks.get(task_id)
        if task is not None:
            task.target = target
            task.version = version
            task.started_at = now

    def on_result(self, task_id, result, now):
        """Take the end of a rollout and return the actions that follow."""
        return results.take_result(self.state, task_id, result, now)

    def on_failure(self, task_id, verdict, code, now, retry_after_s=0.0):
        """Take the failure of a rollout and return the actions that follow.

        Rollouts are idempotent, so every verdict allows another attempt; `verdict` decides only
        whether the engine's work counts as thrown away.
        """
        if verdict is not Verdict.NOT_RUN and task_id in self.state.tasks:
            task = self.state.tasks[task_id]
            produced = min(self.state.produced(task, now), self.spec.max_tokens)
            self.state.tokens_thrown_away += int(produced)
        return results.fail_rollout(self.state, task_id, code, now, retry_after_s)

    def on_score(self, task_id, score, now):
        """Take the score of a sample and return the actions that follow."""
        return results.take_score(self.state, task_id, score, now)

    def on_score_failure(self, task_id, verdict, now):
        """Take the failure of a scoring call and return the actions that follow."""
        return results.fail_score(self.state, task_id, verdict, now, self.retry_unknown_scores)

    def pull(self, cursor, trainer_version, max_samples, now, whole_groups=False):
        """Hand finished samples to the trainer.

        Parameters
        ----------
        cursor : Cursor
            Samples that the trainer has consumed.
        trainer_version : int
        max_samples : int
        now : float
        whole_groups : bool
            Whether a group is handed over only when all of it is finished.

        Returns
        -------
        PullResult

        Raises
        ------
        RequestError
            ``bad_request``, or ``cancelled`` or ``leaving`` if the lot has ended here.
        """
        self.refuse_if_stopped()
        self.state.clock.announce(trainer_version, now)
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
        """Free the samples of a cursor that the trainer has saved; return the actions.

        The acknowledged cursor is the union of all that were given; it never shrinks.
        """
        return delivery.acknowledge(self.state, cursor, now)

    @property
    def cursor(self):
        """The acknowledged cursor."""
        return self.state.acked

    def cancel_hopeless(self, now, current_version):
        """Give up rollouts that cannot end within their bound, or whose end was never reported.

        To be called regularly. Also gives up rollouts of consumed samples and scoring calls
        past their deadline.

        Returns
        -------
        list of Action
        """
        self.state.clock.observe(current_version, now)
        actions = scheduling.give_up_hopeless(self.state, now)
        for task_id, ordinal in list(self.state.scoring.items()):
            if now - self.state.records[ordinal].since > self.spec.deadline_s:
                actions += self.on_score_failure(task_id, Verdict.MAY_HAVE_RUN, now)
        return actions

    def hand_over(self):
        """Return the finished, unconsumed samples as bytes and serve no further calls."""
        body = delivery.export_samples(self.state)
        self.state.stopped = ErrorCode.LEAVING
        return body

    def take_over(self, state, now=0.0):
        """Take the samples that another coordinator handed over; return the actions."""
        return delivery.import_samples(self.state, state, now)

    def cancel(self, now=0.0):
        """End the lot and return a `Cancel` for each running rollout.

        After `hand_over`, only the rollouts end: the lot goes on at the next coordinator.
        """
        self.state.stopped = self.state.stopped or ErrorCode.CANCELLED
        actions = []
        for record in self.state.records:
            actions += self.state.cancel_tasks(record, now)
            self.state.release(record)
        return actions

    def refuse_if_stopped(self):
        """Raise if this coordinator does not serve the lot any more."""
        if self.state.stopped:
            message = f"lot {self.spec.name} is not served here any more"
            status = 503 if self.state.stopped is ErrorCode.LEAVING else 409
            raise RequestError(self.state.stopped, message, status=status)

    def progress(self):
        """Return counts for status displays."""
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
