"""The definition of a numbered log event."""

import enum
import functools
import string

import attrs

from turmericreach.verdicts import TurmericreachError

__all__ = ["Event", "EventFieldError", "Level", "group_events"]


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventFieldError(TurmericreachError):
    """An event logged with unknown or missing fields."""


@functools.cache
def template_fields(template: str) -> tuple[str, ...]:
    """Return the names of the fields of a message template."""
    return tuple(name for _, name, _, _ in string.Formatter().parse(template) if name)


@functools.cache
def name_set(template: str, extra: tuple[str, ...]) -> frozenset[str]:
    """Return the names of all fields as a set."""
    return frozenset((*template_fields(template), *extra))


@attrs.frozen
class Event:
    """A log event.

    Attributes
    ----------
    code : str
        Stable number, ``TR`` and four digits; never used again for another event.
    name : str
        Stable name.
    level : Level
        Severity.
    template : str
        Message with the fields in braces.
    action : str
        What an operator should do.
    extra : tuple of str
        Fields that are logged but are not in the message.
    """

    code: str
    name: str
    level: Level
    template: str
    action: str = "None."
    extra: tuple[str, ...] = ()

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of all fields."""
        return (*template_fields(self.template), *self.extra)

    def check(self, names) -> str:
        """Return what is wrong with a set of field names, or an empty text."""
        if names == name_set(self.template, self.extra):
            return ""
        unknown = sorted(set(names) - set(self.fields))
        missing = sorted(set(self.fields) - set(names))
        if not unknown and not missing:
            return ""
        return f"{self.code}: unknown fields {unknown}, missing fields {missing}"


# Concern of the events whose codes start with these two digits.
CONCERN_OF_PREFIX = {
    "10": "daemon",
    "11": "configuration",
    "12": "membership",
    "13": "targets",
    "14": "attempts",
    "15": "weights",
    "16": "lots",
    "17": "platform",
    "18": "audit",
    "19": "admission",
    "20": "security",
    "21": "process",
    "22": "metadata store",
    "23": "listed targets",
    "24": "requests",
    "25": "batches",
    "26": "orders",
    "27": "hosts",
}


def group_events(declared: list[Event]) -> dict[str, tuple[Event, ...]]:
    """Return events by concern, in the order of their codes."""
    groups: dict[str, tuple[Event, ...]] = dict.fromkeys(CONCERN_OF_PREFIX.values(), ())
    for event in sorted(declared, key=lambda event: event.code):
        concern = CONCERN_OF_PREFIX[event.code[2:4]]
        groups[concern] += (event,)
    return groups
