"""Simulated trainers: with `LotCoordinator`, and sending whole lots as the baselines do."""

import random

from benchmarks.policy.gateway import Request
from turmericreach.lots import (
    Cancel,
    Cursor,
    GroupSpec,
    LotCoordinator,
    LotSpec,
    RolloutResult,
    Score,
)

__all__ = ["BaselineTrainer", "PolicyTrainer"]

PULL_INTERVAL_S = 0.5
STEP_INTERVAL_S = 0.5
UNUSABLE_CHECK_INTERVAL_S = 5.0
SCORING_DURATION_S = 0.02
FAILOVER_DELAY_S = 3.0
RESEND_DELAY_S = 1.0
LOT_DEADLINE_S = 1800.0


class Trainer:
    """State and counters that both kinds of trainers share.

    Parameters
    ----------
    world : World
    load : TrainerLoad
    gateway : GatewayModel
    """

    def __init__(self, world, load, gateway):
        self.world = world
        self.clock = world.clock
        self.load = load
        self.gateway = gateway
        self.is_done = True
        self.not_started = set()

    def start_lot(self, step, lengths):
        """Start a new lot, given the length in tokens of each sample."""
        self.step = step
        self.lengths = lengths
        self.declared_at = self.clock.now
        self.is_done = False
        self.not_started = set(range(len(lengths)))

    def on_begin(self, ordinal):
        """Record the first start of a sample at an engine."""
        self.not_started.discard(ordinal)
        if not self.not_started:
            self.world.on_all_started()

    def consume(self, ordinal, lowest_version):
        """Record a delivered sample and its staleness."""
        tally = self.world.tally
        staleness = self.world.version - lowest_version
        tally.samples += 1
        tally.useful_tokens += self.lengths[ordinal]
        tally.staleness.append(staleness)
        tally.over_bound += staleness > self.load.staleness_bound

    def finish_lot(self):
        """Record that all samples of the lot are delivered."""
        self.is_done = True
        self.world.on_lot_done(self.clock.now - self.declared_at)

    def crash(self):
        """Crash the coordinator; does nothing here, as baselines have none."""


class BaselineTrainer(Trainer):
    """Send all samples of a lot at once and accept every result, whatever its staleness."""

    def declare(self, step, lengths):
        """Start a lot and send all its samples."""
        self.start_lot(step, lengths)
        self.missing = len(lengths)
        for ordinal in range(len(lengths)):
            self.send(ordinal)

    def send(self, ordinal):
        """Send the rollout of one sample; a failed one is sent again after a delay."""
        group = ordinal // self.load.group_size

        def on_done(verdict, code, retry_after_s, result):
            if result is None:
                self.clock.after(max(RESEND_DELAY_S, retry_after_s), self.send, ordinal)
                return
            self.consume(ordinal, min(segment.version for segment in result[1]))
            self.missing -= 1
            if not self.missing:
                self.finish_lot()

        self.gateway.run(
            Request(
                f"{self.load.name}/{self.step}/{ordinal}",
                "model",
                "rollout",
                self.lengths[ordinal],
                self.clock.now + LOT_DEADLINE_S,
                on_done,
                trainer=self.load.name,
                prefix=f"{self.load.name}/{self.step}/{group}",
                on_begin=lambda: self.on_begin(ordinal),
            )
        )


class PolicyTrainer(Trainer):
    """Declare lots to a `LotCoordinator` and pull samples from it."""

    def __init__(self, world, load, gateway):
        super().__init__(world, load, gateway)
        self.requests = {}
        self.epoch = 0
        self.step_scheduled = False

    def declare(self, step, lengths):
        """Declare a lot and start its coordinator."""
        self.start_lot(step, lengths)
        load = self.load
        self.spec = LotSpec(
            name=f"{load.name}-{step}",
            trainer=load.name,
            service="model",
            model="m",
            groups=[GroupSpec(f"{load.name} {step} {group}") for group in range(load.groups)],
            samples_per_group=load.group_size,
            staleness_bound=load.staleness_bound,
            max_tokens=load.lengths.longest,
            kind=load.kind,
            scoring_service="scoring" if load.scored else "",
            deadline_s=LOT_DEADLINE_S,
        )
        self.cursor = Cursor(self.spec.size)
        self.start_coordinator()
        self.clock.after(PULL_INTERVAL_S, self.pull, step)

    def start_coordinator(self):
        """Start a coordinator that continues from the cursor."""
        self.epoch += 1
        world = self.world
        shared = {}
        if world.variant.shares_models:
            shared = {"lengths": world.lengths, "speeds": world.speeds}
        self.coordinator = LotCoordinator(
            self.spec,
            world.policy,
            self.cursor,
            random.Random(f"{self.spec.name}/{world.seed}/{self.epoch}"),
            retry_unknown_scores=True,
            **shared,
        )
        self.requests = {}
        self.run_periodic_steps(self.epoch)
        self.clock.after(UNUSABLE_CHECK_INTERVAL_S, self.check_unusable_work, self.epoch)

    def crash(self):
        """Crash the coordinator, losing its finished samples; another starts from the cursor."""
        if self.is_done:
            return
        self.epoch += 1
        self.coordinator = None
        for request in list(self.requests.values()):
            self.gateway.cancel(request)
        self.requests = {}
        self.clock.after(FAILOVER_DELAY_S, self.start_coordinator)

    def is_current(self, epoch):
        """Return whether a callback belongs to the current coordinator of an open lot."""
        return epoch == self.epoch and not self.is_done and self.coordinator is not None

    def run_periodic_steps(self, epoch):
        """Step the coordinator twice a second, as the lot runner does."""
        if self.is_current(epoch):
            self.step_coordinator(epoch)
            self.clock.after(STEP_INTERVAL_S, self.run_periodic_steps, epoch)

    def schedule_step(self):
        """Schedule one step for all changes that happen at the same time."""
        if not self.step_scheduled:
            self.step_scheduled = True
            self.clock.after(0.0, self.step_coordinator, self.epoch)

    def step_coordinator(self, epoch):
        """Start as many rollouts as there are free slots."""
        self.step_scheduled = False
        if not self.is_current(epoch):
            return
        share = 1.0 / len(self.world.workload.trainers)
        view = self.gateway.engine_view(share, len(self.requests))
        slots = sum(engine.free_slots for engine in view.engines)
        if slots <= 0:
            return
        now = self.clock.now
        for task in self.coordinator.next_tasks(now, self.world.active, slots, view):
            self.send_rollout(task, epoch)

    def send_rollout(self, task, epoch):
        """Send the rollout of one task and report its result to the coordinator."""

        def on_done(verdict, code, retry_after_s, result):
            if self.requests.pop(task.task_id, None) is None or not self.is_current(epoch):
                return
            now = self.clock.now
            if result is None:
                actions = self.coordinator.on_failure(
                    task.task_id, verdict, code, now, retry_after_s
                )
            else:
                target, segments = result
                tokens = sum(segment.tokens for segment in segments)
                outcome = RolloutResult("", tokens, segments, engine=target)
                actions = self.coordinator.on_result(task.task_id, outcome, now)
            self.apply_actions(actions, epoch)
            self.schedule_step()

        def on_sent(target):
            version = self.gateway.table.records[target].version
            self.coordinator.on_started(task.task_id, target, version, self.clock.now)

        request = Request(
            task.task_id,
            "model",
            "rollout",
            self.lengths[task.ordinal],
            self.clock.now + LOT_DEADLINE_S,
            on_done,
            trainer=self.load.name,
            prefix=task.prefix,
            expected_tokens=task.expected_tokens,
            prefer=task.prefer_target,
            min_version=task.min_version,
            on_sent=on_sent,
            on_begin=lambda: self.on_begin(task.ordinal),
        )
        self.requests[task.task_id] = request
        self.gateway.run(request)

    def apply_actions(self, actions, epoch):
        """Carry out the actions that the coordinator returned."""
        for action in actions:
            if isinstance(action, Cancel):
                request = self.requests.pop(action.task_id, None)
                if request is not None:
                    self.gateway.cancel(request)
            if isinstance(action, Score):
                at = max(self.clock.now, action.not_before) + SCORING_DURATION_S
                self.clock.at(at, self.apply_score, action.task_id, epoch)

    def apply_score(self, task_id, epoch):
        """Pass the score of a sample to the coordinator."""
        if self.is_current(epoch):
            self.apply_actions(self.coordinator.on_score(task_id, 1.0, self.clock.now), epoch)

    def check_unusable_work(self, epoch):
        """Periodically cancel rollouts whose samples could no longer be used."""
        if not self.is_current(epoch):
            return
        now = self.clock.now
        self.apply_actions(self.coordinator.cancel_unusable_work(now, self.world.active), epoch)
        self.clock.after(UNUSABLE_CHECK_INTERVAL_S, self.check_unusable_work, epoch)

    def pull(self, step):
        """Pull and acknowledge finished samples periodically until the lot is complete."""
        if self.is_done or step != self.step:
            return
        self.clock.after(PULL_INTERVAL_S, self.pull, step)
        if self.coordinator is None:
            return
        now = self.clock.now
        pulled = self.coordinator.pull(self.cursor, self.world.version, 256, now)
        ordinals = []
        for sample in pulled.samples:
            ordinal = self.spec.ordinal(sample.group, sample.index)
            self.consume(ordinal, sample.lowest_version)
            ordinals.append(ordinal)
        self.cursor = self.cursor.add(*ordinals)
        self.apply_actions(self.coordinator.ack(self.cursor, now), self.epoch)
        self.schedule_step()
        if self.cursor.count() == self.spec.size:
            self.finish_lot()
