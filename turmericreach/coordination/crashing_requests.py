"""Exchange of the evidence against requests that end targets, and its copy in the store."""

import asyncio
import time
from collections.abc import Sequence

from turmericreach.coordination.messages import CrashingRequest
from turmericreach.coordination.names import CRASHING_PREFIX, OWN_KIND
from turmericreach.coordination.peers import PeerTable
from turmericreach.metadata import Conflict, MetadataClient, MetadataError, StoredObject
from turmericreach.sharing import CrashTable
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["CrashingRequests"]

CHECK_INTERVAL_S = 0.5
# Bound on the objects in the store; a request beyond it is known only to the running processes.
MAX_STORED = 500
MS_PER_S = 1000
# Stands for a request that no target has completed, since JSON has no infinity.
NEVER_S = 1e9


class CrashingRequests:
    """Shares the evidence against requests, and keeps those that are rejected in the store.

    Processes learn of each other's evidence with the pings between them and the hub, also while the
    store is unavailable. The store keeps what all of them would forget if they ended together.

    Attributes
    ----------
    table : CrashTable
        Evidence known to this process.
    stored : dict of str to StoredObject
        Objects in the store by fingerprint.
    reported : set of str
        Fingerprints of requests whose rejection was logged.
    """

    def __init__(self, table: CrashTable, peers: PeerTable, client: MetadataClient):
        self.table = table
        self.peers = peers
        self.client = client
        self.stored: dict[str, StoredObject] = {}
        self.reported: set[str] = set()

    # Exchange with other processes

    def state_after(self, revision: int, observed_only: bool) -> list[CrashingRequest]:
        """Return what became known after a revision of the shared tables."""
        now = asyncio.get_running_loop().time()
        found = []
        for fingerprint, record in self.table.changes_after(revision, observed_only).items():
            found.append(
                CrashingRequest(
                    fingerprint,
                    sorted(record.targets),
                    now - record.last_at,
                    min(now - record.cleared_at, NEVER_S),
                )
            )
        return found

    def merge(self, requests: Sequence[CrashingRequest]) -> None:
        """Apply what another process knows."""
        now = asyncio.get_running_loop().time()
        for request in requests:
            self.table.merge(
                request.fingerprint,
                request.targets,
                now - request.last_s,
                now - request.cleared_s if request.cleared_s < NEVER_S else float("-inf"),
                now,
            )

    # Metadata store

    def object_changed(self, object: StoredObject) -> None:
        """Apply a request in the store, which some process has found to end targets."""
        fingerprint = object.name[len(CRASHING_PREFIX) :]
        self.stored[fingerprint] = object
        spec = object.spec if isinstance(object.spec, dict) else {}
        targets, at_ms = spec.get("targets"), spec.get("lastMs")
        if not isinstance(targets, list) or not isinstance(at_ms, int):
            log_event(
                events.STORE_OBJECT_UNREADABLE, kind=object.kind, problem=f"{object.name}: fields"
            )
            return
        now = asyncio.get_running_loop().time()
        age_s = max(time.time() - at_ms / MS_PER_S, 0.0)
        self.table.merge(
            fingerprint, [str(target) for target in targets], now - age_s, float("-inf"), now
        )

    def object_removed(self, object: StoredObject) -> None:
        """Remove a request that is no longer in the store."""
        self.stored.pop(object.name[len(CRASHING_PREFIX) :], None)

    async def run(self) -> None:
        """Log requests that are rejected from now on and keep the store in line, until cancelled.

        Only the hub writes, so that each request is written once.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            rejected = set(self.table.rejected(now))
            for fingerprint in rejected - self.reported:
                targets = sorted(self.table.records[fingerprint].targets)
                log_event(
                    events.REQUEST_BARRED, fingerprint=fingerprint, targets=", ".join(targets)
                )
            self.reported = rejected
            if self.peers.hub == self.peers.host and self.client.responded_recently():
                await self.update_store(rejected, now)

    async def update_store(self, rejected: set[str], now: float) -> None:
        """Write requests that are missing in the store, and remove those that have expired."""
        try:
            for fingerprint in rejected - self.stored.keys():
                if len(self.stored) >= MAX_STORED:
                    break
                await self.write(fingerprint, now)
            for fingerprint in self.stored.keys() - rejected:
                stored = self.stored[fingerprint]
                await self.client.delete(OWN_KIND, stored.name)
                self.stored.pop(fingerprint, None)
        except MetadataError:
            # The next check retries; the client logs that the store is unavailable.
            return

    async def write(self, fingerprint: str, now: float) -> None:
        """Write a rejected request to the store."""
        record = self.table.records[fingerprint]
        last_ms = int((time.time() - (now - record.last_at)) * MS_PER_S)
        spec = {"targets": sorted(record.targets), "lastMs": last_ms}
        try:
            self.stored[fingerprint] = await self.client.create(
                OWN_KIND, CRASHING_PREFIX + fingerprint, spec, now
            )
        except Conflict as conflict:
            if conflict.current is not None:
                self.object_changed(conflict.current)
