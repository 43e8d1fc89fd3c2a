"""The configuration in force at this process."""

from collections.abc import Callable

from turmericreach.metadata import StoredObject
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.documents import decode_configuration
from turmericreach.platform.store import CONFIGURATION_NAME
from turmericreach.services import Configuration
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Keeps the highest version seen; one that cannot be read leaves the former in force.

    Attributes
    ----------
    current : Configuration or None
        What is in force.
    on_change : callable or None
        Called after each change.
    """

    def __init__(self):
        self.current: Configuration | None = None
        self.on_change: Callable[[], None] | None = None

    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self.current is None else self.current.version

    def object_changed(self, object: StoredObject) -> None:
        """Take a configuration."""
        if object.name != CONFIGURATION_NAME:
            return
        try:
            configuration = decode_configuration(object.spec)
        except DecodeError as error:
            log_event(events.CONFIGURATION_UNREADABLE, revision=object.revision, problem=str(error))
            return
        former = self.version()
        if configuration.version <= former:
            return
        self.current = configuration
        log_event(
            events.CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            revision=object.revision,
            former=former,
        )
        if self.on_change is not None:
            self.on_change()

    def object_removed(self, object: StoredObject) -> None:
        """Keep what is in force; a configuration is replaced, never withdrawn."""
