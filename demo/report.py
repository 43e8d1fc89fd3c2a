"""Tables printed at the end of a run."""

import rich.console
import rich.table

from demo.callers import CallRecord
from demo.trainers import TrainerRun

__all__ = ["print_report"]


def print_report(runs: list[TrainerRun], records: list[CallRecord], seconds: float) -> None:
    """Print samples, versions, idle time, staleness and latencies."""
    console = rich.console.Console()
    trainers = rich.table.Table(title=f"trainers over {seconds:.0f} s")
    for heading in ("trainer", "lots", "samples", "versions", "staleness", "idle", "samples/s"):
        trainers.add_column(heading)
    for run in runs:
        trainers.add_row(*trainer_row(run, seconds))
    console.print(trainers)
    requests = rich.table.Table(title="ordinary requests")
    for heading in ("kind", "requests", "answered", "p50 ms", "p99 ms"):
        requests.add_column(heading)
    for kind in sorted({record.kind for record in records}):
        requests.add_row(*request_row(kind, [item for item in records if item.kind == kind]))
    console.print(requests)


def trainer_row(run: TrainerRun, seconds: float) -> list[str]:
    """Return the row of one trainer."""
    versions = set()
    staleness = []
    for item in run.deliveries:
        versions |= {segment.version for segment in item.sample.segments}
        oldest = min(segment.version for segment in item.sample.segments)
        staleness.append(item.trainer_version - oldest)
    shown = f"{min(versions)} to {max(versions)}" if versions else "-"
    mean = sum(staleness) / len(staleness) if staleness else 0.0
    total_s = run.idle_s + run.busy_s
    return [
        run.trainer.name,
        str(run.steps),
        f"{len({item.sample.id for item in run.deliveries})} of {len(run.expected)}",
        shown,
        f"mean {mean:.2f}, max {max(staleness, default=0)} (bound {run.trainer.staleness_bound})",
        f"{run.idle_s:.1f} s ({run.idle_s / total_s:.0%})" if total_s else "-",
        f"{len(run.deliveries) / seconds:.1f}",
    ]


def request_row(kind: str, records: list[CallRecord]) -> list[str]:
    """Return the row of one kind of request."""
    answered = sorted(item.latency_s for item in records if item.verdict == "answered")
    return [
        kind,
        str(len(records)),
        str(len(answered)),
        f"{percentile_ms(answered, 0.5):.0f}",
        f"{percentile_ms(answered, 0.99):.0f}",
    ]


def percentile_ms(ordered: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000
