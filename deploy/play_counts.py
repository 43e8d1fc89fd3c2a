"""Counts in the logs of plays what their reports do not show.

A report without a broken rule proves nothing unless the trouble has come. The arguments are files
with the output of the bench when it prints the logs of all processes.
"""

import re
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import msgspec

__all__ = ["LogEvent", "continuations", "main", "read_events", "sent_to_leaving"]

# Events that stand for a request to a target.
SENT_EVENTS = ("request_tried", "item_started", "item_scored")
# Time for which a target that leaves may still get requests.
DRAIN_S = 2.0
LOG_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*")


@attrs.frozen
class LogEvent:
    """One event in the log of a process.

    Attributes
    ----------
    at_s : float
        Seconds since the start of the traffic.
    host : str
        Host of the process.
    name : str
        Name of the event.
    fields : dict
        Fields of the event.
    """

    at_s: float
    host: str
    name: str
    fields: dict


def read_events(lines: Iterable[str]) -> Iterator[LogEvent]:
    """Yield the events among the lines that a play has printed."""
    for line in lines:
        found = LOG_LINE.fullmatch(line)
        if found is None:
            continue
        record = msgspec.json.decode(found[3])
        yield LogEvent(float(found[1]), found[2], record["event"], record["fields"])


def continuations(events: Iterable[LogEvent]) -> Counter:
    """Count runs that continued a text or a stream, by kind and software of their targets.

    The software counts as the same or another one than that of the events so far, as told by the
    logs of all processes together, or as unknown if no earlier event is logged.
    """
    found: Counter = Counter()
    begun: dict[str, str] = {}
    for event in sorted(events, key=lambda event: event.at_s):
        fields = event.fields
        if event.name in ("item_stopped", "item_broken"):
            begun[fields["item"]] = fields["software"]
        elif event.name == "item_started":
            count_run(found, "item", fields, begun.get(fields["item"], ""))
        elif event.name == "request_tried":
            name = fields["resumes"] or fields["request"]
            count_run(found, "stream", fields, begun.get(name, ""))
            begun.setdefault(name, fields["software"])
    return found


def count_run(found: Counter, kind: str, fields: dict, begun_with: str) -> None:
    """Count a run if it continues after an event of a target with some software."""
    if fields["resumed_after"] is None:
        return
    software = "unknown"
    if begun_with:
        software = "same" if begun_with == fields["software"] else "other"
    found[f"{kind} continued, {software} software"] += 1


def sent_to_leaving(events: Iterable[LogEvent]) -> Counter:
    """Count targets that said that they leave, and what was sent to them later.

    A target counts from the first response to any process that said so.
    """
    found: Counter = Counter()
    said_at: dict[str, float] = {}
    for event in sorted(events, key=lambda event: event.at_s):
        if event.name == "target_announced_leaving":
            said_at.setdefault(event.fields["target"], event.at_s)
        if event.name not in SENT_EVENTS:
            continue
        # These events are logged at the end of an attempt, but for the start of an item.
        seconds = 0.0 if event.name == "item_started" else event.fields["ms"] / 1000
        since = event.at_s - seconds - said_at.get(event.fields["target"], float("inf"))
        if since > 0:
            later = "later than 2 s" if since > DRAIN_S else "within 2 s"
            found[f"{event.name} at a leaving target, {later}"] += 1
    found["targets that said that they leave"] = len(said_at)
    return found


def main(arguments: list[str]) -> int:
    """Print the counts of each file and return the exit code."""
    for path in arguments:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            events = list(read_events(lines))
        counts = continuations(events) + sent_to_leaving(events)
        listed = {
            (event.fields["target"], event.fields["software_version"])
            for event in events
            if event.name == "target_listed"
        }
        versions = Counter(version for _, version in listed)
        print(f"{path}: versions listed {dict(versions)}")
        for name, number in sorted(counts.items()):
            print(f"  {name}: {number}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
