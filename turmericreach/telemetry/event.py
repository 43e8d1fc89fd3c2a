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
    """Raised for an event logged with unknown or missing fields."""


@functools.cache
def template_fields(template: str) -> tuple[str, ...]:
    """Return the field names in a message template, in the order of the template."""
    return tuple(name for _, name, _, _ in string.Formatter().parse(template) if name)


@functools.cache
def all_field_names(template: str, extra: tuple[str, ...]) -> frozenset[str]:
    """Return the names of the template's fields and of the extra fields."""
    return frozenset((*template_fields(template), *extra))


@attrs.frozen
class Event:
    """Definition of a log event.

    Attributes
    ----------
    code : str
        Stable code: ``TR`` and four digits. It is never reused for another event.
    name : str
        Stable name in snake case.
    level : Level
        Severity.
    template : str
        Message as a `str.format` template with the field names in braces.
    action : str
        What an operator should do when the event is logged.
    extra : tuple of str
        Names of fields that are logged but do not appear in the message.
    """

    code: str
    name: str
    level: Level
    template: str
    action: str = "None."
    extra: tuple[str, ...] = ()

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of all fields, those of the template first."""
        return (*template_fields(self.template), *self.extra)

    def check(self, names) -> str:
        """Return a description of unknown and missing field names, empty if there are none."""
        if names == all_field_names(self.template, self.extra):
            return ""
        unknown = sorted(set(names) - set(self.fields))
        missing = sorted(set(self.fields) - set(names))
        if not unknown and not missing:
            return ""
        return f"{self.code}: unknown fields {unknown}, missing fields {missing}"


# Section of the event catalogue, by the first two digits of the code.
SECTION_BY_CODE_PREFIX = {
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
    """Return the events by section of the catalogue, ordered by code."""
    groups: dict[str, tuple[Event, ...]] = dict.fromkeys(SECTION_BY_CODE_PREFIX.values(), ())
    for event in sorted(declared, key=lambda event: event.code):
        section = SECTION_BY_CODE_PREFIX[event.code[2:4]]
        groups[section] += (event,)
    return groups
