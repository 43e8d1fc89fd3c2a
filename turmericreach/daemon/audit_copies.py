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
# Limits a message to about 1 MB of typical records; further ones are copied once these are written.
MAX_COPIED = 1024
LOST_STATES = ("gone", "stopped")


@attrs.frozen
class CopyMessage:
    """The records that a gateway has not written yet; replaces its previous message.

    Attributes
    ----------
    origin : str
        Name of the gateway.
    started_ms : int
        Unix time in ms at which the gateway's process started, which changes at a restart.
    records : list of AuditRecord
        Unwritten records, at most `MAX_COPIED`.
    """

    origin: str
    started_ms: int
    records: list[AuditRecord]


class AuditCopies:
    """Copies unwritten records to a partner, which writes them if this gateway is lost.

    The records keep their ids, so that readers see a record once if both gateways write it. A
    record that is written before the next step needs no message.

    Parameters
    ----------
    node : Node
        Identity, members and connections of this process.
    audit : AuditLog
        Audit log of this gateway.

    Attributes
    ----------
    held : dict of str to CopyMessage
        Copies for other gateways by name.
    sent_partner : str
        Gateway that received the last message, empty if there was none.
    sent_ids : list of str
        Ids of the records in the last message.
    """

    def __init__(self, node: Node, audit: AuditLog):
        self.node = node
        self.audit = audit
        self.held: dict[str, CopyMessage] = {}
        self.sent_partner = ""
        self.sent_ids: list[str] = []

    async def run(self) -> None:
        """Write the copies of lost gateways and send the own ones once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            self.write_orphaned()
            await self.send()

    def partner(self) -> str | None:
        """Return the gateway that holds the copies of this one, None if it is the only one."""
        gateways = self.node.members.gateways(self.node.now())
        others = [name for name in gateways if name != self.node.name]
        return owner(f"audit-copy:{self.node.name}", others)

    async def send(self) -> bool:
        """Send the unwritten records to the partner; return whether it holds all of them."""
        records = list(self.audit.pending.values())
        copied = records[:MAX_COPIED]
        ids = [record.record_id for record in copied]
        partner = self.partner()
        if ids == self.sent_ids and partner == self.sent_partner:
            return len(copied) == len(records)
        if partner is None or (not ids and not self.sent_ids):
            return not records
        message = CopyMessage(self.node.name, self.node.members.own.started_ms, copied)
        try:
            client = await self.node.peers.get(self.node.members.records[partner].address)
            await client.control(AUDIT_COPY, msgspec.json.encode(message), CALL_TIMEOUT_S)
        except (PeerError, KeyError):
            return False
        self.sent_ids, self.sent_partner = ids, partner
        return len(copied) == len(records)

    def handle_message(self, body: bytes) -> None:
        """Hold the copies of another gateway; write those of its process before a restart."""
        message = msgspec.json.decode(body, type=CopyMessage)
        former = self.held.pop(message.origin, None)
        if former is not None and former.started_ms != message.started_ms:
            self.write(former)
        if message.records:
            self.held[message.origin] = message

    def write_orphaned(self) -> None:
        """Write the copies of gateways that were lost, stopped or restarted."""
        members = self.node.members
        for origin, message in list(self.held.items()):
            record = members.records.get(origin)
            restarted = record is not None and record.started_ms != message.started_ms
            if restarted or members.member_state(origin) in LOST_STATES:
                self.write(self.held.pop(origin))

    def write(self, message: CopyMessage) -> None:
        """Append copied records to the own log under their original ids."""
        for record in message.records:
            self.audit.append(record)
