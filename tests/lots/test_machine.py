"""Stateful test of a trainer and two coordinators of one lot.

The rules include crashes, handovers, lost and delayed responses, retries and new versions.
"""

import random

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.builders.lots import engines, make_coordinator, make_spec
from turmericreach.lots import Cursor, RolloutResult, Score
from turmericreach.verdicts import Segment, Verdict

SPEC = make_spec(groups=2, samples_per_group=2, staleness_bound=1, deadline_s=50.0)
COORDINATORS = st.integers(0, 1)
# Crashes and handovers happen at one in four draws, so that samples still reach the trainer.
ONE_IN_FOUR = st.integers(0, 3)
DRAIN_ROUNDS = 400


class Delivery(RuleBasedStateMachine):
    """Checks that the trainer gets each sample once, not stale and with the engine's label.

    In the rules, `side` is the index of a coordinator.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.version = 1
        self.seed = 0
        self.generated = {}
        self.score_failures = {}
        self.requested_scores = set()
        self.stored_cursor = Cursor(SPEC.size)
        self.consumed = Cursor(SPEC.size)
        self.received = {}
        self.trainer_version = 1
        self.checkpoint = (self.consumed, {}, 1)
        self.delayed_results = []
        self.coordinators = [None, None]
        self.tasks = [{}, {}]
        self.scoring = [{}, {}]
        self.delivered = [{}, {}]
        self.highest_stated = [0, 0]
        for side in (0, 1):
            self.crash(side)

    def perform(self, side, actions):
        for action in actions:
            if not isinstance(action, Score):
                continue
            self.scoring[side][action.task_id] = action.sample
            key = (action.task_id, self.score_failures.get(action.task_id, 0))
            assert key not in self.requested_scores, "repeated a scoring request that may have run"
            self.requested_scores.add(key)

    @rule(side=COORDINATORS, chance=ONE_IN_FOUR)
    def crash_sometimes(self, side, chance):
        if chance == 0:
            self.crash(side)

    def crash(self, side):
        self.seed += 1
        self.coordinators[side] = make_coordinator(SPEC, self.stored_cursor, self.seed)
        self.tasks[side], self.scoring[side], self.delivered[side] = {}, {}, {}
        self.highest_stated[side] = 0

    @rule(side=COORDINATORS, chance=ONE_IN_FOUR)
    def hand_over_to_new(self, side, chance):
        if chance:
            return
        body = self.coordinators[side].hand_over()
        delivered = self.delivered[side]
        self.crash(side)
        self.perform(side, self.coordinators[side].apply_handover(body, self.now))
        self.delivered[side] = delivered

    @rule(source=COORDINATORS, chance=ONE_IN_FOUR)
    def hand_over_to_running(self, source, chance):
        if chance:
            return
        body = self.coordinators[source].hand_over()
        self.perform(1 - source, self.coordinators[1 - source].apply_handover(body, self.now))
        self.crash(source)

    @rule(side=COORDINATORS, slots=st.integers(1, 6), lag=st.integers(0, 1))
    def start(self, side, slots, lag):
        view = engines(("a", self.version, 3, 20.0), ("b", max(0, self.version - lag), 3, 5.0))
        for task in self.coordinators[side].next_tasks(self.now, self.version, slots, view):
            self.tasks[side][task.task_id] = task

    @rule(
        side=COORDINATORS, random_source=st.randoms(use_true_random=False), kind=st.integers(0, 7)
    )
    def end_rollout(self, side, random_source, kind):
        if not self.tasks[side]:
            return
        task = self.tasks[side].pop(random_source.choice(sorted(self.tasks[side])))
        self.end_task(side, task, kind)

    def end_task(self, side, task, kind):
        coordinator = self.coordinators[side]
        if kind == 0:
            verdict = Verdict.MAY_HAVE_RUN
            self.perform(side, coordinator.on_failure(task.task_id, verdict, "crash", self.now))
            return
        start = max(0, self.version - kind % 2)
        segments = [Segment(start, 5), Segment(self.version, 5)]
        result = RolloutResult(
            text=task.task_id,
            tokens=11 if kind == 1 else 10,
            segments=segments,
            attempt_id=task.task_id,
            started_version=self.version + 1 if kind == 2 else start,
            finished_version=self.version + (kind == 2),
            complete=kind != 3,
        )
        if kind > 3:
            self.generated[task.task_id] = (task.ordinal, segments)
        self.perform(side, coordinator.on_result(task.task_id, result, self.now))
        self.perform(side, coordinator.on_result(task.task_id, result, self.now))

    @rule(side=COORDINATORS, kind=st.integers(0, 4))
    def end_score(self, side, kind):
        if not self.scoring[side]:
            return
        task_id = sorted(self.scoring[side])[0]
        del self.scoring[side][task_id]
        coordinator = self.coordinators[side]
        if kind == 0:
            self.score_failures[task_id] = self.score_failures.get(task_id, 0) + 1
            actions = coordinator.on_score_failure(task_id, Verdict.NOT_RUN, self.now)
        elif kind == 1:
            actions = coordinator.on_score_failure(task_id, Verdict.MAY_HAVE_RUN, self.now)
        else:
            actions = coordinator.on_score(task_id, float(len(task_id)), self.now)
        self.perform(side, actions)

    @rule(side=COORDINATORS, kinds=st.lists(st.integers(0, 7), min_size=1, max_size=4))
    def run_rollouts(self, side, kinds):
        """Run a few rollouts from start to scoring."""
        self.start(side, len(kinds), 0)
        for kind, task_id in zip(kinds, sorted(self.tasks[side]), strict=False):
            self.end_task(side, self.tasks[side].pop(task_id), kind)
        for kind in kinds:
            self.end_score(side, kind % 5)

    @rule(seconds=st.integers(1, 60))
    def wait(self, seconds):
        self.now += seconds

    @rule(trainer=st.booleans())
    def new_version(self, trainer):
        self.version += 1
        if trainer:
            self.trainer_version = self.version

    @rule(side=COORDINATORS)
    def cancel_unusable(self, side):
        self.perform(side, self.coordinators[side].cancel_unusable_work(self.now, self.version))

    @rule(side=COORDINATORS, count=st.integers(1, 4), lost=st.integers(0, 2), whole=st.booleans())
    def pull(self, side, count, lost, whole):
        if whole:
            count = max(count, SPEC.samples_per_group)
        coordinator = self.coordinators[side]
        result = coordinator.pull(self.consumed, self.trainer_version, count, self.now, whole)
        assert len(result.samples) <= count
        highest = max(self.highest_stated[side], self.trainer_version)
        assert result.trainer_version >= highest
        self.highest_stated[side] = result.trainer_version
        for sample in result.samples:
            assert sample.id not in self.received, "a consumed sample was delivered"
            previous = self.delivered[side].get(sample.id)
            stale = previous and result.trainer_version - previous.lowest_version > 1
            assert previous is None or stale or previous == sample, (
                "a delivered sample was replaced"
            )
            self.delivered[side][sample.id] = sample
        if lost == 0:
            self.accept_result(result)
        elif lost == 1:
            self.delayed_results.append(result)

    @rule()
    def deliver_late(self):
        if self.delayed_results:
            self.accept_result(self.delayed_results.pop(0))

    def accept_result(self, result):
        if result.trainer_version < self.trainer_version:
            return
        for sample in result.samples:
            ordinal, segments = self.generated[sample.attempt_id]
            assert sample.segments == segments and sample.text == sample.attempt_id
            assert sample.id == SPEC.sample_id(ordinal)
            assert sample.score == float(len(sample.attempt_id))
            oldest = min(segment.version for segment in segments)
            assert self.trainer_version - oldest <= SPEC.staleness_bound, (
                "a stale sample was delivered"
            )
            # A delayed result can repeat a sample; the cursor of the trainer filters it.
            if self.consumed.contains(ordinal):
                continue
            assert sample.id not in self.received
            self.received[sample.id] = sample
            self.consumed = self.consumed.add(ordinal)

    @rule(side=COORDINATORS, reported=st.booleans())
    def save_checkpoint(self, side, reported):
        self.checkpoint = (self.consumed, dict(self.received), self.trainer_version)
        if reported:
            self.stored_cursor = self.stored_cursor.union(self.consumed)
            self.perform(side, self.coordinators[side].ack(self.consumed, self.now))

    @rule()
    def restart_trainer(self):
        self.consumed, received, self.trainer_version = self.checkpoint
        self.received = dict(received)
        self.delayed_results = []
        # A restarted trainer may get other samples in place of those it has not saved.
        self.delivered = [{}, {}]

    @invariant()
    def nothing_is_lost_or_doubled(self):
        assert len(self.received) == self.consumed.count()
        for coordinator in self.coordinators:
            state = coordinator.state
            for record in state.records:
                queued = record.ordinal in state.queue[SPEC.group_of(record.ordinal)]
                held = record.sample is not None
                wanted = state.is_wanted(record.ordinal)
                assert queued + held + bool(record.tasks) == 1 or not wanted
            held = [record.sample for record in state.records if record.sample]
            assert state.buffered_bytes == sum(len(sample.text.encode()) for sample in held)

    def teardown(self):
        """Run without further faults until every sample has been delivered."""
        side = random.Random(self.seed).randrange(2)
        for _ in range(DRAIN_ROUNDS):
            self.now += 5.0
            self.cancel_unusable(side)
            self.start(side, 6, 0)
            for task in list(self.tasks[side].values()):
                del self.tasks[side][task.task_id]
                self.end_task(side, task, 4)
            while self.scoring[side]:
                self.end_score(side, 2)
            self.trainer_version = max(
                self.trainer_version, self.coordinators[side].state.highest_trainer_version
            )
            self.pull(side, 4, 0, False)
            self.nothing_is_lost_or_doubled()
            if self.consumed.count() == SPEC.size:
                break
        assert len(self.received) == SPEC.size, "samples were lost"
        assert self.coordinators[side].pull(self.consumed, 0, 4, self.now).done


TestDelivery = Delivery.TestCase
TestDelivery.settings = settings(
    max_examples=150,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
