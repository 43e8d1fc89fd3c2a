"""Updates of the target directory from the entries in the metadata store."""

import asyncio

from turmericreach.metadata import MetadataClient, StoredObject
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.documents import decode_target
from turmericreach.services import TargetDirectory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["TargetWatch"]

# Entries that expire while the store is unavailable are registered again within about this time
# after it is available again.
RELISTING_GRACE_S = 2.2


class TargetWatch:
    """Keeps the directory of targets in line with the metadata store.

    Attributes
    ----------
    removal_timers : dict of str to asyncio.TimerHandle
        Pending removals of targets whose entries are missing, by target.
    """

    def __init__(self, directory: TargetDirectory, client: MetadataClient):
        self.directory = directory
        self.client = client
        self.removal_timers: dict[str, asyncio.TimerHandle] = {}

    def object_changed(self, object: StoredObject) -> None:
        """Add or update the target of an entry; an entry that cannot be decoded removes it."""
        timer = self.removal_timers.pop(object.name, None)
        if timer is not None:
            timer.cancel()
        try:
            record = decode_target(object)
        except DecodeError as error:
            problem = f"{object.name}: {error}"
            log_event(events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=problem)
            self.directory.remove(object.name, "entry cannot be decoded")
            return
        self.directory.update(record)

    def object_removed(self, object: StoredObject) -> None:
        """Remove a target, after a grace period if the store has just become available again.

        Targets that leave are removed at once.
        """
        loop = asyncio.get_running_loop()
        wait_s = self.client.recovered_at + RELISTING_GRACE_S - loop.time()
        target = self.directory.targets.get(object.name)
        if wait_s <= 0 or target is None or self.directory.is_leaving(target):
            self.directory.remove(object.name, "entry removed")
            return
        log_event(events.TARGET_KEPT_WHILE_MISSING, target=object.name, seconds=wait_s)
        self.removal_timers[object.name] = loop.call_later(wait_s, self.expire_target, object.name)

    def expire_target(self, name: str) -> None:
        """Remove a target whose entry was not registered again within the grace period."""
        self.removal_timers.pop(name, None)
        self.directory.remove(name, "entry was not registered again")
