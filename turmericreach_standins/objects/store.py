"""Versioned objects in memory, with conditional updates and a bounded history."""

from collections import deque

import attrs

__all__ = ["Event", "HistoryGone", "NotFound", "Object", "PreconditionFailed", "Store"]


class NotFound(LookupError):
    """There is no object of this kind and name."""


class PreconditionFailed(Exception):
    """The object is not in the version that the caller named."""


class HistoryGone(Exception):
    """The events after the named revision are no longer kept."""


@attrs.frozen
class Object:
    """One stored object; `revision` is the store's revision of its last change."""

    name: str
    version: int
    revision: int
    value: bytes


@attrs.frozen
class Event:
    """One change of an object; `value` is None for a delete."""

    type: str
    kind: str
    name: str
    version: int
    revision: int
    value: bytes | None


class Store:
    """All objects, and the events of their last changes.

    Parameters
    ----------
    history : int
        Number of events that are kept for watches.
    """

    def __init__(self, history=10_000):
        self.history = history
        self.revision = 0
        self.floor = 0
        self.objects = {}
        self.events = deque()
        # Versions go on after a delete, so that an old ETag never matches a new object.
        self.last_versions = {}

    def get(self, kind, name):
        """Return the object, or raise `NotFound`."""
        try:
            return self.objects[kind, name]
        except KeyError:
            raise NotFound(f"no object {kind}/{name}") from None

    def list(self, kind):
        """Return all objects of a kind, sorted by name."""
        found = [item for (its_kind, _), item in self.objects.items() if its_kind == kind]
        return sorted(found, key=lambda item: item.name)

    def check(self, kind, name, if_match, only_new):
        """Raise `PreconditionFailed` unless the preconditions hold."""
        found = self.objects.get((kind, name))
        if only_new and found is not None:
            raise PreconditionFailed(f"{kind}/{name} exists in version {found.version}")
        if if_match is None:
            return
        if found is None:
            raise PreconditionFailed(f"{kind}/{name} does not exist")
        if if_match not in ("*", found.version):
            raise PreconditionFailed(f"{kind}/{name} is in version {found.version}")

    def put(self, kind, name, value, if_match=None, only_new=False):
        """Create or replace an object.

        Parameters
        ----------
        if_match : int or "*", optional
            Version that must be current; "*" means any.
        only_new : bool
            Whether the object must not exist.

        Raises
        ------
        PreconditionFailed
            If a condition does not hold; nothing is changed.
        """
        self.check(kind, name, if_match, only_new)
        event = self.add_event("put", kind, name, value)
        stored = Object(name, event.version, event.revision, value)
        self.objects[kind, name] = stored
        return stored

    def delete(self, kind, name, if_match=None):
        """Delete an object; raises `NotFound` or `PreconditionFailed`."""
        if if_match is None:
            self.get(kind, name)
        self.check(kind, name, if_match, only_new=False)
        del self.objects[kind, name]
        return self.add_event("delete", kind, name, None)

    def add_event(self, change, kind, name, value):
        """Give a change its numbers and keep its event."""
        self.revision += 1
        version = self.last_versions.get((kind, name), 0) + 1
        self.last_versions[kind, name] = version
        event = Event(change, kind, name, version, self.revision, value)
        self.events.append(event)
        while len(self.events) > self.history:
            self.floor = self.events.popleft().revision
        return event

    def events_since(self, kind, since):
        """Return the events of a kind after the revision `since`.

        Raises
        ------
        HistoryGone
            If `since` is older than the kept history, or newer than the store itself.
        """
        if since < self.floor or since > self.revision:
            raise HistoryGone(f"history is kept from revision {self.floor} to {self.revision}")
        return [event for event in self.events if event.kind == kind and event.revision > since]

    def drop_history(self):
        """Forget all events."""
        self.events.clear()
        self.floor = self.revision
