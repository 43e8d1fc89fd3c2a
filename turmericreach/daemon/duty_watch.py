"""Notes when this gateway takes a duty over."""

import asyncio

from turmericreach.daemon.node import Node
from turmericreach.ownership import owner, weights_duty
from turmericreach.telemetry import events, log_event

__all__ = ["CONFIG_AUDIT_DUTY", "DutyWatch"]

CONFIG_AUDIT_DUTY = "audit-config"
STEP_S = 1.0
# A gateway that starts holds every duty in its own view until it has heard of the others.
SETTLED_S = 3.0


class DutyWatch:
    """Logs and audits changes of the owner of a duty; the one who gains it records it.

    Lots are not among the duties here, since the take-over of a lot has its own record.

    Parameters
    ----------
    node : Node
    record : callable
        Takes actor, action, subject, before and after of an audit record.
    """

    def __init__(self, node: Node, record):
        self.node = node
        self.record = record
        self.holders: dict[str, str] = {}
        self.gained_at: dict[str, float] = {}

    def names(self) -> list[str]:
        """Return the duties of the deployment."""
        models = self.node.manifest.models if self.node.manifest is not None else []
        return [CONFIG_AUDIT_DUTY, *(weights_duty(model.name) for model in models)]

    async def run(self) -> None:
        """Look once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            self.step(self.node.now())

    def step(self, now: float) -> None:
        """Compare the holders with those of the last look."""
        gateways = self.node.members.gateways(now)
        for duty in self.names():
            holder = owner(duty, gateways) or ""
            if holder != self.node.name:
                self.note_other(duty, holder)
                continue
            since = self.gained_at.setdefault(duty, now)
            if now - since >= SETTLED_S and self.holders.get(duty) != holder:
                self.note_gain(duty, self.holders.get(duty, ""))

    def note_other(self, duty: str, holder: str) -> None:
        """Note that another gateway has a duty."""
        self.gained_at.pop(duty, None)
        if self.holders.get(duty) == self.node.name:
            log_event(events.DUTY_CHANGED, duty=duty, change=f"passed to {holder or 'nobody'}")
        if holder:
            self.holders[duty] = holder

    def note_gain(self, duty: str, former: str) -> None:
        """Note that this gateway has a duty."""
        self.holders[duty] = self.node.name
        log_event(events.DUTY_CHANGED, duty=duty, change=f"taken over from {former or 'nobody'}")
        self.record(self.node.name, "take-duty", f"duty/{duty}", former, self.node.name)
