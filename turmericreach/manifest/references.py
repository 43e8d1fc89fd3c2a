"""Checks of a manifest that its types and limits do not cover.

These are unique names, references between lists, addresses, time zones and opening times.
"""

import zoneinfo
from collections.abc import Iterator
from typing import Any

from turmericreach.documents import CheckedDocument, is_address
from turmericreach.manifest.schema import ServiceKind

__all__ = ["check_references"]

NAMED_LISTS = ("data_centres", "services", "targets", "models", "sites", "trainers")
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def check_references(document: CheckedDocument) -> None:
    """Add problems of names, references, addresses and opening times to a document."""
    for section in NAMED_LISTS:
        check_unique(document, section, "name")
    check_services(document)
    check_targets(document)
    check_sites(document)


def iter_entries(document: CheckedDocument, section: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield path and value of each entry of a top-level list; unreadable entries are skipped."""
    for index, entry in enumerate(document.value.get(section, [])):
        if entry is not None:
            yield f"{section}[{index}]", entry


def entry_names(document: CheckedDocument, section: str) -> set[str]:
    """Return the names of the entries of a top-level list."""
    return {entry["name"] for _, entry in iter_entries(document, section) if "name" in entry}


def check_unique(document: CheckedDocument, section: str, key: str) -> None:
    """Check that no two entries of a list have the same value of a key."""
    first_paths: dict[str, str] = {}
    for path, entry in iter_entries(document, section):
        if key not in entry:
            continue
        earlier = first_paths.setdefault(entry[key], path)
        if earlier != path:
            document.add(f"{path}.{key}", f"duplicate {key} {entry[key]!r}, also at {earlier}")


def check_reference(document, path, entry, key, section) -> None:
    """Check that the value of a key is the name of an entry of another list."""
    if key in entry and entry[key] not in entry_names(document, section):
        document.add(f"{path}.{key}", f"{entry[key]!r} is not among {section}")


def check_services(document: CheckedDocument) -> None:
    """Check model references and path prefixes of services."""
    for path, entry in iter_entries(document, "services"):
        kind, model = entry.get("kind"), entry.get("model", "")
        has_model = f"{path}.model" in document.lines
        if kind == ServiceKind.MODEL and not model and (not has_model or "model" in entry):
            document.add(f"{path}.model", "missing, a service of kind model requires it")
        elif kind == ServiceKind.MODEL and model:
            check_reference(document, path, entry, "model", "models")
        elif kind == ServiceKind.PLAIN and model:
            document.add(f"{path}.model", "expected none for a service of kind plain")
        for index, prefix in enumerate(entry.get("non_idempotent_paths", [])):
            if prefix is not None and not is_path_prefix(prefix):
                key = f"{path}.non_idempotent_paths[{index}]"
                document.add(key, f"expected '/path' or 'METHOD /path', found {prefix!r}")


def check_targets(document: CheckedDocument) -> None:
    """Check references and agent addresses of targets."""
    known_names = {
        section: entry_names(document, section) for section in ("services", "data_centres")
    }
    for path, entry in iter_entries(document, "targets"):
        for key, section in (("service", "services"), ("data_centre", "data_centres")):
            if key in entry and entry[key] not in known_names[section]:
                document.add(f"{path}.{key}", f"{entry[key]!r} is not among {section}")
        if "agent" in entry and not is_address(entry["agent"]):
            document.add(f"{path}.agent", f"expected ip:port, found {entry['agent']!r}")


def check_sites(document: CheckedDocument) -> None:
    """Check time zones, opening times and days of sites."""
    for path, entry in iter_entries(document, "sites"):
        if "time_zone" in entry and not is_time_zone(entry["time_zone"]):
            document.add(
                f"{path}.time_zone", f"expected an IANA time zone, found {entry['time_zone']!r}"
            )
        if "opens" in entry and entry["opens"] == entry.get("closes"):
            document.add(f"{path}.closes", "expected another time than opens")
        days = entry.get("days", DAYS)
        if not days:
            document.add(f"{path}.days", "expected at least one day")
        for index, day in enumerate(days):
            if day is None:
                continue
            if day not in DAYS:
                key = f"{path}.days[{index}]"
                document.add(key, f"expected one of {', '.join(DAYS)}, found {day!r}")
            elif day in days[:index]:
                document.add(f"{path}.days[{index}]", f"duplicate day {day!r}")


def is_path_prefix(text: str) -> bool:
    """Return whether a text is ``/path`` or ``METHOD /path``."""
    method, space, path = text.rpartition(" ")
    return path.startswith("/") and (not space or method in METHODS)


def is_time_zone(name: str) -> bool:
    """Return whether the time zone database has a zone of this name."""
    try:
        zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return False
    return True
