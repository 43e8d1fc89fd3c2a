"""Checks of the guarantees that are observable from outside the system."""

import collections

import aiohttp

from demo.callers import CallRecord
from demo.layout import IP, Layout
from demo.trainers import TrainerRun

__all__ = ["check_orders", "check_samples", "read_executions"]


def check_samples(runs: list[TrainerRun]) -> list[str]:
    """Return the violations among the delivered samples: lost, duplicated, mislabelled, stale."""
    violations = []
    for run in runs:
        counts = collections.Counter(item.sample.id for item in run.deliveries)
        lost = run.expected - counts.keys()
        duplicated = [name for name, count in counts.items() if count > 1]
        unexpected = counts.keys() - run.expected
        name = run.trainer.name
        if lost:
            violations.append(f"{name}: {len(lost)} samples lost, e.g. {min(lost)}")
        if duplicated:
            violations.append(f"{name}: {len(duplicated)} samples doubled, e.g. {min(duplicated)}")
        if unexpected:
            violations.append(f"{name}: {len(unexpected)} unknown samples, e.g. {min(unexpected)}")
        for item in run.deliveries:
            violations += check_label(item.sample)
            violations += check_staleness(item, run.trainer.staleness_bound)
    return violations


def check_label(sample) -> list[str]:
    """Compare the segments of a sample with the versions that the engine wrote into its text."""
    true_versions = [
        int(token.partition(".")[0].removeprefix("w")) for token in sample.text.split()
    ]
    labelled = []
    for segment in sample.segments:
        labelled += [segment.version] * segment.tokens
    if true_versions != labelled:
        return [f"{sample.id}: mislabelled"]
    return []


def check_staleness(item, bound: int) -> list[str]:
    """Compare the staleness of a sample's oldest version with the bound."""
    oldest = min(segment.version for segment in item.sample.segments)
    if item.trainer_version - oldest > bound:
        return [f"{item.sample.id}: version {oldest} handed over at {item.trainer_version}"]
    return []


def check_orders(records: list[CallRecord], executions: dict[str, int]) -> list[str]:
    """Compare the verdicts of ordinary requests with what the targets executed."""
    violations = []
    for record in records:
        ran = executions.get(record.request_id, 0)
        if record.verdict == "answered" and not record.complete:
            violations.append(
                f"{record.kind} {record.request_id}: response incomplete or for another request"
            )
        if record.verdict == "not_run" and ran and record.kind != "lookup":
            violations.append(f"{record.kind} {record.request_id}: refused as not run, but it ran")
        if not record.idempotent and ran > 1:
            violations.append(f"{record.kind} {record.request_id}: ran {ran} times")
        if record.idempotent and record.verdict != "answered":
            violations.append(f"{record.kind} {record.request_id}: ended as {record.verdict}")
    return violations


async def read_executions(layout: Layout) -> dict[str, int]:
    """Return the number of executions of each request id at the plain services."""
    executions: collections.Counter = collections.Counter()
    async with aiohttp.ClientSession() as session:
        for target in layout.targets:
            if target.is_model:
                continue
            url = f"http://{IP}:{target.port}/standin/record"
            async with session.get(url) as response:
                executions.update((await response.json())["executions"])
    return dict(executions)
