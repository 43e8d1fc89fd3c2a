"""The stored division of the engines among the models."""

from collections.abc import Mapping
from typing import Any

import attrs

from turmericreach.metadata import StoredObject
from turmericreach.platform.decoding import DecodeError, Fields

__all__ = ["Division", "decode_division"]


@attrs.frozen
class Division:
    """Which model each engine serves.

    Attributes
    ----------
    engines : dict of str to str
        Model of each engine, by engine id.
    reserved : frozenset of str
        Engines at which only items of their model start, while other models wait for a turn.
    """

    engines: Mapping[str, str] = attrs.field(factory=dict)
    reserved: frozenset[str] = frozenset()

    def spec(self) -> dict[str, Any]:
        """Return the spec to store."""
        spec: dict[str, Any] = {"engines": dict(self.engines)}
        if self.reserved:
            spec["reserved"] = sorted(self.reserved)
        return spec


def decode_division(object: StoredObject) -> Division:
    """Return a stored division.

    Raises
    ------
    DecodeError
        If another writer has stored something else under its name.
    """
    fields = Fields(object.spec, object.name)
    engines = fields.object("engines")
    reserved = fields.list("reserved", [])
    if not all(isinstance(engine, str) for engine in reserved):
        raise DecodeError(f"{object.name}: reserved: expected texts")
    return Division({name: engines.text(name) for name in engines.value}, frozenset(reserved))
