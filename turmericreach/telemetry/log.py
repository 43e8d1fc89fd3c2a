"""Logging of events as one JSON object a line through absl."""

import json
import logging as std_logging
from collections.abc import Callable
from typing import Any, TextIO

from absl import flags, logging

from turmericreach.telemetry.event import Event, EventFieldError
from turmericreach.telemetry.redaction import REDACTED, is_secret_name, redact

__all__ = ["JsonFormatter", "configure_logging", "log_event"]

# One line has to stay far below what log collectors cut off.
MAX_TEXT = 2000

# Their lines have no code and repeat what events say; a streamed answer that was cut off on purpose
# appears there with a traceback.
LIBRARIES = ("uvicorn", "blacksheep")

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventLog:
    """State of the logging of this process.

    Attributes
    ----------
    strict : bool
        Whether unknown or missing fields raise. A daemon logs the event and the fault instead,
        since a wrong log call must not fail a request.
    listeners : list of callable
        Called with each event whose fields are right, and its fields.
    dropped : callable
        Returns how many lines the output has dropped.
    """

    def __init__(self):
        self.strict = True
        self.listeners: list[Callable[[Event, dict[str, Any]], None]] = []
        self.dropped: Callable[[], int] = lambda: 0


EVENT_LOG = EventLog()


class JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object in one line."""

    def __init__(self, daemon: str):
        super().__init__()
        self.daemon = daemon

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        event: Event | None = getattr(record, "event", None)
        entry: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "daemon": self.daemon,
        }
        if event is not None:
            entry.update(code=event.code, event=event.name)
        entry["message"] = clean("message", record.getMessage())
        if event is not None:
            entry["fields"] = record.event_fields
        if record.exc_info:
            entry["exception"] = clean("exception", self.formatException(record.exc_info))
        return json.dumps(entry, ensure_ascii=False, default=str)


def configure_logging(level: str, daemon: str, stream: TextIO, strict: bool = False) -> None:
    """Send all log records to a stream, one JSON object a line.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    daemon : str
        Name in every line.
    stream : file object
        Where the lines go.
    strict : bool
        Whether unknown or missing fields of events raise.
    """
    EVENT_LOG.strict = strict
    if not flags.FLAGS.is_parsed():
        # absl sends everything to stderr until its own flags are parsed; they are not used here.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.setStream(stream)
    handler.setFormatter(JsonFormatter(daemon))
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold("fatal")
    handler.removeFilter(hide_libraries)
    if level != "debug":
        handler.addFilter(hide_libraries)


def hide_libraries(record: std_logging.LogRecord) -> bool:
    """Return whether a record is no library's own; blacksheep sets its logger's level itself."""
    return record.name.split(".")[0] not in LIBRARIES


def log_event(event: Event, **fields: Any) -> None:
    """Log an event.

    Raises
    ------
    EventFieldError
        If fields are unknown or missing and the log is strict.
    """
    problem = event.check(fields.keys())
    if problem and EVENT_LOG.strict:
        raise EventFieldError(problem)
    if not problem:
        for listener in EVENT_LOG.listeners:
            listener(event, fields)
    values = {name: clean(name, value) for name, value in fields.items()}
    message = event.template if problem else render(event, values)
    if problem:
        values["field_problem"] = problem
    logging.log(LEVELS[event.level], "%s", message, extra={"event": event, "event_fields": values})


def render(event: Event, values: dict[str, Any]) -> str:
    """Return the message; a value of the wrong type must not fail the caller."""
    try:
        return event.template.format_map(values)
    except (ValueError, TypeError):
        return event.template


def clean(name: str, value: Any) -> Any:
    """Return a value without secrets and with bounded length."""
    if is_secret_name(name):
        return REDACTED
    if isinstance(value, bool | int | float) or value is None:
        return value
    text = redact(str(value))
    return text if len(text) <= MAX_TEXT else text[:MAX_TEXT] + "..."
