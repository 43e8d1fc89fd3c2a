"""Differences between two manifests."""

from typing import Any

import attrs

from turmericreach.manifest.schema import Manifest

__all__ = ["Change", "diff_manifests"]


@attrs.frozen
class Change:
    """One difference between two manifests.

    Attributes
    ----------
    path : str
        Key path; entries of named lists are addressed by name, as in ``targets[t1].slots``.
    old, new : object
        Values before and after; None if the path is missing on that side.
    """

    path: str
    old: Any
    new: Any


def diff_manifests(old: Manifest | None, new: Manifest | None) -> list[Change]:
    """Return the differences from one manifest to another, in the order of the schema.

    Entries of named lists are matched by name, so a different order is not a difference. A missing
    manifest counts as empty.
    """
    changes: list[Change] = []
    add_differences("", to_plain(old), to_plain(new), changes)
    return changes


def to_plain(manifest: Manifest | None) -> dict[str, Any]:
    """Return a manifest as nested dicts and lists, empty for a missing manifest."""
    return {} if manifest is None else attrs.asdict(manifest)


def add_differences(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    """Append the differences between two plain values to a list of changes."""
    if old == new:
        return
    old_items, new_items = named_items(old), named_items(new)
    if old_items is None or new_items is None:
        changes.append(Change(path, old, new))
        return
    for key in list(old_items) + [key for key in new_items if key not in old_items]:
        add_differences(join_path(path, key, new), old_items.get(key), new_items.get(key), changes)


def named_items(value: Any) -> dict[str, Any] | None:
    """Return the items of a mapping or of a list of named entries by key, None for other values."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    if not all(isinstance(entry, dict) and "name" in entry for entry in value):
        return None
    return {entry["name"]: entry for entry in value}


def join_path(path: str, key: str, container: Any) -> str:
    """Return the path of an item of a list or of a mapping."""
    if isinstance(container, list):
        return f"{path}[{key}]"
    return f"{path}.{key}" if path else key
