"""The `report` command, which draws plots from log files."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from turmericreach.cli.options import ExitCode, command, print_error
from turmericreach.cli.output import print_note
from turmericreach.telemetry.series import LogSeries, quantile, read_series
from turmericreach.telemetry.timeline import read_lines

__all__ = ["report_plots"]

# Only the busiest routes are drawn; more lines could not be told apart.
MAX_ROUTES = 12
MATPLOTLIB_REQUIRED = "plots need matplotlib: pip install 'turmericreach[report]'"


@command
async def report_plots(
    logs: Annotated[
        list[Path], Parameter(help="Log files or folders to read; - for standard input.")
    ],
    *,
    out: Annotated[Path, Parameter(help="Folder for the plots.")] = Path("report"),
) -> int:
    """Draw latency, responses, waiting times and the progress of lots over time as SVG files."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot
    except ImportError:
        return print_error(MATPLOTLIB_REQUIRED, ExitCode.FAILED)
    try:
        series = read_series(read_lines(logs, sys.stdin))
    except OSError as error:
        return print_error(f"{error.filename}: {error.strerror}", ExitCode.BAD_INPUT)
    if not series.lines:
        return print_error("no log lines found", ExitCode.NOT_FOUND)
    out.mkdir(parents=True, exist_ok=True)
    plots = {
        "latency": draw_latency,
        "answers": draw_responses,
        "waiting": draw_waiting,
        "lots": draw_lots,
    }
    for name, draw in plots.items():
        figure, axes = pyplot.subplots(figsize=(9, 4), layout="constrained")
        draw(axes, series)
        axes.set_xlabel("seconds since the first line")
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small", loc="upper left")
        path = out / f"{name}.svg"
        figure.savefig(path)
        pyplot.close(figure)
        print_note(str(path))
    return ExitCode.OK


def draw_latency(axes, series: LogSeries) -> None:
    """Draw the 99th percentile of the latency by route."""
    axes.set(title="Request latency, 99th percentile by route", ylabel="ms", yscale="log")
    busiest = sorted(
        series.latency_ms.items(), key=lambda item: -sum(len(values) for values in item[1].values())
    )
    for route, by_second in busiest[:MAX_ROUTES]:
        points = sorted((second, quantile(values, 0.99)) for second, values in by_second.items())
        axes.plot(*zip(*points, strict=True), label=route, marker=".")


def draw_responses(axes, series: LogSeries) -> None:
    """Draw the responses per second by status."""
    axes.set(title="Responses by status", ylabel="responses per second")
    for status, by_second in sorted(series.responses.items()):
        axes.plot(*zip(*sorted(by_second.items()), strict=True), label=status, marker=".")


def draw_waiting(axes, series: LogSeries) -> None:
    """Draw how long items waited for an engine."""
    axes.set(title="Items: time waited for an engine", ylabel="s")
    for label, share in (("median", 0.5), ("99th percentile", 0.99)):
        points = sorted((second, quantile(v, share)) for second, v in series.waited_s.items())
        if points:
            axes.plot(*zip(*points, strict=True), label=label, marker=".")


def draw_lots(axes, series: LogSeries) -> None:
    """Draw the share of items that are listed, by lot."""
    axes.set(title="Lots: share of items listed", ylabel="share", ylim=(0, 1.05))
    for points in series.lots.values():
        axes.plot(*zip(*sorted(points), strict=True), linewidth=1)
