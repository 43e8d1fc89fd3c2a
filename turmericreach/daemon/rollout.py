"""The duty of rolling a model's weights out, held by one gateway at a time."""

import asyncio

import attrs
import msgspec

from turmericreach.daemon.node import Node
from turmericreach.objectstore import Conflict, ObjectStoreError, StoredObject, write_confirmed
from turmericreach.ownership import owner, weights_duty
from turmericreach.rpc import PeerError
from turmericreach.telemetry import events, log_event
from turmericreach.weights import Grant, RolloutPlanner, TargetProgress, WantedVersion

__all__ = ["GRANT", "GrantMessage", "GrantReply", "WeightRollouts"]

GRANT = "grant"
WEIGHTS_KIND = "weights"
STEP_S = 0.5
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class GrantMessage:
    """Allows a target to download a version for some seconds, since clocks differ."""

    target: str
    version: int
    seconds: float


@attrs.frozen
class GrantReply:
    """Answer to a grant.

    Attributes
    ----------
    store_refused_s : float
        Seconds for which the weight store asked the target to wait, 0 for none.
    """

    store_refused_s: float = 0.0


class WeightRollouts:
    """Plans the rollouts of the models whose duty falls to this gateway.

    Parameters
    ----------
    node : Node
    take_wanted : callable
        Takes a list of `WantedVersion` that this daemon decided.
    record : callable
        Takes actor, action, subject, before and after of an audit record.
    """

    def __init__(self, node: Node, take_wanted, record):
        self.node = node
        self.record = record
        self.take_wanted = take_wanted
        self.planners: dict[str, RolloutPlanner] = {}
        self.unsaved: dict[str, WantedVersion] = {}
        self.resend_at: dict[tuple, float] = {}

    async def run(self) -> None:
        """Plan twice a second."""
        while True:
            await asyncio.sleep(STEP_S)
            await self.step()

    async def step(self) -> None:
        """Plan each model of this gateway once."""
        if self.node.manifest is None:
            return
        now = self.node.now()
        gateways = self.node.members.gateways(now)
        for model in self.node.manifest.models:
            if owner(weights_duty(model.name), gateways) != self.node.name:
                self.planners.pop(model.name, None)
                continue
            wanted = self.node.wanted.newest.get(model.name)
            if wanted is None:
                continue
            planner = self.planners.get(model.name)
            if planner is None or planner.model != model:
                planner = self.planners[model.name] = RolloutPlanner(model)
            planner.raise_wanted(wanted, now)
            plan = planner.plan(self.progress(model.name, now), now)
            due = self.grants_due(plan.grants, now)
            await asyncio.gather(*(self.send_grant(planner, grant) for grant in due))
            if plan.activate is not None:
                await self.activate(plan.activate, now)
        await self.save_pending()

    def progress(self, model: str, now: float) -> list[TargetProgress]:
        """Return the state of the model's targets."""
        rows = []
        for service in self.node.services.values():
            if service.model != model:
                continue
            for spec in self.node.targets.values():
                if spec.service == service.name:
                    rows.append(self.target_progress(spec.name, now))
        return rows

    def target_progress(self, name: str, now: float) -> TargetProgress:
        """Return the state of one target."""
        holder = self.node.members.holder_of(name, now)
        if holder is None:
            return TargetProgress(name, usable=False)
        usable = self.node.members.state_of(name, now) == "live"
        for status in holder.targets:
            if status.name == name:
                return TargetProgress(name, status.prepared, status.version, usable)
        return TargetProgress(name, usable=False)

    def grants_due(self, grants: list[Grant], now: float) -> list[Grant]:
        """Return the grants to send: new ones, and once more when half their time has passed.

        Sending all grants in force at each step would take 80 calls a second with 40 grants.
        """
        due = []
        resend_at = {}
        for grant in grants:
            key = (grant.target, grant.version, grant.expires_at)
            at = self.resend_at.get(key)
            if at is None:
                due.append(grant)
                at = now + (grant.expires_at - now) / 2
            elif now >= at:
                due.append(grant)
                at = grant.expires_at
            resend_at[key] = at
        self.resend_at = resend_at
        return due

    async def send_grant(self, planner: RolloutPlanner, grant) -> None:
        """Tell an agent that its target may download."""
        holder = self.node.members.holder_of(grant.target, self.node.now())
        if holder is None:
            return
        try:
            client = await self.node.peers.get(holder.address)
            left_s = grant.expires_at - self.node.now()
            body = msgspec.json.encode(GrantMessage(grant.target, grant.version, left_s))
            answer = await client.control(GRANT, body, CALL_TIMEOUT_S)
            refused_s = msgspec.json.decode(answer, type=GrantReply).store_refused_s
            if refused_s > 0:
                planner.on_store_refusal(self.node.now(), refused_s)
        except PeerError:
            self.node.peers.drop(holder.address)

    async def activate(self, row: WantedVersion, now: float) -> None:
        """Announce the activation once."""
        active = self.node.wanted.active.get(row.model)
        if active is not None and active.order >= row.order:
            return
        targets = self.progress(row.model, now)
        ready = sum(max(item.prepared, item.version) >= row.version for item in targets)
        log_event(
            events.VERSION_ACTIVATED,
            model=row.model,
            version=row.version,
            prepared=ready,
            targets=len(targets),
        )
        before = str(active.version) if active is not None else "0"
        self.record(
            self.node.name,
            "activate",
            f"model/{row.model}",
            before,
            str(row.version),
            f"activate-{row.model}-{row.version}-{row.change_id}",
        )
        self.take_wanted([row])
        self.unsaved[row.model] = row

    async def save_pending(self) -> None:
        """Write decided versions to the platform; what fails is tried again."""
        for model, row in list(self.unsaved.items()):
            if await save_wanted(self.node.store, row):
                self.unsaved.pop(model, None)


async def save_wanted(store, row: WantedVersion) -> bool:
    """Raise the stored wanted version of a model; return False if it must be tried again."""

    def make_value(current: StoredObject | None) -> bytes | None:
        if current is not None:
            held = msgspec.json.decode(current.value, type=WantedVersion)
            if held.order >= row.order:
                return None
        return msgspec.json.encode(row)

    def change_id_of(value: bytes) -> str:
        held = msgspec.json.decode(value, type=WantedVersion)
        return f"{held.change_id}:{held.phase}"

    try:
        await write_confirmed(store, WEIGHTS_KIND, row.model, make_value, change_id_of)
    except (Conflict, ObjectStoreError) as error:
        log_event(events.WRITE_UNKNOWN, kind=WEIGHTS_KIND, name=row.model, error=str(error))
        return False
    return True
