"""Time series extracted from log lines: requests, waiting items and the progress of lots."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from turmericreach.telemetry.timeline import LogLine, parse_line

__all__ = ["LogSeries", "quantile", "read_series"]

REQUEST_END_EVENTS = frozenset({"request_ended", "request_failed"})


@attrs.define
class LogSeries:
    """Time series of a set of log lines, by whole seconds since the first line.

    Attributes
    ----------
    latency_ms : dict of str to dict of int to list of float
        Durations of the requests that ended, in milliseconds, by route and second.
    responses : dict of str to dict of int to int
        Number of requests that ended, by status and second. Rejected submissions of lots are
        counted under the status with the prefix ``lot``.
    waited_s : dict of int to list of float
        Seconds that items waited for an engine, by the second in which they started.
    lots : dict of str to list of tuple of float
        Progress by lot: pairs of seconds since the first line and share of the items listed.
    lines : int
        Number of log lines read.
    """

    latency_ms: dict[str, dict[int, list[float]]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(list))
    )
    responses: dict[str, dict[int, int]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(int))
    )
    waited_s: dict[int, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    lots: dict[str, list[tuple[float, float]]] = attrs.field(factory=lambda: defaultdict(list))
    lines: int = 0

    def add_line(self, line: LogLine, seconds: float) -> None:
        """Add a log line that was written `seconds` after the first line."""
        self.lines += 1
        fields = line.fields
        second = int(seconds)
        if line.event in REQUEST_END_EVENTS:
            self.latency_ms[fields["route"] or "none"][second].append(fields["ms"])
            self.responses[str(fields["status"])][second] += 1
        elif line.event == "batch_refused":
            self.responses[f"lot {fields['status']}"][second] += 1
        elif line.event == "item_started":
            self.waited_s[second].append(fields["waited_s"])
        elif line.event == "batch_accepted":
            self.lots[fields["lot"]].append((seconds, 0.0))
        elif line.event == "results_listed":
            self.lots[fields["lot"]].append((seconds, fields["total"] / fields["items"]))


def read_series(lines: Iterable[str]) -> LogSeries:
    """Return the time series of log lines, which may come from several files in any order.

    Text that is not a log line and events without the expected fields are ignored.
    """
    parsed = sorted(
        (line for text in lines if (line := parse_line(text)) is not None),
        key=lambda line: line.time,
    )
    series = LogSeries()
    for line in parsed:
        try:
            series.add_line(line, line.time - parsed[0].time)
        except (KeyError, TypeError, ZeroDivisionError):
            continue
    return series


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of a non-empty list by rank; it is always one of the values."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
