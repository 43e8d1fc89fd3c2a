"""Execution of one lot: starts the rollouts and scoring calls that its coordinator requests."""

import asyncio
import json
import random
from collections.abc import Callable

import attrs
import msgspec

from turmericreach.attempts import CallerRequest, RequestRunner, SentAttempt
from turmericreach.daemon.completions import CompletionBody, CompletionResult
from turmericreach.lots import (
    Cancel,
    Cursor,
    EngineView,
    LotCoordinator,
    LotSpec,
    PullResult,
    Regenerate,
    RolloutResult,
    SampleTask,
    Score,
)
from turmericreach.telemetry import events, log_event
from turmericreach.verdicts import ErrorCode, Outcome, Verdict

__all__ = ["LotContext", "LotRunner"]

# Longest pause between two checks for free slots.
STEP_INTERVAL_S = 0.5
# Interval of the checks for rollouts whose result can no longer be used.
UNUSABLE_CHECK_INTERVAL_S = 5.0
# Longest pause between two checks of a waiting pull for finished samples.
PULL_POLL_INTERVAL_S = 0.5


@attrs.frozen
class LotContext:
    """Services of the gateway that a lot uses.

    Attributes
    ----------
    runner : RequestRunner
        Sends rollouts and scoring calls to targets.
    engine_view : callable
        Takes the name of a service and the number of rollouts that the lot has in flight, and
        returns the `EngineView`.
    wanted_version : callable
        Takes the name of a model and returns its newest active weight version, 0 if none was
        announced.
    target_version : callable
        Takes the name of a target and returns its last known weight version.
    """

    runner: RequestRunner
    engine_view: Callable[[str, int], EngineView]
    wanted_version: Callable[[str], int]
    target_version: Callable[[str], int]


class LotRunner:
    """Runs one lot as its coordinator decides.

    Parameters
    ----------
    spec : LotSpec
        Lot to run.
    context : LotContext
        Services of the gateway.
    policy : Policy
        Scheduling policy of the manifest.
    cursor : Cursor
        Samples that the trainer has acknowledged.
    retry_unknown_scores : bool
        Whether the scoring service allows a call that may have run to be repeated.

    Attributes
    ----------
    coordinator : LotCoordinator
        State of the lot; decides which rollouts and scoring calls to start.
    rollouts, scorings : dict of str to asyncio.Task
        Rollouts and scoring calls in flight, by task id.
    changed : asyncio.Event
        Set after each change of the lot; wakes the task that starts rollouts.
    samples_ready : asyncio.Event
        Set when there may be finished samples; wakes waiting pulls.
    loop_task : asyncio.Task or None
        Task that starts rollouts, None before `start`.
    last_pull_at : float
        Loop time in seconds of the last pull.
    """

    def __init__(
        self,
        spec: LotSpec,
        context: LotContext,
        policy,
        cursor: Cursor,
        retry_unknown_scores: bool,
    ):
        self.spec = spec
        self.context = context
        self.coordinator = LotCoordinator(
            spec,
            policy,
            cursor,
            random.Random(),
            retry_unknown_scores=retry_unknown_scores,
        )
        self.rollouts: dict[str, asyncio.Task] = {}
        self.scorings: dict[str, asyncio.Task] = {}
        self.changed = asyncio.Event()
        self.samples_ready = asyncio.Event()
        self.loop_task: asyncio.Task | None = None
        self.last_pull_at = self.now()

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Start the task that starts rollouts."""
        self.loop_task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Start rollouts after each change and periodically, and cancel unusable work."""
        checked_at = self.now()
        while True:
            self.changed.clear()
            try:
                self.start_rollouts()
            except Exception as error:  # noqa: BLE001 - one failed step must not end the lot
                log_event(
                    events.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where="lot"
                )
            if self.now() - checked_at >= UNUSABLE_CHECK_INTERVAL_S:
                checked_at = self.now()
                version = self.context.wanted_version(self.spec.model)
                self.apply(self.coordinator.cancel_unusable_work(self.now(), version))
            try:
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def start_rollouts(self) -> None:
        """Start rollouts on the free slots of the engines."""
        view: EngineView = self.context.engine_view(self.spec.service, len(self.rollouts))
        slots = sum(engine.free_slots for engine in view.engines)
        if slots <= 0:
            return
        version = self.context.wanted_version(self.spec.model)
        for task in self.coordinator.next_tasks(self.now(), version, slots, view):
            rollout = asyncio.ensure_future(self.run_rollout(task))
            self.rollouts[task.task_id] = rollout
            rollout.add_done_callback(lambda _, key=task.task_id: self.rollouts.pop(key, None))

    async def run_rollout(self, task: SampleTask) -> None:
        """Run one rollout and pass its result or failure to the coordinator."""
        outcome = await self.run_request(
            self.rollout_request(task), lambda sent: self.record_start(task, sent)
        )
        now = self.now()
        result = parse_rollout(outcome)
        if result is None:
            actions = self.coordinator.on_failure(
                task.task_id, outcome.verdict, outcome.code, now, outcome.retry_after_s
            )
        else:
            actions = self.coordinator.on_result(task.task_id, result, now)
        self.apply(actions)
        self.wake()

    async def run_request(self, request: CallerRequest, on_sent=None) -> Outcome:
        """Run a request; log an unexpected error and treat the request as possibly run."""
        try:
            return await self.context.runner.run(request, on_sent=on_sent)
        except Exception as error:  # noqa: BLE001 - otherwise the sample waits until its deadline
            text = f"{type(error).__name__}: {error}"
            log_event(events.INTERNAL_ERROR, error=text, where=request.request_id)
            return Outcome(Verdict.MAY_HAVE_RUN, code=ErrorCode.INTERNAL, evidence=text)

    def record_start(self, task: SampleTask, sent: SentAttempt) -> None:
        """Record in the coordinator the target and version on which a rollout actually runs."""
        version = self.context.target_version(sent.target)
        self.coordinator.on_started(task.task_id, sent.target, version, self.now())
        if task.copy:
            sample = self.spec.sample_id(task.ordinal)
            log_event(events.STRAGGLER_COPIED, sample=sample, target=sent.target)

    def rollout_request(self, task: SampleTask) -> CallerRequest:
        """Build the request of a rollout."""
        body = CompletionBody(task.prompt, self.spec.max_tokens, self.spec.temperature, task.seed)
        return CallerRequest(
            request_id=f"{self.spec.sample_id(task.ordinal)}#{task.task_id}",
            service=self.spec.service,
            deadline=self.now() + self.spec.deadline_s,
            priority="rollout",
            method="POST",
            path="/v1/completions",
            body=msgspec.json.encode(body),
            lot=self.spec.name,
            trainer=self.spec.trainer,
            min_version=task.min_version,
            prefix=task.prefix,
            expected_tokens=task.expected_tokens,
            preferred_target=task.prefer_target,
        )

    def apply(self, actions) -> None:
        """Carry out the actions that the coordinator requests."""
        for action in actions:
            if isinstance(action, Cancel):
                self.cancel_rollout(action.task_id)
                continue
            if isinstance(action, Score):
                self.start_scoring(action)
                continue
            if isinstance(action, Regenerate):
                log_event(
                    events.SAMPLE_DISCARDED,
                    sample=self.spec.sample_id(action.ordinal),
                    reason=action.reason,
                )

    def cancel_rollout(self, task_id: str) -> None:
        """Cancel a rollout, which frees its slot at the engine."""
        task = self.rollouts.pop(task_id, None)
        if task is not None:
            task.cancel()

    def start_scoring(self, action: Score) -> None:
        """Start a scoring call."""
        scoring = asyncio.ensure_future(self.score(action))
        self.scorings[action.task_id] = scoring
        scoring.add_done_callback(lambda _: self.scorings.pop(action.task_id, None))

    async def score(self, action: Score) -> None:
        """Run one scoring call and pass its score or failure to the coordinator."""
        delay_s = action.not_before - self.now()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        outcome = await self.run_request(self.scoring_request(action))
        value = parse_score(outcome)
        if value is None:
            verdict = outcome.verdict
            if verdict is Verdict.ANSWERED:
                # A response without a score does not prove that the scoring did not run.
                verdict = Verdict.MAY_HAVE_RUN
            actions = self.coordinator.on_score_failure(action.task_id, verdict, self.now())
        else:
            actions = self.coordinator.on_score(action.task_id, value, self.now())
        self.apply(actions)
        self.wake()

    def scoring_request(self, action: Score) -> CallerRequest:
        """Build the request of a scoring call."""
        sample = action.sample
        group = self.spec.groups[sample.group]
        body = {
            "sample": sample.id,
            "prompt": group.prompt,
            "text": sample.text,
            "metadata": group.metadata,
        }
        return CallerRequest(
            request_id=f"{sample.id}#{action.task_id}:score",
            service=self.spec.scoring_service,
            deadline=self.now() + self.spec.deadline_s,
            idempotent=self.coordinator.retry_unknown_scores,
            priority="scoring",
            method="POST",
            path=self.spec.scoring_path,
            headers=[("Content-Type", "application/json")],
            body=json.dumps(body).encode(),
            lot=self.spec.name,
            trainer=self.spec.trainer,
        )

    def is_cancelled(self) -> bool:
        """Return whether the lot was cancelled."""
        return self.coordinator.state.stopped is ErrorCode.CANCELLED

    def is_complete(self) -> bool:
        """Return whether every sample was acknowledged or the lot was stopped."""
        cursor = self.coordinator.cursor
        return bool(self.coordinator.state.stopped) or cursor.count() == self.spec.size

    def wake(self) -> None:
        """Wake the task that starts rollouts, and waiting pulls."""
        self.changed.set()
        self.samples_ready.set()

    async def pull(
        self,
        cursor: Cursor,
        trainer_version: int,
        max_samples: int,
        wait_s: float,
        whole_groups: bool,
    ) -> PullResult:
        """Return finished samples; wait up to `wait_s` seconds for the first one."""
        deadline = self.now() + wait_s
        while True:
            self.last_pull_at = self.now()
            self.samples_ready.clear()
            result = self.coordinator.pull(
                cursor, trainer_version, max_samples, self.now(), whole_groups
            )
            self.changed.set()
            remaining_s = deadline - self.now()
            if result.samples or result.done or remaining_s <= 0:
                return result
            try:
                async with asyncio.timeout(min(remaining_s, PULL_POLL_INTERVAL_S)):
                    await self.samples_ready.wait()
            except TimeoutError:
                continue

    def acknowledge(self, cursor: Cursor) -> None:
        """Release acknowledged samples."""
        self.apply(self.coordinator.ack(cursor, self.now()))
        self.changed.set()

    async def stop(self) -> None:
        """Stop the lot and all its calls in flight; a lot not handed over counts as cancelled."""
        self.apply(self.coordinator.cancel(self.now()))
        self.samples_ready.set()
        tasks = [*self.rollouts.values(), *self.scorings.values()]
        if self.loop_task is not None:
            tasks.append(self.loop_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def parse_rollout(outcome: Outcome) -> RolloutResult | None:
    """Parse the result from the outcome of a rollout; return None if it has none."""
    if outcome.verdict is not Verdict.ANSWERED or outcome.status != 200:
        return None
    try:
        result = msgspec.json.decode(outcome.body, type=CompletionResult)
    except msgspec.DecodeError:
        return None
    return RolloutResult(
        text=result.text,
        tokens=result.tokens,
        segments=outcome.segments,
        engine=result.target,
        attempt_id=result.attempt_id,
        started_version=result.started_version,
        finished_version=result.finished_version,
        complete=outcome.code != ErrorCode.UNKNOWN_LABEL,
    )


def parse_score(outcome: Outcome) -> float | None:
    """Parse the score from the outcome of a scoring call; return None if it has none."""
    if outcome.verdict is not Verdict.ANSWERED or outcome.status != 200:
        return None
    try:
        response = msgspec.json.decode(outcome.body)
        return float(response["score"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
