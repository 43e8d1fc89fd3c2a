"""Structured logging through absl: each event is one JSON object on one line."""

import json
import logging as std_logging
from collections.abc import Callable
from typing import Any, TextIO

from absl import flags, logging

from turmericreach.telemetry.event import Event, EventFieldError
from turmericreach.telemetry.redaction import REDACTED, is_secret_name, redact

__all__ = ["JsonFormatter", "configure_logging", "log_event"]

# Longest text of a value, in characters. Keeps lines well below the length at which log
# collectors truncate them.
MAX_TEXT_CHARS = 2000

# Loggers whose records are shown only at level debug. Their records carry no event code and
# duplicate events; a streamed response that was interrupted on purpose would appear with a
# traceback.
HIDDEN_LIBRARIES = ("uvicorn", "blacksheep")

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventLog:
    """State of event logging in this process.

    Attributes
    ----------
    strict : bool
        Whether unknown or missing fields raise `EventFieldError`. Daemons turn this off: they log
        the event together with the problem, so that an incorrect log call cannot fail a request.
    listeners : list of callable
        Called with each event that has valid fields, and its fields by name.
    count_dropped_lines : callable
        Returns the number of log lines that the output has dropped since the process started.
    """

    def __init__(self):
        self.strict = True
        self.listeners: list[Callable[[Event, dict[str, Any]], None]] = []
        self.count_dropped_lines: Callable[[], int] = lambda: 0


EVENT_LOG = EventLog()


class JsonFormatter(std_logging.Formatter):
    """Formats a log record as one JSON object on one line.

    Parameters
    ----------
    daemon : str
        Name of the process, added to every line.
    """

    def __init__(self, daemon: str):
        super().__init__()
        self.daemon = daemon

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON line for a record."""
        event: Event | None = getattr(record, "event", None)
        entry: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "daemon": self.daemon,
        }
        if event is not None:
            entry.update(code=event.code, event=event.name)
        entry["message"] = sanitize_value("message", record.getMessage())
        if event is not None:
            entry["fields"] = record.event_fields
        if record.exc_info:
            entry["exception"] = sanitize_value("exception", self.formatException(record.exc_info))
        return json.dumps(entry, ensure_ascii=False, default=str)


def configure_logging(level: str, daemon: str, stream: TextIO, strict: bool = False) -> None:
    """Write all log records to a stream, one JSON object per line.

    Parameters
    ----------
    level : str
        Lowest level to log: ``debug``, ``info``, ``warning`` or ``error``.
    daemon : str
        Name of the process, added to every line.
    stream : file object
        Text stream that the lines are written to.
    strict : bool
        Whether events with unknown or missing fields raise `EventFieldError`.
    """
    EVENT_LOG.strict = strict
    if not flags.FLAGS.is_parsed():
        # absl logs to stderr until its command-line flags are parsed, which are not used here.
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.setStream(stream)
    handler.setFormatter(JsonFormatter(daemon))
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold("fatal")
    handler.removeFilter(exclude_libraries)
    if level != "debug":
        handler.addFilter(exclude_libraries)


def exclude_libraries(record: std_logging.LogRecord) -> bool:
    """Log filter: return whether a record is from none of `HIDDEN_LIBRARIES`.

    A filter is used since blacksheep sets the level of its own logger.
    """
    return record.name.split(".")[0] not in HIDDEN_LIBRARIES


def log_event(event: Event, **fields: Any) -> None:
    """Log an event and pass it to the listeners.

    Raises
    ------
    EventFieldError
        If fields are unknown or missing and the event log is strict.
    """
    problem = event.check(fields.keys())
    if problem and EVENT_LOG.strict:
        raise EventFieldError(problem)
    if not problem:
        for listener in EVENT_LOG.listeners:
            listener(event, fields)
    values = {name: sanitize_value(name, value) for name, value in fields.items()}
    message = event.template if problem else format_message(event, values)
    if problem:
        values["field_problem"] = problem
    logging.log(LEVELS[event.level], "%s", message, extra={"event": event, "event_fields": values})


def format_message(event: Event, values: dict[str, Any]) -> str:
    """Return the message; if a value has the wrong type, return the template instead of failing."""
    try:
        return event.template.format_map(values)
    except (ValueError, TypeError):
        return event.template


def sanitize_value(name: str, value: Any) -> Any:
    """Return a value with secrets redacted and texts truncated to `MAX_TEXT_CHARS`."""
    if is_secret_name(name):
        return REDACTED
    if isinstance(value, bool | int | float) or value is None:
        return value
    text = redact(str(value))
    return text if len(text) <= MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "..."
