"""What log lines tell of one request, item or lot."""

import errno
import json
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TextIO

import attrs

__all__ = ["StoryLine", "find_story", "parse_line", "read_lines"]

# Fields that name what a line is about.
SUBJECT_FIELDS = ("request", "item", "lot")
# Other lines belong to a story only if they fall into its time, in seconds around it.
CONTEXT_S = 3.0
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
        "log_lines_dropped",
    }
)


@attrs.frozen
class StoryLine:
    """A line of a story.

    Attributes
    ----------
    time : float
        Unix seconds.
    host : str
        Who logged it.
    event : str
        Name of the event.
    message : str
        Its message.
    fields : dict
        Its fields.
    context : bool
        Whether it is not about the subject but may explain it.
    """

    time: float
    host: str
    event: str
    message: str
    fields: dict[str, Any]
    context: bool = False


def read_lines(paths: Iterable[Path], standard_input: TextIO) -> Iterator[str]:
    """Yield the lines of files, of all files of folders, and of standard input for ``-``."""
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


def parse_line(text: str) -> StoryLine | None:
    """Return a log line, None for other text; what precedes the JSON object is left out."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        entry = json.loads(text[start:])
        return StoryLine(
            time=float(entry["time"]),
            host=str(entry.get("daemon", "")),
            event=str(entry["event"]),
            message=str(entry["message"]),
            fields=dict(entry.get("fields", {})),
        )
    except (ValueError, KeyError, TypeError):
        return None


def find_story(lines: Iterable[str], subject: str, with_context: bool = True) -> list[StoryLine]:
    """Return the lines about a subject in the order of their time.

    A lot's story holds its items, an item's the lines of its lot that name no item.

    Parameters
    ----------
    subject : str
        Id of a request, an item or a lot.
    with_context : bool
        Whether lines are added that change what a process believed meanwhile.
    """
    parsed = [line for text in lines if (line := parse_line(text)) is not None]
    lots = set()
    for line in parsed:
        if line.fields.get("item") == subject and "lot" in line.fields:
            lots.add(line.fields["lot"])
    story = [line for line in parsed if is_about(line, subject, lots)]
    if not story:
        return []
    if with_context:
        story += context_of(parsed, story)
    return sorted(story, key=lambda line: line.time)


def is_about(line: StoryLine, subject: str, lots: set[str]) -> bool:
    """Return whether a line is about a subject, or about the whole lot of an item."""
    if any(line.fields.get(name) == subject for name in SUBJECT_FIELDS):
        return True
    return line.fields.get("lot") in lots and "item" not in line.fields


def context_of(lines: list[StoryLine], story: list[StoryLine]) -> list[StoryLine]:
    """Return lines near a story that may explain it, as context."""
    first = min(line.time for line in story) - CONTEXT_S
    last = max(line.time for line in story) + CONTEXT_S
    hosts = {line.host for line in story}
    targets = {line.fields["target"] for line in story if "target" in line.fields}
    found = []
    for line in lines:
        if line.event not in CONTEXT_EVENTS or not first <= line.time <= last:
            continue
        near = line.fields.get("target") in targets or line.host in hosts
        if near and line not in story:
            found.append(attrs.evolve(line, context=True))
    return found
