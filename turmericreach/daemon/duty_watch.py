"""Log lines and audit records about changes of the holder of a duty."""

import asyncio

from turmericreach.daemon.node import Node
from turmericreach.ownership import owner, weights_duty
from turmericreach.telemetry import events, log_event

__all__ = ["CONFIG_AUDIT_DUTY", "DutyWatch"]

CONFIG_AUDIT_DUTY = "audit-config"
STEP_S = 1.0
# Time that a gateway must hold a duty before the change is recorded. A gateway that starts holds
# every duty in its own view until it receives the records of the others.
SETTLING_TIME_S = 3.0


class DutyWatch:
    """Logs and audits changes of the holder of a duty; the new holder writes the audit record.

    Lots are not included, since the takeover of a lot has its own record.

    Parameters
    ----------
    node : Node
        Source of the members and the manifest.
    record : callable
        Called with actor, action, subject, before and after of an audit record.

    Attributes
    ----------
    holders : dict of str to str
        Holder of each duty at the last step.
    gained_at : dict of str to float
        Loop time in seconds since which this gateway holds a duty in its own view.
    """

    def __init__(self, node: Node, record):
        self.node = node
        self.record = record
        self.holders: dict[str, str] = {}
        self.gained_at: dict[str, float] = {}

    def names(self) -> list[str]:
        """Return the names of the duties of the deployment."""
        models = self.node.manifest.models if self.node.manifest is not None else []
        return [CONFIG_AUDIT_DUTY, *(weights_duty(model.name) for model in models)]

    async def run(self) -> None:
        """Check once a second."""
        while True:
            await asyncio.sleep(STEP_S)
            self.step(self.node.now())

    def step(self, now: float) -> None:
        """Compare the holders with those of the last step and record changes."""
        gateways = self.node.members.gateways(now)
        for duty in self.names():
            holder = owner(duty, gateways) or ""
            if holder != self.node.name:
                self.record_other_holder(duty, holder)
                continue
            since = self.gained_at.setdefault(duty, now)
            if now - since >= SETTLING_TIME_S and self.holders.get(duty) != holder:
                self.record_gain(duty, self.holders.get(duty, ""))

    def record_other_holder(self, duty: str, holder: str) -> None:
        """Record that another gateway holds a duty, and log it if this one held it before."""
        self.gained_at.pop(duty, None)
        if self.holders.get(duty) == self.node.name:
            log_event(events.DUTY_CHANGED, duty=duty, change=f"passed to {holder or 'nobody'}")
        if holder:
            self.holders[duty] = holder

    def record_gain(self, duty: str, former: str) -> None:
        """Record, log and audit that this gateway has acquired a duty."""
        self.holders[duty] = self.node.name
        log_event(events.DUTY_CHANGED, duty=duty, change=f"taken over from {former or 'nobody'}")
        self.record(self.node.name, "take-duty", f"duty/{duty}", former, self.node.name)
