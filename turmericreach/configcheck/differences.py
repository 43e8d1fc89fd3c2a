"""What differs between two configurations."""

from collections.abc import Mapping
from typing import Any

import attrs

from turmericreach.services import Configuration

__all__ = ["Difference", "compare"]


@attrs.frozen
class Difference:
    """One difference between two configurations.

    Attributes
    ----------
    entry : str
        The entry concerned.
    change : str
        ``added``, ``removed`` or ``changed``.
    detail : str
        What is new; of keys only their numbers.
    affected : str
        Who is affected.
    """

    entry: str
    change: str
    detail: str = ""
    affected: str = ""


def compare(
    old: Configuration,
    new: Configuration,
    old_keys: Mapping[str, frozenset[str]],
    new_keys: Mapping[str, frozenset[str]],
) -> list[Difference]:
    """Return what differs, first the routes, then the services, the limits and the tenants.

    Parameters
    ----------
    old_keys, new_keys : dict of str to frozenset of str
        Keys of each tenant. A table of tenants holds only digests, which differ in each process.
    """
    found = compare_named(
        "route",
        {route.name: route for route in old.routes},
        {route.name: route for route in new.routes},
        lambda route: f"callers of {route.host}{route.path_prefix}",
    )
    found += compare_named("service", old.services, new.services, lambda service: "")
    found += fields_changed("limits", old.limits, new.limits, "all callers")
    found += compare_keys(old_keys, new_keys)
    if new.version <= old.version:
        detail = f"{new.version} is not above {old.version}, so gateways ignore it"
        found.append(Difference("version", "changed", detail, "everybody"))
    return found


def compare_named(kind: str, old: Mapping, new: Mapping, affected) -> list[Difference]:
    """Return the entries of a kind that were added, removed or changed, by name."""
    found = []
    for name in sorted(old.keys() | new.keys()):
        entry = f"{kind} {name}"
        if name not in new:
            found.append(Difference(entry, "removed", "", affected(old[name])))
        elif name not in old:
            found.append(Difference(entry, "added", "", affected(new[name])))
        else:
            found += fields_changed(entry, old[name], new[name], affected(new[name]))
    return found


def fields_changed(entry: str, old: Any, new: Any, affected: str) -> list[Difference]:
    """Return one difference with all fields that have changed, none if there are none."""
    changed = []
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            changed.append(f"{field.name}: {before} to {after}")
    return [Difference(entry, "changed", "; ".join(changed), affected)] if changed else []


def compare_keys(
    old: Mapping[str, frozenset[str]], new: Mapping[str, frozenset[str]]
) -> list[Difference]:
    """Return the tenants that were added or removed, or whose keys have changed."""
    found = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name, frozenset()), new.get(name, frozenset())
        change = "changed"
        if name not in old:
            change = "added"
        elif name not in new:
            change = "removed"
        elif before == after:
            continue
        detail = f"{len(after - before)} keys added, {len(before - after)} removed"
        found.append(Difference(f"tenant {name}", change, detail, "callers with these keys"))
    return found
