"""One simulated run: targets, gateways, ordinary requests, weight versions and faults."""

import random

import attrs

from benchmarks.policy.clock import VirtualClock
from benchmarks.policy.gateway import GatewayModel, Request
from benchmarks.policy.target import TargetModel
from benchmarks.policy.trainers import BaselineTrainer, PolicyTrainer
from benchmarks.policy.workloads import WEIGHTS_INTERVAL_S
from turmericreach.lots import LengthModel, SpeedModel
from turmericreach.manifest.schema import ModelSpec
from turmericreach.verdicts import Verdict
from turmericreach.weights import (
    ACTIVATE,
    RolloutPlanner,
    TargetProgress,
    WantedVersion,
)

__all__ = ["World"]

MAX_RUN_S = 3600.0
# Ordinary requests run alone first, as between two steps of the trainers, so that the agents know
# their latency without rollouts.
WARM_UP_S = 30.0
STEP_PAUSE_S = 10.0
PLAN_INTERVAL_S = 0.5
PUSH_DELAY_S = 0.2
REPORT_LAG_S = 0.2
LAGGING_REPORT_LAG_S = 5.0
PLAIN_SERVICE_S = 0.03
ORDINARY_DEADLINE_S = 60.0
PLAIN_DEADLINE_S = 10.0
CRASH_AT_S, CRASH_DURATION_S = 60.0, 40.0
SWAP_FAILS_UNTIL_S = 200.0
OUTAGE_AT_S, OUTAGE_DURATION_S = 100.0, 90.0
COORDINATOR_CRASH_AT_S = 80.0


@attrs.define
class Tally:
    """Counters and measurements of a run.

    Attributes
    ----------
    lookups, plain : list of float
        Latency in seconds of each ordinary request to the model and the plain service.
    lookup_failures, plain_failures : int
        Ordinary requests that failed.
    plain_unknown : int
        Failed requests to the plain service that may have run.
    attempts : int
        Attempts of all requests to the plain service.
    requests : int
        Ordinary requests sent.
    waits : list of float
        Seconds from the declaration of a lot to its last sample, for each trainer and step.
    makespans : list of float
        Seconds from the start of each step to the last sample of all trainers.
    limits : list of float
        Theoretical lower limit of the makespan of each step in seconds.
    fair : list of float
        Lowest ratio of a trainer's tokens to its fair share, for each step.
    over_bound : int
        Samples delivered beyond their staleness bound.
    samples : int
        Samples delivered.
    useful_tokens : int
        Tokens of the delivered samples.
    staleness : list of int
        Staleness of each delivered sample in weight versions.
    """

    lookups: list[float] = attrs.field(factory=list)
    plain: list[float] = attrs.field(factory=list)
    lookup_failures: int = 0
    plain_failures: int = 0
    plain_unknown: int = 0
    attempts: int = 0
    requests: int = 0
    waits: list[float] = attrs.field(factory=list)
    makespans: list[float] = attrs.field(factory=list)
    limits: list[float] = attrs.field(factory=list)
    fair: list[float] = attrs.field(factory=list)
    over_bound: int = 0
    samples: int = 0
    useful_tokens: int = 0
    staleness: list[int] = attrs.field(factory=list)


class World:
    """A simulated deployment.

    Parameters
    ----------
    workload : Workload
    variant : Variant
    fault : str
        One of `FAULTS`.
    seed : int
    """

    def __init__(self, workload, variant, fault, seed):
        self.workload = workload
        self.variant = variant
        self.fault = fault
        self.seed = seed
        self.clock = VirtualClock()
        self.policy = workload.policy(variant.weighting)
        self.weights_interval_s = variant.weights_interval_s or WEIGHTS_INTERVAL_S
        self.tally = Tally()
        self.report_lag_s = LAGGING_REPORT_LAG_S if fault == "lagging_reports" else REPORT_LAG_S
        self.version = 1
        self.active = 1
        self.waiting_versions = []
        self.lengths = LengthModel()
        self.speeds = SpeedModel()
        self.gateways = []
        fcfs = variant.selection != "policy"
        services = {service.name: service for service in workload.services()}
        self.targets = {
            spec.name: TargetModel(self, spec, services[spec.service], fcfs)
            for spec in workload.targets()
        }
        self.engines = [target for target in self.targets.values() if target.is_model]
        self.gateways = [
            GatewayModel(self, f"gateway-{number + 1}", workload.centres[number], seed)
            for number in range(2)
        ]
        for target in self.targets.values():
            self.deliver_report(target.report())
        kind = PolicyTrainer if variant.selection == "policy" else BaselineTrainer
        self.trainers = [
            kind(self, load, self.gateways[number % 2])
            for number, load in enumerate(workload.trainers)
            if variant.rollouts
        ]
        self.step = 0
        self.over = False
        self.planner = RolloutPlanner(ModelSpec("m", activate_after_s=5.0, prepare_concurrency=2))
        self.start()

    def start(self):
        """Schedule the periodic work, the fault, the ordinary requests and the first step."""
        for target in self.engines:
            target.converge()
        self.clock.after(PLAN_INTERVAL_S, self.plan_weights)
        self.clock.after(self.weights_interval_s, self.announce_version)
        self.schedule_fault()
        ordinary = random.Random(f"ordinary/{self.workload.name}/{self.seed}")
        plain = random.Random(f"plain/{self.workload.name}/{self.seed}")
        self.clock.after(1.0, self.send_lookup, ordinary)
        self.clock.after(1.0, self.send_plain, plain)
        self.clock.after(WARM_UP_S, self.begin_step)

    def schedule_fault(self):
        """Schedule the fault of the run."""
        if self.fault == "crash":
            self.clock.at(CRASH_AT_S, self.engines[1].crash, CRASH_DURATION_S)
            self.clock.at(CRASH_AT_S, self.targets["plain-1"].crash, CRASH_DURATION_S)
        if self.fault == "failed_swap":
            self.engines[0].swap_fails_until = SWAP_FAILS_UNTIL_S
        if self.fault == "coordinator_crash" and self.trainers:
            self.clock.at(COORDINATOR_CRASH_AT_S, self.trainers[1].crash)

    def deliver_report(self, report):
        """Deliver a load report to all gateways."""
        for gateway in self.gateways:
            gateway.apply_report(report)

    # Weights

    def announce_version(self):
        """Announce the next weight version; during an outage it takes effect at its end."""
        self.version += 1
        now = self.clock.now
        self.clock.after(self.weights_interval_s, self.announce_version)
        wanted = WantedVersion("m", self.version)
        down = OUTAGE_AT_S <= now < OUTAGE_AT_S + OUTAGE_DURATION_S
        if self.fault == "platform_outage" and down:
            self.clock.at(OUTAGE_AT_S + OUTAGE_DURATION_S, self.apply_wanted, wanted)
            return
        self.apply_wanted(wanted)

    def apply_wanted(self, wanted):
        """Apply a wanted version: start rolling it out to the engines."""
        self.planner.raise_wanted(wanted, self.clock.now)
        for target in self.engines:
            target.converger.raise_wanted(wanted.version, wanted.phase)

    def plan_weights(self):
        """Run one step of the duty that rolls out weights, periodically."""
        now = self.clock.now
        self.clock.after(PLAN_INTERVAL_S, self.plan_weights)
        progress = [
            TargetProgress(target.spec.name, target.prepared, target.engine.version)
            for target in self.engines
        ]
        plan = self.planner.plan(progress, now)
        for grant in plan.grants:
            self.targets[grant.target].converger.grant(grant.version, grant.expires_at)
        if plan.activate is not None and plan.activate.version > self.active:
            self.clock.after(PUSH_DELAY_S, self.activate, plan.activate.version)

    def activate(self, version):
        """Send the activation of a version to the agents."""
        self.active = max(self.active, version)
        for target in self.engines:
            target.converger.raise_wanted(version, ACTIVATE)

    # Ordinary requests

    def send_lookup(self, rng):
        """Send a lookup to the model service and schedule the next one."""
        workload = self.workload
        self.clock.after(rng.expovariate(workload.lookups_per_s), self.send_lookup, rng)
        sent_at = self.clock.now
        tokens = max(4, int(rng.uniform(0.5, 1.5) * workload.lookup_tokens))

        def on_done(verdict, code, retry_after_s, result):
            if result is None:
                self.tally.lookup_failures += 1
            # Failed requests count with their wait; leaving them out would improve the figures.
            self.tally.lookups.append(self.clock.now - sent_at)

        request = Request(
            f"lookup-{self.tally.requests}",
            "model",
            "ordinary",
            tokens,
            sent_at + ORDINARY_DEADLINE_S,
            on_done,
            prefix=f"lookup-{rng.randrange(8)}",
            expected_tokens=int(workload.lookup_tokens),
        )
        self.send_ordinary(request, rng)

    def send_plain(self, rng):
        """Send a request to the plain service and schedule the next one."""
        workload = self.workload
        self.clock.after(rng.expovariate(workload.plain_per_s), self.send_plain, rng)
        sent_at = self.clock.now

        def on_done(verdict, code, retry_after_s, result):
            self.tally.attempts += request.attempts
            self.tally.plain.append(self.clock.now - sent_at)
            if result is None:
                self.tally.plain_failures += 1
                self.tally.plain_unknown += verdict is Verdict.MAY_HAVE_RUN

        request = Request(
            f"plain-{self.tally.requests}",
            "plain",
            "ordinary",
            PLAIN_SERVICE_S * rng.uniform(0.5, 1.5),
            sent_at + PLAIN_DEADLINE_S,
            on_done,
            idempotent=workload.plain_idempotent,
        )
        self.send_ordinary(request, rng)

    def send_ordinary(self, request, rng):
        """Send an ordinary request through a random gateway."""
        self.tally.requests += 1
        self.gateways[rng.randrange(len(self.gateways))].run(request)

    # Steps of the trainers

    def begin_step(self):
        """Let every trainer declare the lot of the next step, and compute the lower limit."""
        self.step_began = self.clock.now
        lots = [
            self.workload.draw_lengths(load, self.seed, self.step)
            for load in self.workload.trainers
        ]
        work = sum(sum(lot) for lot in lots) / self.workload.total_speed()
        longest = max(max(lot) for lot in lots) / max(self.workload.speeds)
        self.tally.limits.append(max(work, longest))
        self.fair_start = None
        self.fair_recorded = False
        if not self.trainers:
            self.clock.after(self.tally.limits[-1], self.end_step)
            return
        self.fair_start = self.produced()
        for trainer, lot in zip(self.trainers, lots, strict=True):
            trainer.declare(self.step, lot)

    def produced(self):
        """Return the tokens generated so far for each trainer."""
        return {
            trainer.load.name: sum(
                target.engine.produced_by(trainer.load.name) for target in self.engines
            )
            for trainer in self.trainers
        }

    def on_all_started(self):
        """Measure the trainers' shares once the first trainer has started all its samples."""
        if self.fair_recorded:
            return
        self.fair_recorded = True
        produced = {name: count - self.fair_start[name] for name, count in self.produced().items()}
        total = sum(produced.values())
        if total > 0:
            self.tally.fair.append(min(produced.values()) / total * len(produced))

    def on_lot_done(self, wait_s):
        """Record that a trainer has all its samples; the last trainer ends the step."""
        self.tally.waits.append(wait_s)
        if all(trainer.is_done for trainer in self.trainers):
            self.tally.makespans.append(self.clock.now - self.step_began)
            self.end_step()

    def end_step(self):
        """Begin the next step after a pause, or end the run."""
        self.step += 1
        if self.step >= self.workload.steps:
            self.over = True
            return
        self.clock.after(STEP_PAUSE_S, self.begin_step)

    def run(self):
        """Run until all steps have ended, or for `MAX_RUN_S`, and return the tally."""
        self.clock.run(MAX_RUN_S, lambda: self.over)
        return self.tally
