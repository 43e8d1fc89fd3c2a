"""Copies of unwritten audit records at another gateway."""

import asyncio

import attrs
import msgspec

from turmericreach.audit import AuditLog, AuditRecord
from turmericreach.daemon.node import Node
from turmericreach.ownership import owner
from turmericreach.rpc import PeerError

__all__ = ["AUDIT_COPY", "AuditCopies", "CopyMessage"]

AUDIT_COPY = "audit-copy"
STEP_S = 1.0
CALL_TIMEOUT_S = 2.0
# Bounds one message to about 1 MB of ordinary records; the rest is copied after these are written.
MAX_COPIED = 1024
LOST_STATES = ("gone", "stopped")


@attrs.frozen
class CopyMessage:
    """All records that a gateway has not written yet; replaces its former message.

    Attributes
    ----------
    started_ms : int
        Start of the gateway's process, which tells it from a restarted one.
    """

    origin: str
    started_ms: int
    records: list[AuditRecord]


class AuditCopies:
    """Keeps unwritten records at a partner, which writes them if this gateway is lost.

    The records keep their ids, so that readers see a record once if both write it. A record that
    is written before the next look costs no message.

    Parameters
    ----------
    node : Node
    audit : AuditLog
    """

    def __init__(self, node: Node, audit: AuditLog):
        self.node = node
        self.audit = audit
        self.held: dict[str, CopyMessage] = {}
        self.sent_to = ""
        self.sent: list[str] = []

    async def run(self) -> None:
        """Copy and take over once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            self.take_over()
            await self.send()

    def partner(self) -> str | None:
        """Return the gateway that holds the copies of this one."""
        gateways = self.node.members.gateways(self.node.now())
        others = [name for name in gateways if name != self.node.name]
        return owner(f"audit-copy:{self.node.name}", others)

    async def send(self) -> bool:
        """Bring the partner's copies up to date; return whether it holds all records."""
        records = list(self.audit.pending.values())
        copied = records[:MAX_COPIED]
        ids = [record.record_id for record in copied]
        partner = self.partner()
        if ids == self.sent and partner == self.sent_to:
            return len(copied) == len(records)
        if partner is None or (not ids and not self.sent):
            return not records
        message = CopyMessage(self.node.name, self.node.members.own.started_ms, copied)
        try:
            client = await self.node.peers.get(self.node.members.records[partner].address)
            await client.control(AUDIT_COPY, msgspec.json.encode(message), CALL_TIMEOUT_S)
        except (PeerError, KeyError):
            return False
        self.sent, self.sent_to = ids, partner
        return len(copied) == len(records)

    def hold(self, body: bytes) -> None:
        """Keep the copies of another gateway; those of its former process are written here."""
        message = msgspec.json.decode(body, type=CopyMessage)
        former = self.held.pop(message.origin, None)
        if former is not None and former.started_ms != message.started_ms:
            self.write(former)
        if message.records:
            self.held[message.origin] = message

    def take_over(self) -> None:
        """Write the copies of gateways that are lost or were restarted."""
        members = self.node.members
        for origin, message in list(self.held.items()):
            record = members.records.get(origin)
            restarted = record is not None and record.started_ms != message.started_ms
            if restarted or members.member_state(origin) in LOST_STATES:
                self.write(self.held.pop(origin))

    def write(self, message: CopyMessage) -> None:
        """Add copied records to the own log under their ids."""
        for record in message.records:
            self.audit.append(record)
