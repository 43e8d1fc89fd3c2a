"""Which rollouts of a lot to start, to copy and to give up."""

import attrs
import xxhash

from turmericreach.lots.samples import SampleTask
from turmericreach.lots.state import Phase, Task

__all__ = ["choose_tasks", "give_up_hopeless"]

# After this many failures in a row only a few rollouts probe whether the engines work again.
STORM_FAILURES = 16
PROBE_TASKS = 2
# A copy must be clearly faster, since every copy throws the tokens of one rollout away.
COPY_GAIN = 0.8
# Forecasts of new versions vary, so a running rollout is given up only one version later.
FORECAST_MARGIN_VERSIONS = 1


@attrs.define
class Plan:
    """The rollouts chosen in one call and the slots that are left."""

    state: object
    now: float
    slots: int
    engines: list
    free: dict
    tasks: list = attrs.field(factory=list)

    def fits(self, engine, tokens):
        """Return whether a rollout is likely to end within its bound on an engine."""
        spec = self.state.spec
        duration = self.state.speeds.duration(engine.target, tokens)
        ends_at = self.state.clock.forecast(self.now, duration)
        return ends_at - engine.version <= spec.staleness_bound

    def waits_for_version(self, engine, tokens):
        """Return whether a rollout would better start on the next weight version."""
        duration = self.state.speeds.duration(engine.target, tokens)
        weight = self.state.policy.weighting
        return self.state.clock.should_wait(self.now, duration, weight)

    def speed(self, engine):
        """Return the single-stream speed of an engine."""
        return self.state.speeds.speed(engine.target)

    def choose_engine(self, tokens, home=""):
        """Return the home of the group or the fastest free engine, or None if none fits."""
        best = None
        for engine in self.engines:
            if self.free[engine.target] <= 0 or not self.fits(engine, tokens):
                continue
            if self.waits_for_version(engine, tokens):
                continue
            if engine.target == home:
                return engine
            if best is None or self.speed(engine) > self.speed(best):
                best = engine
        return best

    def start(self, ordinal, engine, tokens, copy=0, probe=False):
        """Add a rollout to the plan."""
        state = self.state
        spec = state.spec
        duration = state.speeds.duration(engine.target, tokens)
        ends_at = state.clock.forecast(self.now, duration)
        min_version = engine.version if probe else max(0, ends_at - spec.staleness_bound)
        task_id = state.new_task_id(ordinal)
        state.start(
            Task(task_id, ordinal, copy, engine.target, engine.version, self.now, tokens, probe)
        )
        self.free[engine.target] -= 1
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
    """Return the seed of a candidate.

    Copies of a candidate share it: taking the first of two different samples would favour short
    ones.
    """
    return xxhash.xxh3_64_intdigest(f"{spec.seed}/{ordinal}/{candidate}".encode()) >> 33


def choose_tasks(state, now, slots, view, max_buffered_bytes):
    """Choose the rollouts to start now.

    Parameters
    ----------
    state : LotState
    now : float
        Time in seconds.
    slots : int
        Rollouts that may be started.
    view : EngineView
        Engines and their free slots.
    max_buffered_bytes : int
        Finished samples beyond this size stop the start of further groups.

    Returns
    -------
    list of SampleTask
    """
    for engine in view.engines:
        state.speeds.declare(engine.target, engine.speed)
    free = {engine.target: engine.free_slots for engine in view.engines}
    slots = min(slots, sum(count for count in free.values() if count > 0))
    if state.failure_streak >= STORM_FAILURES:
        slots = min(slots, PROBE_TASKS - len(state.tasks))
    plan = Plan(state, now, slots, view.engines, free)
    may_begin = state.buffered_bytes <= max_buffered_bytes
    waiting = 0
    for group in ranked_groups(state):
        if plan.slots <= 0:
            return plan.tasks
        if group in state.begun or may_begin:
            waiting += start_group(plan, group)
        else:
            waiting += len(state.queued(group))
    if not state.tasks and plan.slots > 0:
        probe_too_long(plan, may_begin)
    if waiting < plan.slots:
        start_copies(plan)
    return plan.tasks


def ranked_groups(state):
    """Yield the groups with queued samples in the order of starting.

    Begun groups come first, so that groups finish. Then long groups count by the weight of idle
    time, and groups with old finished samples by the weight of staleness. The others are ranked
    only when slots are left for them, since a large lot has many.
    """
    begun = [group for group in state.begun if state.queue.get(group)]
    yield from rank(state, begun)
    others = state.queue.keys() - state.begun
    yield from rank(state, [group for group in others if state.queue[group]])


def rank(state, groups):
    """Return groups in the order of their weighted length and age."""
    spec = state.spec
    weight = state.policy.weighting
    ranks = []
    for group in groups:
        length = expected_tokens(state, spec.ordinal(group, 0)) / spec.max_tokens
        age = group_age(state, group) / (spec.staleness_bound + 1)
        ranks.append((-((1.0 - weight) * length + weight * age), group))
    return [group for _, group in sorted(ranks)]


def group_age(state, group):
    """Return by how many versions the oldest finished or running sample of a group is behind."""
    if group not in state.begun:
        return 0
    oldest = state.clock.version
    first = state.spec.ordinal(group, 0)
    for record in state.records[first : first + state.spec.samples_per_group]:
        if record.sample is not None and state.is_wanted(record.ordinal):
            oldest = min(oldest, record.sample.lowest_version)
        for task_id in record.tasks:
            oldest = min(oldest, state.tasks[task_id].version)
    return state.clock.version - oldest


def expected_tokens(state, ordinal):
    """Return the expected length of a sample."""
    spec = state.spec
    return state.lengths.expected(spec.kind, state.prefix(ordinal), spec.max_tokens)


def start_group(plan, group):
    """Start the queued samples of a group; return the number that have to wait."""
    state = plan.state
    waiting = 0
    for ordinal in state.queued(group):
        tokens = expected_tokens(state, ordinal)
        engine = None
        if plan.slots > 0 and state.records[ordinal].ready_at <= plan.now:
            engine = plan.choose_engine(tokens, state.homes.get(group, ""))
        if engine is None:
            waiting += 1
            continue
        state.homes.setdefault(group, engine.target)
        plan.start(ordinal, engine, tokens)
    return waiting


def probe_too_long(plan, may_begin):
    """Start one rollout although it looks too long for its bound.

    Estimates come only from rollouts that ran, so an estimate that is too high for every engine
    would otherwise stop the lot for good.
    """
    state = plan.state
    window_s = state.clock.interval * (state.spec.staleness_bound + 1)
    current = [
        engine
        for engine in plan.engines
        if plan.free[engine.target] > 0 and engine.version >= state.clock.version
    ]
    if not current:
        return
    engine = max(current, key=plan.speed)
    fastest = max(plan.speed(other) for other in plan.engines)
    for group in ranked_groups(state):
        if group not in state.begun and not may_begin:
            continue
        for ordinal in state.queued(group):
            tokens = expected_tokens(state, ordinal)
            if state.records[ordinal].ready_at > plan.now or tokens / fastest < window_s:
                continue
            plan.start(ordinal, engine, tokens, probe=True)
            return


def start_copies(plan):
    """Start copies of the running samples that are expected to end last."""
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
        tokens = state.expected_total(task, plan.now)
        engine = plan.choose_engine(tokens)
        if engine is None or tokens / plan.speed(engine) > COPY_GAIN * remaining_s:
            continue
        plan.start(task.ordinal, engine, tokens, copy=len(tasks))


def give_up_hopeless(state, now):
    """Cancel the rollouts that cannot end within their bound or are not wanted any more.

    Returns
    -------
    list of Action
    """
    actions = []
    for task in list(state.tasks.values()):
        record = state.records[task.ordinal]
        reason = hopeless_reason(state, task, now)
        if not reason or task.task_id not in state.tasks:
            continue
        if reason == "consumed":
            actions += state.cancel_tasks(record, now)
            state.requeue(record, reason, now)
            continue
        actions += cancel_one(state, record, task, now)
        actions += state.requeue(record, reason, now)
    return actions


def cancel_one(state, record, task, now):
    """Cancel one rollout and leave the other copies of its sample alone."""
    others = [task_id for task_id in record.tasks if task_id != task.task_id]
    record.tasks = [task.task_id]
    actions = state.cancel_tasks(record, now)
    record.tasks = others
    return actions


def hopeless_reason(state, task, now):
    """Return why a rollout is to be given up, or an empty text."""
    spec = state.spec
    if not state.is_wanted(task.ordinal):
        return "consumed"
    if now - task.started_at > spec.deadline_s:
        return "deadline_exceeded"
    if state.clock.version - task.version > spec.staleness_bound:
        return "hopeless"
    if task.probe:
        return ""
    ends_at = state.clock.forecast(now, state.remaining_s(task, now))
    if ends_at - task.version > spec.staleness_bound + FORECAST_MARGIN_VERSIONS:
        return "hopeless"
    return ""
