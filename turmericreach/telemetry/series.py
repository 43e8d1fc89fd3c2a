"""Series over time from log lines: requests, waiting items and lots."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from turmericreach.telemetry.story import StoryLine, parse_line

__all__ = ["LogSeries", "quantile", "read_series"]

ENDED = frozenset({"request_ended", "request_failed"})


@attrs.define
class LogSeries:
    """What the log lines of a time tell, by second since the first line.

    Attributes
    ----------
    latency_ms : dict of str to dict of int to list of float
        Times of the requests that ended, by route and second.
    answers : dict of str to dict of int to int
        Requests that ended, by status and second; lots refused count too.
    waited_s : dict of int to list of float
        Times that items waited for an engine, by the second of their start.
    lots : dict of str to list of tuple of float
        Seconds and shares of the items listed, by lot.
    lines : int
        Log lines read.
    """

    latency_ms: dict[str, dict[int, list[float]]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(list))
    )
    answers: dict[str, dict[int, int]] = attrs.field(
        factory=lambda: defaultdict(lambda: defaultdict(int))
    )
    waited_s: dict[int, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    lots: dict[str, list[tuple[float, float]]] = attrs.field(factory=lambda: defaultdict(list))
    lines: int = 0

    def take(self, line: StoryLine, seconds: float) -> None:
        """Add a log line that was written so many seconds after the first."""
        self.lines += 1
        fields = line.fields
        second = int(seconds)
        if line.event in ENDED:
            self.latency_ms[fields["route"] or "none"][second].append(fields["ms"])
            self.answers[str(fields["status"])][second] += 1
        elif line.event == "batch_refused":
            self.answers[f"lot {fields['status']}"][second] += 1
        elif line.event == "item_started":
            self.waited_s[second].append(fields["waited_s"])
        elif line.event == "batch_accepted":
            self.lots[fields["lot"]].append((seconds, 0.0))
        elif line.event == "results_listed":
            self.lots[fields["lot"]].append((seconds, fields["total"] / fields["items"]))


def read_series(lines: Iterable[str]) -> LogSeries:
    """Return the series of log lines, which may come from several files.

    Other text and lines without the fields that an event has are left out.
    """
    parsed = sorted(
        (line for text in lines if (line := parse_line(text)) is not None),
        key=lambda line: line.time,
    )
    series = LogSeries()
    for line in parsed:
        try:
            series.take(line, line.time - parsed[0].time)
        except (KeyError, TypeError, ZeroDivisionError):
            continue
    return series


def quantile(values: list[float], share: float) -> float:
    """Return the value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
