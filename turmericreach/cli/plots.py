"""The command that draws plots from log files: `report`."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from turmericreach.cli.options import ExitCode, command, report
from turmericreach.cli.output import note
from turmericreach.telemetry.series import LogSeries, quantile, read_series
from turmericreach.telemetry.timeline import read_lines

__all__ = ["report_plots"]

# Routes and lots drawn, the busiest ones; more cannot be told apart.
MAX_LINES = 12
NO_MATPLOTLIB = "plots need matplotlib: pip install 'turmericreach[report]'"


@command
async def report_plots(
    logs: Annotated[list[Path], Parameter(help="Log files or folders; - for a pipe.")],
    *,
    out: Annotated[Path, Parameter(help="Folder for the plots.")] = Path("report"),
) -> int:
    """Draw latency, answers, waiting and the lots' progress over time as SVG files."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot
    except ImportError:
        return report(NO_MATPLOTLIB, ExitCode.FAILED)
    try:
        series = read_series(read_lines(logs, sys.stdin))
    except OSError as error:
        return report(f"{error.filename}: {error.strerror}", ExitCode.BAD_INPUT)
    if not series.lines:
        return report("no log lines found", ExitCode.NOT_FOUND)
    out.mkdir(parents=True, exist_ok=True)
    draws = {
        "latency": draw_latency,
        "answers": draw_answers,
        "waiting": draw_waiting,
        "lots": draw_lots,
    }
    for name, draw in draws.items():
        figure, axes = pyplot.subplots(figsize=(9, 4), layout="constrained")
        draw(axes, series)
        axes.set_xlabel("seconds since the first line")
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small", loc="upper left")
        path = out / f"{name}.svg"
        figure.savefig(path)
        pyplot.close(figure)
        note(str(path))
    return ExitCode.OK


def draw_latency(axes, series: LogSeries) -> None:
    """Draw the 99th percentile of each route."""
    axes.set(title="Time of requests, 99th percentile by route", ylabel="ms", yscale="log")
    busiest = sorted(
        series.latency_ms.items(), key=lambda item: -sum(len(values) for values in item[1].values())
    )
    for route, by_second in busiest[:MAX_LINES]:
        points = sorted((second, quantile(values, 0.99)) for second, values in by_second.items())
        axes.plot(*zip(*points, strict=True), label=route, marker=".")


def draw_answers(axes, series: LogSeries) -> None:
    """Draw the answers a second by status."""
    axes.set(title="Answers by status", ylabel="answers a second")
    for status, by_second in sorted(series.responses.items()):
        axes.plot(*zip(*sorted(by_second.items()), strict=True), label=status, marker=".")


def draw_waiting(axes, series: LogSeries) -> None:
    """Draw how long items waited for an engine."""
    axes.set(title="Items: wait for an engine", ylabel="s")
    for label, share in (("median", 0.5), ("99th percentile", 0.99)):
        points = sorted((second, quantile(v, share)) for second, v in series.waited_s.items())
        if points:
            axes.plot(*zip(*points, strict=True), label=label, marker=".")


def draw_lots(axes, series: LogSeries) -> None:
    """Draw the share of listed items of each lot."""
    axes.set(title="Lots: share of the items that are listed", ylabel="share", ylim=(0, 1.05))
    for points in series.lots.values():
        axes.plot(*zip(*sorted(points), strict=True), linewidth=1)
