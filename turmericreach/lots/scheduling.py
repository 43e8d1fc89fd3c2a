"""Selects which rollouts of a lot to start, copy or cancel."""

import attrs
import xxhash

from turmericreach.lots.samples import SampleTask
from turmericreach.lots.state import Phase, Task

__all__ = ["cancel_unusable_rollouts", "select_tasks"]

# After this many consecutive failures, only a few rollouts probe whether the engines work again.
PROBE_AFTER_FAILURES = 16
MAX_PROBES = 2
# A copy is started only if its expected duration is at most this share of the remaining time of
# the running rollout, since every copy wastes the tokens of one rollout.
MAX_COPY_TIME_SHARE = 0.8
# Forecasts of new versions vary, so a running rollout is cancelled only if it is expected to exceed
# its staleness bound by more than this number of versions.
FORECAST_MARGIN_VERSIONS = 1


@attrs.define
class Plan:
    """Rollouts selected in one call, with the slots that remain free.

    Attributes
    ----------
    state : LotState
        State of the lot.
    now : float
        Current time in seconds.
    slots : int
        Number of rollouts that can still be added.
    engines : list of EngineState
        Engines that can run rollouts.
    free_slots : dict of str to int
        Remaining free slots by target.
    tasks : list of SampleTask
        Rollouts added so far.
    """

    state: object
    now: float
    slots: int
    engines: list
    free_slots: dict
    tasks: list = attrs.field(factory=list)

    def can_finish_in_bound(self, engine, tokens):
        """Return whether a rollout is expected to end within the staleness bound."""
        spec = self.state.spec
        duration = self.state.speeds.duration(engine.target, tokens)
        final_version = self.state.forecaster.forecast(self.now, duration)
        return final_version - engine.version <= spec.staleness_bound

    def should_wait_for_version(self, engine, tokens):
        """Return whether a rollout should wait for the next weight version."""
        duration = self.state.speeds.duration(engine.target, tokens)
        weight = self.state.policy.weighting
        return self.state.forecaster.should_wait(self.now, duration, weight)

    def speed(self, engine):
        """Return the single-stream speed of an engine."""
        return self.state.speeds.speed(engine.target)

    def select_engine(self, tokens, preferred=""):
        """Return an engine with a free slot that suits a rollout, or None.

        The engine `preferred`, on which the group was first started, is selected if it suits;
        otherwise the fastest one is.
        """
        best = None
        for engine in self.engines:
            if self.free_slots[engine.target] <= 0 or not self.can_finish_in_bound(engine, tokens):
                continue
            if self.should_wait_for_version(engine, tokens):
                continue
            if engine.target == preferred:
                return engine
            if best is None or self.speed(engine) > self.speed(best):
                best = engine
        return best

    def add_rollout(self, ordinal, engine, tokens, copy=0, probe=False):
        """Add a rollout to the plan and record its start in the state of the lot."""
        state = self.state
        spec = state.spec
        duration = state.speeds.duration(engine.target, tokens)
        final_version = state.forecaster.forecast(self.now, duration)
        min_version = engine.version if probe else max(0, final_version - spec.staleness_bound)
        task_id = state.new_task_id(ordinal)
        state.record_start(
            Task(task_id, ordinal, copy, engine.target, engine.version, self.now, tokens, probe)
        )
        self.free_slots[engine.target] -= 1
        self.slots -= 1
        group = spec.groups[spec.group_of(ordinal)]
        self.tasks.append(
            SampleTask(
                task_id=task_id,
                ordinal=ordinal,
                prompt=group.prompt,
                copy=copy,
                seed=sampling_seed(spec, ordinal, state.records[ordinal].candidate),
                min_version=min_version,
                expected_tokens=int(tokens),
                prefer_target=engine.target,
                prefix=state.prefix(ordinal),
            )
        )


def sampling_seed(spec, ordinal, candidate):
    """Return the sampling seed of a candidate.

    All copies of a candidate share the seed. With different seeds, taking the copy that finishes
    first would bias the samples towards short ones.
    """
    return xxhash.xxh3_64_intdigest(f"{spec.seed}/{ordinal}/{candidate}".encode()) >> 33


def select_tasks(state, now, slots, view, max_buffered_bytes):
    """Select the rollouts to start now.

    Parameters
    ----------
    state : LotState
        State of the lot.
    now : float
        Current time in seconds.
    slots : int
        Maximum number of rollouts to start.
    view : EngineView
        Engines and their free slots.
    max_buffered_bytes : int
        Total size of the text of finished samples, in bytes, above which no further group is
        started.

    Returns
    -------
    list of SampleTask
    """
    for engine in view.engines:
        state.speeds.set_declared_speed(engine.target, engine.speed)
    free_slots = {engine.target: engine.free_slots for engine in view.engines}
    slots = min(slots, sum(count for count in free_slots.values() if count > 0))
    if state.consecutive_failures >= PROBE_AFTER_FAILURES:
        slots = min(slots, MAX_PROBES - len(state.tasks))
    plan = Plan(state, now, slots, view.engines, free_slots)
    may_start_groups = state.buffered_bytes <= max_buffered_bytes
    waiting = 0
    for group in groups_in_start_order(state):
        if plan.slots <= 0:
            return plan.tasks
        if group in state.started_groups or may_start_groups:
            waiting += start_group(plan, group)
        else:
            waiting += len(state.queued_ordinals(group))
    if not state.tasks and plan.slots > 0:
        start_probe(plan, may_start_groups)
    if waiting < plan.slots:
        start_copies(plan)
    return plan.tasks


def groups_in_start_order(state):
    """Yield the groups with queued samples in the order in which to start them.

    Groups that were already started come first, so that they become complete. The others are
    sorted only if slots remain for them, since a large lot has many.
    """
    started = [group for group in state.started_groups if state.queue.get(group)]
    yield from sort_groups(state, started)
    others = state.queue.keys() - state.started_groups
    yield from sort_groups(state, [group for group in others if state.queue[group]])


def sort_groups(state, groups):
    """Return groups sorted by their weighted sum of expected length and age, highest first.

    A long group that starts late leaves engines idle at the end of a step, so its length counts
    by the weight of idle time. The age of its samples counts by the weight of staleness.
    """
    spec = state.spec
    weight = state.policy.weighting
    ranks = []
    for group in groups:
        length = expected_tokens(state, spec.ordinal(group, 0)) / spec.max_tokens
        age = group_version_age(state, group) / (spec.staleness_bound + 1)
        ranks.append((-((1.0 - weight) * length + weight * age), group))
    return [group for _, group in sorted(ranks)]


def group_version_age(state, group):
    """Return how many versions the oldest finished or running sample of a group lags behind."""
    if group not in state.started_groups:
        return 0
    oldest = state.forecaster.version
    first = state.spec.ordinal(group, 0)
    for record in state.records[first : first + state.spec.samples_per_group]:
        if record.sample is not None and state.is_wanted(record.ordinal):
            oldest = min(oldest, record.sample.lowest_version)
        for task_id in record.tasks:
            oldest = min(oldest, state.tasks[task_id].version)
    return state.forecaster.version - oldest


def expected_tokens(state, ordinal):
    """Return the expected length of a sample in tokens."""
    spec = state.spec
    return state.lengths.expected(spec.kind, state.prefix(ordinal), spec.max_tokens)


def start_group(plan, group):
    """Start the queued samples of a group; return the number that must wait."""
    state = plan.state
    waiting = 0
    for ordinal in state.queued_ordinals(group):
        tokens = expected_tokens(state, ordinal)
        engine = None
        if plan.slots > 0 and state.records[ordinal].start_not_before <= plan.now:
            engine = plan.select_engine(tokens, state.preferred_engines.get(group, ""))
        if engine is None:
            waiting += 1
            continue
        state.preferred_engines.setdefault(group, engine.target)
        plan.add_rollout(ordinal, engine, tokens)
    return waiting


def start_probe(plan, may_start_groups):
    """Start one rollout that is expected to exceed the staleness bound.

    Estimates are updated only by rollouts that ran, so an estimate that is too high for every
    engine would otherwise stop the lot permanently.
    """
    state = plan.state
    window_s = state.forecaster.interval * (state.spec.staleness_bound + 1)
    current = [
        engine
        for engine in plan.engines
        if plan.free_slots[engine.target] > 0 and engine.version >= state.forecaster.version
    ]
    if not current:
        return
    engine = max(current, key=plan.speed)
    fastest = max(plan.speed(other) for other in plan.engines)
    for group in groups_in_start_order(state):
        if group not in state.started_groups and not may_start_groups:
            continue
        for ordinal in state.queued_ordinals(group):
            tokens = expected_tokens(state, ordinal)
            if state.records[ordinal].start_not_before > plan.now or tokens / fastest < window_s:
                continue
            plan.add_rollout(ordinal, engine, tokens, probe=True)
            return


def start_copies(plan):
    """Start copies of the running rollouts that are expected to end last (stragglers)."""
    state = plan.state
    running = []
    for task in state.tasks.values():
        record = state.records[task.ordinal]
        if record.phase is Phase.RUNNING and state.is_wanted(task.ordinal):
            running.append((state.remaining_s(task, plan.now), task))
    running.sort(key=lambda entry: (-entry[0], entry[1].ordinal, entry[1].copy))
    for remaining_s, task in running:
        if plan.slots <= 0:
            return
        tasks = state.records[task.ordinal].tasks
        if len(tasks) > state.policy.straggler_copies:
            continue
        if any(state.remaining_s(state.tasks[other], plan.now) < remaining_s for other in tasks):
            continue
        tokens = state.expected_total_tokens(task, plan.now)
        engine = plan.select_engine(tokens)
        if engine is None or tokens / plan.speed(engine) > MAX_COPY_TIME_SHARE * remaining_s:
            continue
        plan.add_rollout(task.ordinal, engine, tokens, copy=len(tasks))


def cancel_unusable_rollouts(state, now):
    """Cancel the rollouts whose result can no longer be used and queue their samples again.

    Returns
    -------
    list of Action
    """
    actions = []
    for task in list(state.tasks.values()):
        record = state.records[task.ordinal]
        reason = cancel_reason(state, task, now)
        if not reason or task.task_id not in state.tasks:
            continue
        if reason == "consumed":
            actions += state.cancel_tasks(record, now)
            state.requeue(record, reason, now)
            continue
        actions += cancel_copy(state, record, task, now)
        actions += state.requeue(record, reason, now)
    return actions


def cancel_copy(state, record, task, now):
    """Cancel one rollout without cancelling the other copies of its sample."""
    others = [task_id for task_id in record.tasks if task_id != task.task_id]
    record.tasks = [task.task_id]
    actions = state.cancel_tasks(record, now)
    record.tasks = others
    return actions


def cancel_reason(state, task, now):
    """Return the reason to cancel a rollout, or an empty string if it should continue."""
    spec = state.spec
    if not state.is_wanted(task.ordinal):
        return "consumed"
    if now - task.started_at > spec.deadline_s:
        return "deadline_exceeded"
    if state.forecaster.version - task.version > spec.staleness_bound:
        return "hopeless"
    if task.probe:
        return ""
    final_version = state.forecaster.forecast(now, state.remaining_s(task, now))
    if final_version - task.version > spec.staleness_bound + FORECAST_MARGIN_VERSIONS:
        return "hopeless"
    return ""
