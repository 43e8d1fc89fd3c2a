"""Takes the targets' entries from the store."""

import asyncio

from turmericreach.metadata import MetadataClient, StoredObject
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.documents import decode_target
from turmericreach.services import TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["TargetWatch"]

# Entries that lapse while the store is away are back within about this time of its return.
RETURN_GRACE_S = 2.2


class TargetWatch:
    """Keeps the directory of targets as the store lists them."""

    def __init__(self, directory: TargetDirectory, client: MetadataClient):
        self.directory = directory
        self.client = client
        self.missing: dict[str, asyncio.TimerHandle] = {}

    def object_changed(self, object: StoredObject) -> None:
        """Take an entry; one that cannot be read names no target to use."""
        timer = self.missing.pop(object.name, None)
        if timer is not None:
            timer.cancel()
        try:
            record = decode_target(object)
        except DecodeError as error:
            problem = f"{object.name}: {error}"
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=problem)
            self.directory.remove(object.name, "entry cannot be read")
            return
        self.directory.update(record)

    def object_removed(self, object: StoredObject) -> None:
        """Forget a target, after a grace if the store has just returned."""
        loop = asyncio.get_running_loop()
        wait_s = self.client.recovered_at + RETURN_GRACE_S - loop.time()
        target = self.directory.targets.get(object.name)
        if wait_s <= 0 or target is None or target.record.draining:
            self.directory.remove(object.name, "entry removed")
            return
        log_event(events.TARGET_KEPT_WHILE_MISSING, target=object.name, seconds=wait_s)
        self.missing[object.name] = loop.call_later(wait_s, self.forget, object.name)

    def forget(self, name: str) -> None:
        """Forget a target that did not come back."""
        self.missing.pop(name, None)
        self.directory.remove(name, "entry did not return")
