"""The configuration that this process applies."""

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
    """Holds the configuration with the highest version received.

    A configuration that cannot be decoded is logged and leaves the previous one in force.

    Attributes
    ----------
    current : Configuration or None
        The configuration in force; None until the first one arrives.
    on_change : callable or None
        Called without arguments after each change.
    """

    def __init__(self):
        self.current: Configuration | None = None
        self.on_change: Callable[[], None] | None = None

    def version(self) -> int:
        """Return the version in force, or 0 if there is none yet."""
        return 0 if self.current is None else self.current.version

    def object_changed(self, object: StoredObject) -> None:
        """Apply a configuration object if its version is higher than the one in force."""
        if object.name != CONFIGURATION_NAME:
            return
        try:
            configuration = decode_configuration(object.spec)
        except DecodeError as error:
            log_event(events.CONFIGURATION_UNREADABLE, revision=object.revision, problem=str(error))
            return
        previous = self.version()
        if configuration.version <= previous:
            return
        self.current = configuration
        log_event(
            events.CONFIGURATION_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            revision=object.revision,
            former=previous,
        )
        if self.on_change is not None:
            self.on_change()

    def object_removed(self, object: StoredObject) -> None:
        """Ignore the removal: a configuration is only ever replaced, never withdrawn."""
