"""Writers of Markdown tables, JSON files and plots."""

import math

import matplotlib
import msgspec

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402 - the backend must be set before this import

__all__ = ["markdown_table", "plot_bars", "plot_slope", "write_json"]

BAR_WIDTH = 0.8


def format_number(value):
    """Format a value with three significant digits, "-" for NaN."""
    if not isinstance(value, float):
        return str(value)
    if math.isnan(value):
        return "-"
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.3g}"


def format_cell(value):
    """Format a value, or a [median, minimum, maximum] list as median and range."""
    if isinstance(value, list):
        return f"{format_number(value[0])} ({format_number(value[1])} to {format_number(value[2])})"
    return format_number(value)


def markdown_table(rows):
    """Return a Markdown table of dictionaries that all have the same keys."""
    names = list(rows[0])
    lines = [f"| {' | '.join(names)} |", f"|{'|'.join(' --- ' for _ in names)}|"]
    lines += [f"| {' | '.join(format_cell(row[name]) for name in names)} |" for row in rows]
    return "\n".join(lines) + "\n"


def write_json(path, value):
    """Write a value as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")


def save_figure(figure, path):
    """Save and close a plot, without the date, so that equal runs give equal metadata."""
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def plot_bars(path, title, unit, rows, bound=None):
    """Plot medians with ranges as horizontal bars.

    `rows` holds (label, [median, minimum, maximum]); `bound` is drawn as a dashed line.
    """
    figure, axes = pyplot.subplots(figsize=(8, 0.4 * len(rows) + 1.5))
    positions = range(len(rows))
    medians = [values[0] for _, values in rows]
    below = [values[0] - values[1] for _, values in rows]
    above = [values[2] - values[0] for _, values in rows]
    axes.barh(positions, medians, BAR_WIDTH, xerr=[below, above], color="#c58a2b", ecolor="#333333")
    axes.set_yticks(positions, [label for label, _ in rows])
    axes.invert_yaxis()
    axes.set_xlabel(unit)
    axes.set_title(title)
    if bound is not None:
        axes.axvline(bound, color="#8b0000", linestyle="--")
    save_figure(figure, path)


def plot_slope(path, title, x_label, y_label, points, bound=None):
    """Plot (x, y) points as a line; `bound` is drawn as a dashed horizontal line."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot([x for x, _ in points], [y for _, y in points], marker="o", color="#c58a2b")
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0)
    axes.set_title(title)
    if bound is not None:
        axes.axhline(bound, color="#8b0000", linestyle="--")
    save_figure(figure, path)
