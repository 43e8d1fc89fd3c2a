"""The software versions that the targets of each service have had, as kept in the store."""

import asyncio
import time
from typing import Any

from turmericreach.coordination.names import OWN_KIND, SOFTWARE_PREFIX
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.services import TargetDirectory
from turmericreach.sharing import LISTED, SoftwareHistory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["SoftwareRecords"]

CHECK_INTERVAL_S = 0.3
# When all processes start together, the store is busy with their registrations.
START_DELAY_S = 2.0
MS_PER_S = 1000


class SoftwareRecords:
    """Keeps the history of the targets' software in line with the directory and the store.

    The store holds one small object for each service, written by the coordinator when a software
    appears, disappears, or is forgotten. With it a process that has just started knows whether a
    stream that nobody remembers can have begun at one software only.

    Attributes
    ----------
    history : SoftwareHistory
        Software known to this process.
    stored : dict of str to StoredObject
        Objects in the store, by service.
    """

    def __init__(
        self,
        history: SoftwareHistory,
        directory: TargetDirectory,
        peers: PeerTable,
        client: MetadataClient,
    ):
        self.history = history
        self.directory = directory
        self.peers = peers
        self.client = client
        self.stored: dict[str, StoredObject] = {}

    def object_changed(self, object: StoredObject) -> None:
        """Apply the stored history of a service."""
        service = object.name[len(SOFTWARE_PREFIX) :]
        self.stored[service] = object
        last_listed_ms = stored_times(object)
        if last_listed_ms is None:
            log_event(
                events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=f"{object.name}: fields"
            )
            self.history.forget(service)
            return
        # The wall clock of the writer may be ahead of this one.
        now, wall_ms = asyncio.get_running_loop().time(), time.time() * MS_PER_S
        earlier = {}
        for software, last_ms in last_listed_ms.items():
            if last_ms is None:
                earlier[software] = LISTED
            else:
                earlier[software] = now - max(wall_ms - last_ms, 0.0) / MS_PER_S
        self.history.merge(service, earlier)

    def object_removed(self, object: StoredObject) -> None:
        """Forget the stored history of a service."""
        service = object.name[len(SOFTWARE_PREFIX) :]
        self.stored.pop(service, None)
        self.history.forget(service)

    async def run(self) -> None:
        """Follow the directory, and write changes while this process is the coordinator."""
        await asyncio.sleep(START_DELAY_S)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            listed: dict[str, set[str]] = {}
            for target in self.directory.targets.values():
                listed.setdefault(target.record.service, set()).add(target.record.software)
            self.history.observe(listed, asyncio.get_running_loop().time())
            if self.peers.coordinator == self.peers.host and self.client.responded_recently():
                await self.update_store()

    async def update_store(self) -> None:
        """Write the history of each service that differs from the stored one."""
        try:
            for service, history in list(self.history.last_listed.items()):
                stored = self.stored.get(service)
                times = stored_times(stored) if stored is not None else None
                if times is None or not is_same_history(history, times):
                    await self.write(service, stored, history)
        except MetadataError:
            # The next check retries; the client logs that the store is unavailable.
            return

    async def write(
        self, service: str, stored: StoredObject | None, history: dict[str, float]
    ) -> None:
        """Write the history of a service."""
        now, wall_ms = asyncio.get_running_loop().time(), time.time() * MS_PER_S
        times: dict[str, int | None] = {}
        for software, last in history.items():
            times[software] = None if last == LISTED else int(wall_ms - (now - last) * MS_PER_S)
        name, spec = SOFTWARE_PREFIX + service, {"lastListedMs": times}
        try:
            if stored is None:
                written = await self.client.create(OWN_KIND, name, spec)
            else:
                written = await self.client.replace(OWN_KIND, name, spec, stored.revision)
        except Conflict as conflict:
            if conflict.current is not None:
                self.object_changed(conflict.current)
            return
        self.object_changed(written)


def stored_times(object: StoredObject) -> dict[str, int | None] | None:
    """Return the stored times by software, None if the object cannot be read."""
    spec: Any = object.spec if isinstance(object.spec, dict) else {}
    times = spec.get("lastListedMs")
    if not isinstance(times, dict):
        return None
    if not all(last is None or isinstance(last, int) for last in times.values()):
        return None
    return times


def is_same_history(history: dict[str, float], times: dict[str, int | None]) -> bool:
    """Return whether a stored history names the same software, listed or not."""
    listed = {software for software, last in history.items() if last == LISTED}
    stored_listed = {software for software, last_ms in times.items() if last_ms is None}
    return history.keys() == times.keys() and listed == stored_listed
