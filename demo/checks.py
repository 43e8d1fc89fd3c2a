"""Checks of what the demo can see of the guarantees."""

import collections

import aiohttp

from demo.callers import CallRecord
from demo.layout import IP, Layout
from demo.trainers import TrainerRun

__all__ = ["check_orders", "check_samples", "read_executions"]


def check_samples(runs: list[TrainerRun]) -> list[str]:
    """Return what is wrong with the delivered samples."""
    faults = []
    for run in runs:
        counts = collections.Counter(item.sample.id for item in run.deliveries)
        lost = run.expected - counts.keys()
        doubled = [name for name, count in counts.items() if count > 1]
        strange = counts.keys() - run.expected
        name = run.trainer.name
        if lost:
            faults.append(f"{name}: {len(lost)} samples lost, e.g. {min(lost)}")
        if doubled:
            faults.append(f"{name}: {len(doubled)} samples doubled, e.g. {min(doubled)}")
        if strange:
            faults.append(f"{name}: {len(strange)} unknown samples, e.g. {min(strange)}")
        for item in run.deliveries:
            faults += check_label(item.sample)
            faults += check_staleness(item, run.trainer.staleness_bound)
    return faults


def check_label(sample) -> list[str]:
    """Compare a label with the versions that the engine wrote into the text itself."""
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
    """Compare a sample's oldest version with the bound."""
    oldest = min(segment.version for segment in item.sample.segments)
    if item.trainer_version - oldest > bound:
        return [f"{item.sample.id}: version {oldest} handed over at {item.trainer_version}"]
    return []


def check_orders(records: list[CallRecord], executions: dict[str, int]) -> list[str]:
    """Compare the verdicts of ordinary requests with what the targets executed."""
    faults = []
    for record in records:
        ran = executions.get(record.request_id, 0)
        if record.verdict == "answered" and not record.whole:
            faults.append(f"{record.kind} {record.request_id}: answer not whole or not its own")
        if record.verdict == "not_run" and ran and record.kind != "lookup":
            faults.append(f"{record.kind} {record.request_id}: refused as not run, but it ran")
        if not record.idempotent and ran > 1:
            faults.append(f"{record.kind} {record.request_id}: ran {ran} times")
        if record.idempotent and record.verdict != "answered":
            faults.append(f"{record.kind} {record.request_id}: ended as {record.verdict}")
    return faults


async def read_executions(layout: Layout) -> dict[str, int]:
    """Return how often each request id was executed by the plain services."""
    executions: collections.Counter = collections.Counter()
    async with aiohttp.ClientSession() as session:
        for target in layout.targets:
            if target.is_model:
                continue
            url = f"http://{IP}:{target.port}/standin/record"
            async with session.get(url) as response:
                executions.update((await response.json())["executions"])
    return dict(executions)
