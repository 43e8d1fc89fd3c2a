"""Audit records of accepted configurations."""

import asyncio

import attrs

from turmericreach.audit import GAP_ACTION, AuditLog, AuditRecord
from turmericreach.daemon.duty_watch import CONFIG_AUDIT_DUTY
from turmericreach.daemon.node import Node
from turmericreach.manifest import (
    HISTORY_KIND,
    Revision,
    decode_revision,
    record_revision,
)
from turmericreach.objectstore import ObjectStoreError
from turmericreach.ownership import owner
from turmericreach.telemetry import events, log_event

__all__ = ["ConfigAudit"]

STEP_S = 1.0
# Each gateway remembers a change this long, so that the next holder of the duty writes the record
# if the present one is lost. The record's id comes from the change, so readers see it once.
REMEMBER_S = 60.0
HISTORY_WAIT_S = 10.0


@attrs.define
class Seen:
    """A generation that was put in force or skipped here."""

    generation: int
    seen_at: float
    payload: bytes | None


class ConfigAudit:
    """Writes one audit record for each generation, by the holder of one duty.

    Parameters
    ----------
    node : Node
    audit : AuditLog
    """

    def __init__(self, node: Node, audit: AuditLog):
        self.node = node
        self.audit = audit
        self.waiting: list[Seen] = []
        self.newest = 0

    def note(self, revision) -> None:
        """Remember a generation that was put in force, and those that it skipped."""
        if revision is None:
            return
        now = self.node.now()
        stored = decode_revision(revision.payload)
        first = self.newest == 0
        if first and self.node.wall_clock() - stored.applied_at > REMEMBER_S:
            # It was in force long before this process started, and has its record.
            self.newest = revision.generation
            return
        if not first:
            for generation in range(self.newest + 1, revision.generation):
                self.waiting.append(Seen(generation, now, None))
        self.waiting.append(Seen(revision.generation, now, revision.payload))
        self.newest = max(self.newest, revision.generation)

    async def run(self) -> None:
        """Write what is due once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            await self.step(self.node.now())

    async def step(self, now: float) -> None:
        """Write the records of this duty; as another gateway, forget old changes."""
        gateways = self.node.members.gateways(now)
        if owner(CONFIG_AUDIT_DUTY, gateways) != self.node.name:
            self.waiting = [seen for seen in self.waiting if now - seen.seen_at < REMEMBER_S]
            return
        for seen in list(self.waiting):
            if await self.write(seen, now):
                self.waiting.remove(seen)

    async def write(self, seen: Seen, now: float) -> bool:
        """Add the record of a generation; return False if it must be tried again."""
        try:
            revision = await self.find(seen)
        except ObjectStoreError:
            return False
        if revision is not None:
            return self.audit.append(self.record_of(revision)) and await self.keep(revision)
        if now - seen.seen_at < HISTORY_WAIT_S:
            return False
        reason = f"generation {seen.generation} is not in the history"
        daemon = self.node.name
        return self.audit.append(
            AuditRecord(self.node.wall_clock(), daemon, daemon, GAP_ACTION, "manifest", reason, "1")
        )

    async def find(self, seen: Seen) -> Revision | None:
        """Return the revision of a generation, from the history if it was skipped here."""
        if seen.payload is not None:
            return decode_revision(seen.payload)
        stored = await self.node.store.get(HISTORY_KIND, str(seen.generation))
        return None if stored is None else decode_revision(stored.value)

    async def keep(self, revision: Revision) -> bool:
        """Add a revision to the history, in case its author could not."""
        try:
            await record_revision(self.node.store, revision)
        except ObjectStoreError as error:
            log_event(events.HISTORY_NOT_KEPT, generation=revision.generation, error=str(error))
            return False
        return True

    def record_of(self, revision: Revision) -> AuditRecord:
        """Return the audit record of a revision."""
        return AuditRecord(
            revision.applied_at,
            self.node.name,
            revision.author,
            "apply",
            "manifest",
            str(revision.generation - 1),
            str(revision.generation),
            revision.generation,
            revision.change_id,
            f"apply-{revision.change_id}",
        )
