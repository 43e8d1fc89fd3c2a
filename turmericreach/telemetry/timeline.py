"""Timelines of one request, item or lot, assembled from log lines."""

import errno
import json
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

import attrs

__all__ = ["LogLine", "build_timeline", "parse_line", "read_lines"]

# Fields that hold the id of a subject.
SUBJECT_FIELDS = ("request", "item", "lot", "subject")
# Events about other subjects are context if they were logged during the subject's timeline or this
# many seconds before or after it.
CONTEXT_MARGIN_S = 3.0
CONTEXT_EVENTS = frozenset(
    {
        "dependency_lost",
        "dependency_regained",
        "configuration_applied",
        "configuration_unreadable",
        "target_draining",
        "target_removed",
        "target_suspected",
        "target_trusted",
        "duty_taken",
        "duty_lost",
        "division_changed",
        "order_sent",
        "host_unreachable",
        "host_reachable",
        "watch_deaf",
        "node_started",
        "node_stopping",
        "node_stopped",
        "node_not_ready",
        "process_stalled",
        "store_object_unreadable",
        "unexpected_error",
        "log_lines_dropped",
    }
)


@attrs.frozen
class LogLine:
    """A parsed log line.

    Attributes
    ----------
    time : float
        Unix time in seconds.
    host : str
        Name of the process that logged it; empty if the line has none.
    event : str
        Name of the event.
    message : str
        Message of the event.
    fields : dict
        Fields of the event by name.
    context : bool
        Whether the line is not about the subject of a timeline but may explain it.
    """

    time: float
    host: str
    event: str
    message: str
    fields: dict[str, Any]
    context: bool = False


def read_lines(paths: Iterable[Path], standard_input: TextIO) -> Iterator[str]:
    """Yield the lines of files, of all files below folders, and of standard input for ``-``."""
    for path in paths:
        if str(path) == "-":
            yield from standard_input
            continue
        if not path.exists():
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), str(path))
        files = sorted(path.rglob("*")) if path.is_dir() else [path]
        for file in files:
            if not file.is_file():
                continue
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from lines


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None for other text. Text before the JSON object is ignored."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        entry = json.loads(text[start:])
        return LogLine(
            time=float(entry["time"]),
            host=str(entry.get("daemon", "")),
            event=str(entry["event"]),
            message=str(entry["message"]),
            fields=dict(entry.get("fields", {})),
        )
    except (ValueError, KeyError, TypeError):
        return None


def build_timeline(lines: Iterable[str], subject: str, with_context: bool = True) -> list[LogLine]:
    """Return the log lines about a subject, ordered by time; empty if there are none.

    The timeline of a lot includes the lines about its items. The timeline of an item includes the
    lines about its lot that name no item.

    Parameters
    ----------
    lines : iterable of str
        Lines of log files, in any order. Text that is not a log line is ignored.
    subject : str
        Id of a request, an item or a lot.
    with_context : bool
        Whether to include events that changed the state of the processes and targets involved.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    lots = set()
    for line in parsed:
        if line.fields.get("item") == subject and "lot" in line.fields:
            lots.add(line.fields["lot"])
    timeline = [line for line in parsed if is_about(line, subject, lots)]
    if not timeline:
        return []
    if with_context:
        timeline += find_context(parsed, timeline)
    return sorted(timeline, key=lambda line: line.time)


def is_about(line: LogLine, subject: str, lots: set[str]) -> bool:
    """Return whether a line is about the subject, or about one of `lots` as a whole."""
    if any(line.fields.get(name) == subject for name in SUBJECT_FIELDS):
        return True
    return line.fields.get("lot") in lots and "item" not in line.fields


def find_context(lines: list[LogLine], timeline: list[LogLine]) -> list[LogLine]:
    """Return context events near a timeline that share a host or a target with it."""
    first = min(line.time for line in timeline) - CONTEXT_MARGIN_S
    last = max(line.time for line in timeline) + CONTEXT_MARGIN_S
    hosts = {line.host for line in timeline}
    targets = {line.fields["target"] for line in timeline if "target" in line.fields}
    found = []
    for line in lines:
        if line.event not in CONTEXT_EVENTS or not first <= line.time <= last:
            continue
        related = line.fields.get("target") in targets or line.host in hosts
        if related and line not in timeline:
            found.append(attrs.evolve(line, context=True))
    return found
