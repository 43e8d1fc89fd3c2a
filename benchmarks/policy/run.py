"""Runs of one variant over several seeds, and their figures."""

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
        `idle_s` over the lower limit.
    over_bound : int
        Samples delivered beyond their staleness bound.
    thrown : float
        Share of the generated rollout tokens that no trainer got.
    fair : float
        Least share of a trainer over its fair share while all trainers had work waiting.
    lookup_p99_s, plain_p99_s : float
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
    """Return a percentile by the nearest rank, not a number without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)]


def mean(values):
    """Return the mean, not a number without values."""
    return statistics.fmean(values) if values else math.nan


def run_once(job):
    """Run one (workload, variant, fault, seed) and return its `Figures`."""
    workload, variant, fault, seed = job
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
    """Return median, least and greatest value of each figure over the seeds."""
    summary = {}
    for field in attrs.fields(Figures):
        values = [float(getattr(run, field.name)) for run in runs]
        numbers = [value for value in values if not math.isnan(value)] or [math.nan]
        summary[field.name] = [statistics.median(numbers), min(numbers), max(numbers)]
    return summary
