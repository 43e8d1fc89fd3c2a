"""Versioned objects in memory, with conditional updates and a bounded history."""

from collections import deque

import attrs

__all__ = ["Event", "HistoryExpired", "NotFound", "Object", "PreconditionFailed", "Store"]


class NotFound(LookupError):
    """No object has this kind and name."""


class PreconditionFailed(Exception):
    """A precondition of a write does not hold."""


class HistoryExpired(Exception):
    """The events after the requested revision are not kept."""


@attrs.frozen
class Object:
    """One stored object.

    Attributes
    ----------
    name : str
        Name of the object, unique in its kind.
    version : int
        Number of changes of this kind and name, including deletions.
    revision : int
        Revision of the store at the last change of the object.
    value : bytes
        Content of the object.
    """

    name: str
    version: int
    revision: int
    value: bytes


@attrs.frozen
class Event:
    """One change of an object.

    Attributes
    ----------
    type : str
        ``put`` or ``delete``.
    kind, name : str
        Kind and name of the object.
    version : int
        Version of the object after the change.
    revision : int
        Revision of the store after the change.
    value : bytes or None
        New content, None for a deletion.
    """

    type: str
    kind: str
    name: str
    version: int
    revision: int
    value: bytes | None


class Store:
    """The objects, and the events of their latest changes.

    Parameters
    ----------
    history : int
        Number of events that are kept for watches.

    Attributes
    ----------
    revision : int
        Number of changes of the store.
    compacted_revision : int
        Revision up to which events are discarded.
    last_versions : dict of (str, str) to int
        Latest version by kind and name, also of deleted objects.
    """

    def __init__(self, history=10_000):
        self.history = history
        self.revision = 0
        self.compacted_revision = 0
        self.objects = {}
        self.events = deque()
        # Versions continue after a deletion, so that an old ETag never matches a new object.
        self.last_versions = {}

    def get(self, kind, name):
        """Return an object; raise `NotFound` if it is missing."""
        try:
            return self.objects[kind, name]
        except KeyError:
            raise NotFound(f"no object {kind}/{name}") from None

    def list(self, kind):
        """Return all objects of a kind, sorted by name."""
        found = [item for (item_kind, _), item in self.objects.items() if item_kind == kind]
        return sorted(found, key=lambda item: item.name)

    def check_preconditions(self, kind, name, if_match, create_only):
        """Raise `PreconditionFailed` unless the preconditions of a write hold; see `put`."""
        found = self.objects.get((kind, name))
        if create_only and found is not None:
            raise PreconditionFailed(f"{kind}/{name} exists in version {found.version}")
        if if_match is None:
            return
        if found is None:
            raise PreconditionFailed(f"{kind}/{name} does not exist")
        if if_match not in ("*", found.version):
            raise PreconditionFailed(f"{kind}/{name} is in version {found.version}")

    def put(self, kind, name, value, if_match=None, create_only=False):
        """Create or replace an object.

        Parameters
        ----------
        if_match : int or "*", optional
            Version that must be current; "*" means any.
        only_new : bool
            Whether the object must not exist yet.

        Raises
        ------
        PreconditionFailed
            If a precondition does not hold; nothing is changed then.
        """
        self.check_preconditions(kind, name, if_match, create_only)
        event = self.add_event("put", kind, name, value)
        stored = Object(name, event.version, event.revision, value)
        self.objects[kind, name] = stored
        return stored

    def delete(self, kind, name, if_match=None):
        """Delete an object and return its event.

        Raises
        ------
        NotFound
            If the object is missing and `if_match` is None.
        PreconditionFailed
            If the object is missing or not in the version `if_match`.
        """
        if if_match is None:
            self.get(kind, name)
        self.check_preconditions(kind, name, if_match, create_only=False)
        del self.objects[kind, name]
        return self.add_event("delete", kind, name, None)

    def add_event(self, event_type, kind, name, value):
        """Assign a change its version and revision, and store its event."""
        self.revision += 1
        version = self.last_versions.get((kind, name), 0) + 1
        self.last_versions[kind, name] = version
        event = Event(event_type, kind, name, version, self.revision, value)
        self.events.append(event)
        while len(self.events) > self.history:
            self.compacted_revision = self.events.popleft().revision
        return event

    def events_since(self, kind, since):
        """Return the events of a kind after the revision `since`.

        Raises
        ------
        HistoryGone
            If `since` is older than the kept history, or above the current revision.
        """
        if since < self.compacted_revision or since > self.revision:
            raise HistoryExpired(
                f"history is kept from revision {self.compacted_revision} to {self.revision}"
            )
        return [event for event in self.events if event.kind == kind and event.revision > since]

    def discard_history(self):
        """Discard all events."""
        self.events.clear()
        self.compacted_revision = self.revision
