"""Audit records of configurations that were put in force."""

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
# Each gateway keeps a change this long, so that the next holder of the duty writes the record if
# the present one is lost. The record's id is derived from the change, so that readers see it once.
PENDING_RETENTION_S = 60.0
# Time after which a generation that the history does not hold is recorded as a gap.
HISTORY_TIMEOUT_S = 10.0


@attrs.define
class PendingGeneration:
    """A generation that was put in force or skipped here and may need an audit record.

    Attributes
    ----------
    generation : int
        Number of the generation.
    seen_at : float
        Loop time in seconds at which it was put in force or skipped.
    payload : bytes or None
        The stored revision; None for a generation that was skipped.
    """

    generation: int
    seen_at: float
    payload: bytes | None


class ConfigAudit:
    """Writes one audit record for each generation while this gateway holds the duty.

    Parameters
    ----------
    node : Node
        Identity, members and object store of this process.
    audit : AuditLog
        Receives the records.

    Attributes
    ----------
    pending_generations : list of PendingGeneration
        Generations for which a record may have to be written.
    newest_generation : int
        Highest generation that was put in force here, 0 if none was.
    """

    def __init__(self, node: Node, audit: AuditLog):
        self.node = node
        self.audit = audit
        self.pending_generations: list[PendingGeneration] = []
        self.newest_generation = 0

    def on_revision(self, revision) -> None:
        """Add a generation that was put in force, and those that it skipped, as pending."""
        if revision is None:
            return
        now = self.node.now()
        stored = decode_revision(revision.payload)
        first = self.newest_generation == 0
        if first and self.node.wall_clock() - stored.applied_at > PENDING_RETENTION_S:
            # It was in force long before this process started and has a record.
            self.newest_generation = revision.generation
            return
        if not first:
            for generation in range(self.newest_generation + 1, revision.generation):
                self.pending_generations.append(PendingGeneration(generation, now, None))
        self.pending_generations.append(
            PendingGeneration(revision.generation, now, revision.payload)
        )
        self.newest_generation = max(self.newest_generation, revision.generation)

    async def run(self) -> None:
        """Write the records that are due once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            await self.step(self.node.now())

    async def step(self, now: float) -> None:
        """Write the pending records as holder of the duty; otherwise expire old changes."""
        gateways = self.node.members.gateways(now)
        if owner(CONFIG_AUDIT_DUTY, gateways) != self.node.name:
            self.pending_generations = [
                pending
                for pending in self.pending_generations
                if now - pending.seen_at < PENDING_RETENTION_S
            ]
            return
        for pending in list(self.pending_generations):
            if await self.write(pending, now):
                self.pending_generations.remove(pending)

    async def write(self, pending: PendingGeneration, now: float) -> bool:
        """Add the record of a generation; return False if that must be retried."""
        try:
            revision = await self.load_revision(pending)
        except ObjectStoreError:
            return False
        if revision is not None:
            return self.audit.append(self.record_of(revision)) and await self.save_to_history(
                revision
            )
        if now - pending.seen_at < HISTORY_TIMEOUT_S:
            return False
        reason = f"generation {pending.generation} is not in the history"
        daemon = self.node.name
        return self.audit.append(
            AuditRecord(self.node.wall_clock(), daemon, daemon, GAP_ACTION, "manifest", reason, "1")
        )

    async def load_revision(self, pending: PendingGeneration) -> Revision | None:
        """Return the revision of a generation, from the history if it was skipped here.

        Returns
        -------
        Revision or None
            None if the history does not hold the generation.

        Raises
        ------
        ObjectStoreError
            If the platform failed.
        """
        if pending.payload is not None:
            return decode_revision(pending.payload)
        stored = await self.node.store.get(HISTORY_KIND, str(pending.generation))
        return None if stored is None else decode_revision(stored.value)

    async def save_to_history(self, revision: Revision) -> bool:
        """Add a revision to the history, in case its author could not.

        Returns
        -------
        bool
            Whether the history holds the revision; if not, the write must be retried.
        """
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
