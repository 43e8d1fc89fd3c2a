"""Read-only calls of operators to a gateway."""

import asyncio

import attrs
import msgspec

from turmericreach.api import LotList, LotStatus
from turmericreach.audit import AuditRecord
from turmericreach.config import Confirmation
from turmericreach.daemon.inspection import CONCURRENT_CALLS, collect_decisions
from turmericreach.daemon.lot_calls import LotCall, LotOperation, LotReply
from turmericreach.daemon.lot_service import LOT
from turmericreach.daemon.target_drain import WORK, TargetWork, WorkQuery
from turmericreach.ownership import owner
from turmericreach.rpc import PeerError
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["UNWRITTEN_AUDIT", "OperatorQueries"]

UNWRITTEN_AUDIT = "audit-unwritten"
CALL_TIMEOUT_S = 3.0


class OperatorQueries:
    """Collects what operators ask of a gateway and, through it, of other processes.

    Parameters
    ----------
    gateway : GatewayDaemon
        The gateway that received the call.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.node = gateway.node

    def status(self) -> dict:
        """Return the state of the deployment as this gateway knows it."""
        now = self.node.now()
        members = self.node.members
        members.tick(now)
        rows = [
            {
                "name": record.name,
                "role": record.role,
                "data_centre": record.data_centre,
                "state": members.member_state(record.name),
                "generation": record.generation,
                "age_s": round(members.age_s(record.name), 1),
            }
            for record in members.records.values()
        ]
        live = {record.name: record.generation for record in members.live(now)}
        confirmation = Confirmation.from_generations(self.node.config.generation, live)
        fleet = self.gateway.fleet
        down_s = now - fleet.platform_down_at if fleet.platform_up is False else 0.0
        return {
            "daemon": self.node.name,
            "uptime_s": round(now - self.node.started_at, 1),
            "platform_up": fleet.platform_up,
            "platform_down_s": round(down_s, 1),
            "config": self.node.config.in_force_report(),
            "confirmed": confirmation.confirmed,
            "unconfirmed": confirmation.missing,
            "members": sorted(rows, key=lambda row: row["name"]),
            "duties": self.duties(now),
            "wanted": [
                {"model": row.model, "version": row.version, "phase": row.phase}
                for row in self.node.wanted.rows()
            ],
        }

    def duties(self, now: float) -> dict[str, str]:
        """Return the holder of each duty in this gateway's view."""
        gateways = self.node.members.gateways(now)
        return {duty: owner(duty, gateways) or "" for duty in self.gateway.duty_watch.names()}

    def target_rows(self) -> list[dict]:
        """Return the routing state, versions and load of each target, sorted by name."""
        rows = []
        for name, record in sorted(self.gateway.table.records.items()):
            model = self.node.services[record.spec.service].model
            active = self.node.wanted.active.get(model)
            rows.append(
                {
                    "target": name,
                    "service": record.spec.service,
                    "model": model or "",
                    "data_centre": record.spec.data_centre,
                    "state": str(record.state),
                    "version": record.version,
                    "wanted": 0 if active is None else active.version,
                    "prepared": self.prepared(name),
                    "load": record.estimated_load(),
                    "slots": record.slots,
                    "speed": round(record.speed or record.spec.speed, 1),
                }
            )
        return rows

    def prepared(self, target: str) -> int:
        """Return the highest version that a target has prepared according to its agent, or 0."""
        holder = self.node.members.holder_of(target, self.node.now())
        for status in holder.targets if holder is not None else ():
            if status.name == target:
                return status.prepared
        return 0

    async def target_work(self, target: str) -> dict:
        """Ask the agent of a target what the target has in flight and return it.

        Raises
        ------
        RequestError
            If the target is unknown.
        """
        if target not in self.node.targets:
            raise RequestError(ErrorCode.UNKNOWN_TARGET, f"no target {target}", 404)
        body = msgspec.json.encode(WorkQuery(target))
        try:
            client = await self.gateway.peers.connect_agent(target)
            reply_body = await client.control(WORK, body, CALL_TIMEOUT_S)
            work = msgspec.json.decode(reply_body, type=TargetWork)
        except (PeerError, msgspec.DecodeError):
            work = TargetWork(target)
        return attrs.asdict(work)

    def manifest(self) -> bytes:
        """Return the manifest revision in force as JSON, an empty object if there is none."""
        revision = self.node.config.revision
        return b"{}" if revision is None else revision.payload

    async def list_lots(self) -> LotList:
        """Return the lots of all live gateways, and the names of those that did not reply."""
        call = LotCall(LotOperation.LIST)
        lots = msgspec.json.decode(await self.gateway.lots.list_local(call), type=list[LotStatus])
        replies = await self.query_gateways(LOT, msgspec.json.encode(call))
        unanswered = []
        for name, body in replies.items():
            if body is None:
                unanswered.append(name)
                continue
            reply = msgspec.json.decode(body, type=LotReply)
            lots += msgspec.json.decode(reply.body, type=list[LotStatus])
        return LotList(lots, unanswered)

    async def explain(self, subject: str) -> list[dict]:
        """Return the decisions of all live daemons about a request or a sample."""
        return await collect_decisions(self.node, subject)

    def own_unwritten(self) -> list[AuditRecord]:
        """Return the audit records that this gateway has not written yet."""
        return list(self.gateway.audit.pending.values())

    async def unwritten_audit(self) -> list[AuditRecord]:
        """Return the audit records that the live gateways have not written yet."""
        records = self.own_unwritten()
        for body in (await self.query_gateways(UNWRITTEN_AUDIT, b"")).values():
            if body is not None:
                records += msgspec.json.decode(body, type=list[AuditRecord])
        return sorted(records, key=lambda record: record.at)

    async def query_gateways(self, kind: str, body: bytes) -> dict[str, bytes | None]:
        """Send a control message to the other live gateways.

        Returns
        -------
        dict of str to bytes or None
            Replies by name of the gateway, None for one that did not reply.
        """
        slots = asyncio.Semaphore(CONCURRENT_CALLS)

        async def ask(name: str) -> bytes | None:
            async with slots:
                try:
                    client = await self.node.peers.get(self.node.members.records[name].address)
                    return await client.control(kind, body, CALL_TIMEOUT_S)
                except (PeerError, KeyError):
                    return None

        live = self.node.members.gateways(self.node.now())
        others = sorted(name for name in live if name != self.node.name)
        replies = await asyncio.gather(*(ask(name) for name in others))
        return dict(zip(others, replies, strict=True))
