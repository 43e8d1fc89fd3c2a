"""Runs one lot: starts the rollouts and scoring calls that its coordinator asks for."""

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

STEP_INTERVAL_S = 0.5
HOPELESS_INTERVAL_S = 5.0
PULL_POLL_S = 0.5


@attrs.frozen
class LotContext:
    """What a lot needs from its gateway.

    Attributes
    ----------
    runner : RequestRunner
    engine_view : callable
        Takes a service, the number of rollouts that the lot has in flight, and returns the
        `EngineView`.
    wanted_version : callable
        Returns the newest active version of a model, 0 if none was announced.
    target_version : callable
        Returns the last known version of a target.
    """

    runner: RequestRunner
    engine_view: Callable[[str, int], EngineView]
    wanted_version: Callable[[str], int]
    target_version: Callable[[str], int]


class LotRunner:
    """Drives the coordinator of one lot.

    Parameters
    ----------
    spec : LotSpec
    context : LotContext
    policy : Policy
    cursor : Cursor
        Acknowledged samples.
    retry_unknown_scores : bool
        Whether the scoring service allows a call that may have run to be repeated.
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
        self.ready = asyncio.Event()
        self.loop_task: asyncio.Task | None = None
        self.last_pull = self.now()

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Start the loop that keeps rollouts running."""
        self.loop_task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Start what may start, whenever something changed."""
        checked_at = self.now()
        while True:
            self.changed.clear()
            try:
                self.step()
            except Exception as error:  # noqa: BLE001 - a fault of one step must not end the lot
                log_event(
                    events.INTERNAL_ERROR, error=f"{type(error).__name__}: {error}", where="lot"
                )
            if self.now() - checked_at >= HOPELESS_INTERVAL_S:
                checked_at = self.now()
                version = self.context.wanted_version(self.spec.model)
                self.apply(self.coordinator.cancel_unusable_work(self.now(), version))
            try:
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def step(self) -> None:
        """Start the rollouts for which there is room."""
        view: EngineView = self.context.engine_view(self.spec.service, len(self.rollouts))
        slots = sum(engine.free_slots for engine in view.engines)
        if slots <= 0:
            return
        version = self.context.wanted_version(self.spec.model)
        for task in self.coordinator.next_tasks(self.now(), version, slots, view):
            running = asyncio.ensure_future(self.roll_out(task))
            self.rollouts[task.task_id] = running
            running.add_done_callback(lambda _, key=task.task_id: self.rollouts.pop(key, None))

    async def roll_out(self, task: SampleTask) -> None:
        """Run one rollout and report its end to the coordinator."""
        outcome = await self.run_request(
            self.rollout_request(task), lambda sent: self.note_start(task, sent)
        )
        now = self.now()
        result = read_result(outcome)
        if result is None:
            actions = self.coordinator.on_failure(
                task.task_id, outcome.verdict, outcome.code, now, outcome.retry_after_s
            )
        else:
            actions = self.coordinator.on_result(task.task_id, result, now)
        self.apply(actions)
        self.notify()

    async def run_request(self, request: CallerRequest, on_sent=None) -> Outcome:
        """Run a request; an unexpected error counts as an unknown outcome, so that it is seen."""
        try:
            return await self.context.runner.run(request, on_sent=on_sent)
        except Exception as error:  # noqa: BLE001 - otherwise the sample waits for its deadline
            text = f"{type(error).__name__}: {error}"
            log_event(events.INTERNAL_ERROR, error=text, where=request.request_id)
            return Outcome(Verdict.MAY_HAVE_RUN, code=ErrorCode.INTERNAL, evidence=text)

    def note_start(self, task: SampleTask, sent: SentAttempt) -> None:
        """Tell the coordinator where a rollout really runs."""
        version = self.context.target_version(sent.target)
        self.coordinator.on_started(task.task_id, sent.target, version, self.now())
        if task.copy:
            sample = self.spec.sample_id(task.ordinal)
            log_event(events.STRAGGLER_COPIED, sample=sample, target=sent.target)

    def rollout_request(self, task: SampleTask) -> CallerRequest:
        """Return the request of a rollout."""
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
        """Carry out the actions that the coordinator asks for."""
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
        """Stop a rollout and free its slot at the engine."""
        task = self.rollouts.pop(task_id, None)
        if task is not None:
            task.cancel()

    def start_scoring(self, action: Score) -> None:
        """Ask the scoring service for a score."""
        running = asyncio.ensure_future(self.score(action))
        self.scorings[action.task_id] = running
        running.add_done_callback(lambda _: self.scorings.pop(action.task_id, None))

    async def score(self, action: Score) -> None:
        """Run one scoring call and report its end to the coordinator."""
        pause_s = action.not_before - self.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        outcome = await self.run_request(self.scoring_request(action))
        value = read_score(outcome)
        if value is None:
            verdict = outcome.verdict
            if verdict is Verdict.ANSWERED:
                # An answer without a score does not prove that the scoring did not run.
                verdict = Verdict.MAY_HAVE_RUN
            actions = self.coordinator.on_score_failure(action.task_id, verdict, self.now())
        else:
            actions = self.coordinator.on_score(action.task_id, value, self.now())
        self.apply(actions)
        self.notify()

    def scoring_request(self, action: Score) -> CallerRequest:
        """Return the request of a scoring call."""
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
        """Return whether every sample was acknowledged or the lot was cancelled."""
        cursor = self.coordinator.cursor
        return self.coordinator.state.stopped is not None or cursor.count() == self.spec.size

    def notify(self) -> None:
        """Wake the loop and waiting pulls."""
        self.changed.set()
        self.ready.set()

    async def pull(
        self, cursor: Cursor, trainer_version: int, max_samples: int, wait_s: float, whole: bool
    ) -> PullResult:
        """Return finished samples, waiting for the first one."""
        ends = self.now() + wait_s
        while True:
            self.last_pull = self.now()
            self.ready.clear()
            result = self.coordinator.pull(cursor, trainer_version, max_samples, self.now(), whole)
            self.changed.set()
            left_s = ends - self.now()
            if result.samples or result.done or left_s <= 0:
                return result
            try:
                async with asyncio.timeout(min(left_s, PULL_POLL_S)):
                    await self.ready.wait()
            except TimeoutError:
                continue

    def acknowledge(self, cursor: Cursor) -> None:
        """Free acknowledged samples."""
        self.apply(self.coordinator.ack(cursor, self.now()))
        self.changed.set()

    async def stop(self) -> None:
        """Stop the loop and all calls in flight."""
        self.apply(self.coordinator.cancel(self.now()))
        self.ready.set()
        tasks = [*self.rollouts.values(), *self.scorings.values()]
        if self.loop_task is not None:
            tasks.append(self.loop_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def read_result(outcome: Outcome) -> RolloutResult | None:
    """Return the result in a rollout's outcome, None if it has none."""
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


def read_score(outcome: Outcome) -> float | None:
    """Return the score in a scoring call's outcome, None if it has none."""
    if outcome.verdict is not Verdict.ANSWERED or outcome.status != 200:
        return None
    try:
        answer = msgspec.json.decode(outcome.body)
        return float(answer["score"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
