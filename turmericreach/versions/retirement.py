"""Requests to empty a host."""

import asyncio

from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.metadata import MetadataClient, MetadataError, StoredObject
from turmericreach.platform import documents, store
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["Retirements"]

CHECK_INTERVAL_S = 0.25
RETRY_PAUSE_S = 0.3


class Retirements:
    """Confirms that hosts which are to be emptied hold nothing.

    Nothing of the product lasts on a host's disk, so a host may be removed at once.
    """

    def __init__(self, duty: CoordinatorDuty, client: MetadataClient):
        self.duty = duty
        self.client = client
        self.pending: dict[str, StoredObject] = {}

    def object_changed(self, object: StoredObject) -> None:
        """Take a request to empty a host."""
        if documents.decode_retirement(object).done:
            self.pending.pop(object.name, None)
        else:
            self.pending[object.name] = object

    def object_removed(self, object: StoredObject) -> None:
        """Forget a request that was withdrawn."""
        self.pending.pop(object.name, None)

    async def run(self) -> None:
        """Confirm requests while the duty is held, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.duty.token is None:
                continue
            for object in list(self.pending.values()):
                await self.confirm(object)

    async def confirm(self, object: StoredObject) -> None:
        """Write that a host is empty."""
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
            # Tried again at the next check, with the object as the mirror has it then.
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self.pending.pop(object.name, None)
        log_event(events.HOST_RETIRED, retired=object.name)
