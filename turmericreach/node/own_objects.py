"""Dispatch of the changes of turmericreach's own small objects in the metadata store."""

from collections.abc import Callable, Mapping

from turmericreach.metadata import StoredObject

__all__ = ["ObjectHandler", "OwnObjects"]

ObjectHandler = Callable[[StoredObject], None]


class OwnObjects:
    """Passes each change to the component that follows the object, by the object's name.

    Parameters
    ----------
    changed, removed : dict of str to callable
        What applies a changed object or a removal, by the prefix of the object's name. Objects that
        are never removed need no entry in `removed`.
    """

    def __init__(self, changed: Mapping[str, ObjectHandler], removed: Mapping[str, ObjectHandler]):
        self.changed = changed
        self.removed = removed

    def object_changed(self, object: StoredObject) -> None:
        """Pass on a changed object."""
        dispatch(self.changed, object)

    def object_removed(self, object: StoredObject) -> None:
        """Pass on the removal of an object."""
        dispatch(self.removed, object)


def dispatch(handlers: Mapping[str, ObjectHandler], object: StoredObject) -> None:
    """Call the handler for the name of an object, if there is one."""
    for prefix, handler in handlers.items():
        if object.name.startswith(prefix):
            handler(object)
            return
