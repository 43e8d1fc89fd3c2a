"""Requests to retire hosts."""

import asyncio

from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.metadata import MetadataClient, MetadataError, StoredObject
from turmericreach.platform import documents, store
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Retirements"]

CHECK_INTERVAL_S = 0.25
# Pause after a failed write to the metadata store.
RETRY_PAUSE_S = 0.3


class Retirements:
    """Confirms requests to retire hosts.

    turmericreach stores no durable data on the disk of a host, so a host may be removed at once and
    each request is confirmed without further checks.

    Attributes
    ----------
    duty : CoordinatorDuty
        Duty to coordinate; only its holder confirms requests.
    client : MetadataClient
        Client of the metadata store.
    pending : dict of str to StoredObject
        Requests that have not been confirmed, by name of the host.
    """

    def __init__(self, duty: CoordinatorDuty, client: MetadataClient):
        self.duty = duty
        self.client = client
        self.pending: dict[str, StoredObject] = {}

    def object_changed(self, object: StoredObject) -> None:
        """Record a request to retire a host, or remove it if it has been confirmed."""
        if documents.decode_retirement(object).done:
            self.pending.pop(object.name, None)
        else:
            self.pending[object.name] = object

    def object_removed(self, object: StoredObject) -> None:
        """Remove a request that was withdrawn."""
        self.pending.pop(object.name, None)

    async def run(self) -> None:
        """Confirm requests while this process holds the coordinator duty, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.duty.token is None:
                continue
            for object in list(self.pending.values()):
                await self.confirm(object)

    async def confirm(self, object: StoredObject) -> None:
        """Write to the metadata store that a host may be removed."""
        now = asyncio.get_running_loop().time()
        try:
            await self.client.set_status(
                store.RETIREMENTS_KIND,
                object.name,
                documents.retirement_completed_status(),
                object.revision,
                now,
            )
        except MetadataError:
            # The next check retries with the newest revision of the object.
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self.pending.pop(object.name, None)
        log_event(events.HOST_RETIRED, retired=object.name)
