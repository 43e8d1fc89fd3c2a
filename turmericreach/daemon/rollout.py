"""The duty of rolling out the weights of a model, held by one gateway at a time."""

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
# Time between two planning steps.
STEP_S = 0.5
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class GrantMessage:
    """Allows a target to download a version.

    Attributes
    ----------
    target : str
        Name of the target.
    version : int
        Weight version that may be downloaded.
    seconds : float
        Duration of the grant from its receipt. An instant would be wrong, since clocks differ.
    """

    target: str
    version: int
    seconds: float


@attrs.frozen
class GrantReply:
    """Reply to a grant.

    Attributes
    ----------
    store_refused_s : float
        Seconds for which the weight store asked the target to wait, 0 for none.
    """

    store_refused_s: float = 0.0


class WeightRollouts:
    """Plans the rollouts of the models whose duty is assigned to this gateway.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    apply_wanted : callable
        Called with a list of `WantedVersion` that this process decided.
    record : callable
        Called with actor, action, subject, before, after and id of an audit record.

    Attributes
    ----------
    planners : dict of str to RolloutPlanner
        Planners by model.
    unsaved : dict of str to WantedVersion
        Decided versions by model that the platform does not hold yet.
    resend_at : dict of tuple to float
        Loop time in seconds at which a grant, given by target, version and expiry, is sent again.
    """

    def __init__(self, node: Node, apply_wanted, record):
        self.node = node
        self.record = record
        self.apply_wanted = apply_wanted
        self.planners: dict[str, RolloutPlanner] = {}
        self.unsaved: dict[str, WantedVersion] = {}
        self.resend_at: dict[tuple, float] = {}

    async def run(self) -> None:
        """Plan twice a second."""
        while True:
            await asyncio.sleep(STEP_S)
            await self.step()

    async def step(self) -> None:
        """Plan each model of this gateway once, and send its grants and activation."""
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
            grants_to_send = self.grants_due(plan.grants, now)
            await asyncio.gather(*(self.send_grant(planner, grant) for grant in grants_to_send))
            if plan.activate is not None:
                await self.activate(plan.activate, now)
        await self.save_pending()

    def progress(self, model: str, now: float) -> list[TargetProgress]:
        """Return the rollout state of each target of a model."""
        rows = []
        for service in self.node.services.values():
            if service.model != model:
                continue
            for spec in self.node.targets.values():
                if spec.service == service.name:
                    rows.append(self.target_progress(spec.name, now))
        return rows

    def target_progress(self, name: str, now: float) -> TargetProgress:
        """Return the rollout state of one target; not usable if no member serves it."""
        holder = self.node.members.holder_of(name, now)
        if holder is None:
            return TargetProgress(name, usable=False)
        usable = self.node.members.state_of(name, now) == "live"
        for status in holder.targets:
            if status.name == name:
                return TargetProgress(name, status.prepared, status.version, usable)
        return TargetProgress(name, usable=False)

    def grants_due(self, grants: list[Grant], now: float) -> list[Grant]:
        """Return the grants to send: each when it is new and again after half of its duration.

        Sending all grants in force at each step would take 80 calls a second with 40 grants.
        """
        grants_to_send = []
        resend_at = {}
        for grant in grants:
            key = (grant.target, grant.version, grant.expires_at)
            due_at = self.resend_at.get(key)
            if due_at is None:
                grants_to_send.append(grant)
                due_at = now + (grant.expires_at - now) / 2
            elif now >= due_at:
                grants_to_send.append(grant)
                due_at = grant.expires_at
            resend_at[key] = due_at
        self.resend_at = resend_at
        return grants_to_send

    async def send_grant(self, planner: RolloutPlanner, grant) -> None:
        """Send a grant to the agent of its target, and pass on a refusal of the weight store."""
        holder = self.node.members.holder_of(grant.target, self.node.now())
        if holder is None:
            return
        try:
            client = await self.node.peers.get(holder.address)
            remaining_s = grant.expires_at - self.node.now()
            body = msgspec.json.encode(GrantMessage(grant.target, grant.version, remaining_s))
            reply = await client.control(GRANT, body, CALL_TIMEOUT_S)
            backoff_s = msgspec.json.decode(reply, type=GrantReply).store_refused_s
            if backoff_s > 0:
                planner.on_store_refusal(self.node.now(), backoff_s)
        except PeerError:
            self.node.peers.evict(holder.address)

    async def activate(self, row: WantedVersion, now: float) -> None:
        """Apply, log and audit the activation of a version, once."""
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
        self.apply_wanted([row])
        self.unsaved[row.model] = row

    async def save_pending(self) -> None:
        """Write decided versions to the platform; those that fail are retried at the next step."""
        for model, row in list(self.unsaved.items()):
            if await save_wanted(self.node.store, row):
                self.unsaved.pop(model, None)


async def save_wanted(store, row: WantedVersion) -> bool:
    """Raise the stored wanted version of a model.

    Returns
    -------
    bool
        Whether the platform holds this or a later version; if not, the write must be retried.
    """

    def make_value(current: StoredObject | None) -> bytes | None:
        if current is not None:
            stored = msgspec.json.decode(current.value, type=WantedVersion)
            if stored.order >= row.order:
                return None
        return msgspec.json.encode(row)

    def change_id_of(value: bytes) -> str:
        stored = msgspec.json.decode(value, type=WantedVersion)
        return f"{stored.change_id}:{stored.phase}"

    try:
        await write_confirmed(store, WEIGHTS_KIND, row.model, make_value, change_id_of)
    except (Conflict, ObjectStoreError) as error:
        log_event(events.WRITE_UNKNOWN, kind=WEIGHTS_KIND, name=row.model, error=str(error))
        return False
    return True
