"""Run a variant with one seed, and summarize the figures over seeds."""

import math
import statistics

import attrs

from benchmarks.policy.variants import VARIANTS
from benchmarks.policy.workloads import WORKLOADS
from benchmarks.policy.world import World

__all__ = ["Figures", "run_once", "summarize"]

PERCENTILE = 0.99


@attrs.frozen
class Figures:
    """Figures of one run.

    Attributes
    ----------
    idle_s : float
        Time from the declaration of the lots of a step until the last sample is delivered, mean
        over the steps.
    wait_s : float
        Mean over trainers and steps of the time until a trainer's own samples are delivered.
    limit_ratio : float
        `idle_s` divided by its theoretical lower limit.
    over_bound : int
        Samples delivered beyond their staleness bound.
    staleness : float
        Mean staleness of the delivered samples in weight versions.
    thrown : float
        Share of the generated rollout tokens that no trainer received.
    fair : float
        Lowest ratio of a trainer's tokens to its fair share, while all trainers had samples that
        had not started; mean over the steps.
    lookup_p99_s, plain_p99_s : float
        99th percentile of the latency of ordinary requests to the model and the plain service,
        including failed ones.
    lookup_failures, plain_failures : int
        Ordinary requests that failed.
    plain_unknown : int
        Failed requests to the plain service that may have run.
    plain_attempts : float
        Mean attempts per request to the plain service.
    finished : bool
        Whether all steps ended within the time limit of a run.
    """

    idle_s: float
    wait_s: float
    limit_ratio: float
    over_bound: int
    staleness: float
    thrown: float
    fair: float
    lookup_p99_s: float
    plain_p99_s: float
    lookup_failures: int
    plain_failures: int
    plain_unknown: int
    plain_attempts: float
    finished: bool


def percentile(values, share):
    """Return a percentile by the nearest-rank method, NaN for an empty list."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)]


def mean(values):
    """Return the mean, NaN for an empty list."""
    return statistics.fmean(values) if values else math.nan


def run_once(run_key):
    """Run one (workload, variant, fault, seed) and return its `Figures`."""
    workload, variant, fault, seed = run_key
    world = World(WORKLOADS[workload], VARIANTS[variant], fault, seed)
    tally = world.run()
    produced = sum(world.produced().values())
    return Figures(
        idle_s=mean(tally.makespans),
        wait_s=mean(tally.waits),
        limit_ratio=mean(tally.makespans) / mean(tally.limits),
        over_bound=tally.over_bound,
        staleness=mean(tally.staleness),
        thrown=1.0 - tally.useful_tokens / produced if produced else 0.0,
        fair=mean(tally.fair),
        lookup_p99_s=percentile(tally.lookups, PERCENTILE),
        plain_p99_s=percentile(tally.plain, PERCENTILE),
        lookup_failures=tally.lookup_failures,
        plain_failures=tally.plain_failures,
        plain_unknown=tally.plain_unknown,
        plain_attempts=tally.attempts / max(1, len(tally.plain)),
        finished=world.over,
    )


def summarize(runs):
    """Return [median, minimum, maximum] of each figure over the seeds, ignoring NaN."""
    summary = {}
    for field in attrs.fields(Figures):
        values = [float(getattr(run, field.name)) for run in runs]
        numbers = [value for value in values if not math.isnan(value)] or [math.nan]
        summary[field.name] = [statistics.median(numbers), min(numbers), max(numbers)]
    return summary
