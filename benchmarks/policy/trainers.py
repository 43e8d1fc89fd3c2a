"""Trainers: with the project's coordinator, and as the baselines send their lots."""

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

PULL_S = 0.5
STEP_S = 0.5
HOPELESS_S = 5.0
SCORING_S = 0.02
FAILOVER_S = 3.0
RESEND_S = 1.0
LOT_DEADLINE_S = 1800.0


class Trainer:
    """What both kinds of trainers count."""

    def __init__(self, world, load, gateway):
        self.world = world
        self.clock = world.clock
        self.load = load
        self.gateway = gateway
        self.is_done = True
        self.unbegun = set()

    def open_step(self, step, lengths):
        """Note a new lot."""
        self.step = step
        self.lengths = lengths
        self.declared_at = self.clock.now
        self.is_done = False
        self.unbegun = set(range(len(lengths)))

    def on_begin(self, ordinal):
        """Note the first start of a sample at an engine."""
        self.unbegun.discard(ordinal)
        if not self.unbegun:
            self.world.note_all_begun()

    def consume(self, ordinal, lowest_version):
        """Count a sample that the trainer takes."""
        tally = self.world.tally
        staleness = self.world.version - lowest_version
        tally.samples += 1
        tally.useful_tokens += self.lengths[ordinal]
        tally.staleness.append(staleness)
        tally.over_bound += staleness > self.load.staleness_bound

    def close_step(self):
        """Note that all samples are consumed."""
        self.is_done = True
        self.world.on_lot_done(self.clock.now - self.declared_at)

    def crash(self):
        """Lose the coordinator; baselines have none."""


class BaselineTrainer(Trainer):
    """Sends all samples of a lot at once and takes what comes back."""

    def declare(self, step, lengths):
        """Send the lot."""
        self.open_step(step, lengths)
        self.missing = len(lengths)
        for ordinal in range(len(lengths)):
            self.send(ordinal)

    def send(self, ordinal):
        """Send the rollout of one sample."""
        group = ordinal // self.load.group_size

        def done(verdict, code, retry_after_s, result):
            if result is None:
                self.clock.after(max(RESEND_S, retry_after_s), self.send, ordinal)
                return
            self.consume(ordinal, min(segment.version for segment in result[1]))
            self.missing -= 1
            if not self.missing:
                self.close_step()

        self.gateway.run(
            Request(
                f"{self.load.name}/{self.step}/{ordinal}",
                "model",
                "rollout",
                self.lengths[ordinal],
                self.clock.now + LOT_DEADLINE_S,
                done,
                trainer=self.load.name,
                prefix=f"{self.load.name}/{self.step}/{group}",
                on_begin=lambda: self.on_begin(ordinal),
            )
        )


class PolicyTrainer(Trainer):
    """Declares lots to a `LotCoordinator` and pulls samples from it."""

    def __init__(self, world, load, gateway):
        super().__init__(world, load, gateway)
        self.requests = {}
        self.epoch = 0
        self.stepping = False

    def declare(self, step, lengths):
        """Declare a lot."""
        self.open_step(step, lengths)
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
        self.clock.after(PULL_S, self.pull, step)

    def start_coordinator(self):
        """Start a coordinator from the cursor."""
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
        self.beat(self.epoch)
        self.clock.after(HOPELESS_S, self.check_hopeless, self.epoch)

    def crash(self):
        """Lose the coordinator with its finished samples; another one starts from the cursor."""
        if self.is_done:
            return
        self.epoch += 1
        self.coordinator = None
        for request in list(self.requests.values()):
            self.gateway.cancel(request)
        self.requests = {}
        self.clock.after(FAILOVER_S, self.start_coordinator)

    def is_current(self, epoch):
        """Return whether a callback belongs to the running coordinator."""
        return epoch == self.epoch and not self.is_done and self.coordinator is not None

    def beat(self, epoch):
        """Step twice a second, as the runner does."""
        if self.is_current(epoch):
            self.step_coordinator(epoch)
            self.clock.after(STEP_S, self.beat, epoch)

    def wake(self):
        """Step once after several changes at one time."""
        if not self.stepping:
            self.stepping = True
            self.clock.after(0.0, self.step_coordinator, self.epoch)

    def step_coordinator(self, epoch):
        """Start the rollouts for which there is room."""
        self.stepping = False
        if not self.is_current(epoch):
            return
        share = 1.0 / len(self.world.workload.trainers)
        view = self.gateway.engine_view(share, len(self.requests))
        slots = sum(engine.free_slots for engine in view.engines)
        if slots <= 0:
            return
        now = self.clock.now
        for task in self.coordinator.next_tasks(now, self.world.active, slots, view):
            self.roll_out(task, epoch)

    def roll_out(self, task, epoch):
        """Send one rollout."""

        def done(verdict, code, retry_after_s, result):
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
            self.apply(actions, epoch)
            self.wake()

        def sent(target):
            version = self.gateway.table.records[target].version
            self.coordinator.on_started(task.task_id, target, version, self.clock.now)

        request = Request(
            task.task_id,
            "model",
            "rollout",
            self.lengths[task.ordinal],
            self.clock.now + LOT_DEADLINE_S,
            done,
            trainer=self.load.name,
            prefix=task.prefix,
            expected_tokens=task.expected_tokens,
            prefer=task.prefer_target,
            min_version=task.min_version,
            on_sent=sent,
            on_begin=lambda: self.on_begin(task.ordinal),
        )
        self.requests[task.task_id] = request
        self.gateway.run(request)

    def apply(self, actions, epoch):
        """Carry out what the coordinator asks for."""
        for action in actions:
            if isinstance(action, Cancel):
                request = self.requests.pop(action.task_id, None)
                if request is not None:
                    self.gateway.cancel(request)
            if isinstance(action, Score):
                at = max(self.clock.now, action.not_before) + SCORING_S
                self.clock.at(at, self.score, action.task_id, epoch)

    def score(self, task_id, epoch):
        """Take the score of a sample."""
        if self.is_current(epoch):
            self.apply(self.coordinator.on_score(task_id, 1.0, self.clock.now), epoch)

    def check_hopeless(self, epoch):
        """Give up hopeless rollouts regularly."""
        if not self.is_current(epoch):
            return
        now = self.clock.now
        self.apply(self.coordinator.cancel_unusable_work(now, self.world.active), epoch)
        self.clock.after(HOPELESS_S, self.check_hopeless, epoch)

    def pull(self, step):
        """Take finished samples until the lot is complete."""
        if self.is_done or step != self.step:
            return
        self.clock.after(PULL_S, self.pull, step)
        if self.coordinator is None:
            return
        now = self.clock.now
        answer = self.coordinator.pull(self.cursor, self.world.version, 256, now)
        ordinals = []
        for sample in answer.samples:
            ordinal = self.spec.ordinal(sample.group, sample.index)
            self.consume(ordinal, sample.lowest_version)
            ordinals.append(ordinal)
        self.cursor = self.cursor.add(*ordinals)
        self.apply(self.coordinator.ack(self.cursor, now), self.epoch)
        self.wake()
        if self.cursor.count() == self.spec.size:
            self.close_step()
