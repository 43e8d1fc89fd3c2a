"""The rollout duty of one model: who may prepare, and when a version is activated."""

from collections.abc import Iterable

import attrs

from turmericreach.manifest.schema import ModelSpec
from turmericreach.ownership import rank, weights_duty
from turmericreach.weights.wanted import ACTIVATE, WantedVersion

__all__ = ["Grant", "Plan", "RolloutPlanner", "TargetProgress"]

# An agent that is frozen does not keep its slot; a download takes about a second.
GRANT_S = 4.0
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0


@attrs.frozen
class TargetProgress:
    """What the planner knows about one target of the model.

    Attributes
    ----------
    prepared, version : int
        Highest version that the target holds ready, and the version that it serves.
    usable : bool
        Whether its member is live.
    """

    name: str
    prepared: int = 0
    version: int = 0
    usable: bool = True


@attrs.frozen
class Grant:
    """Leave for one target to download a version until `expires_at`."""

    target: str
    version: int
    expires_at: float


@attrs.frozen
class Plan:
    """Decision of one step.

    Attributes
    ----------
    grants : list of Grant
        Grants in force; an agent may receive one repeatedly.
    activate : WantedVersion or None
        Row to announce when the version is to be activated.
    """

    grants: list[Grant] = attrs.field(factory=list)
    activate: WantedVersion | None = None


class RolloutPlanner:
    """Plans the rollout of the newest version of one model.

    The plan follows from the targets' status alone. A second planner grants at most as many
    further downloads, and activates the same version, so two at once only cost store requests.

    Parameters
    ----------
    model : ModelSpec
        Limits and shares from the manifest.
    """

    def __init__(self, model: ModelSpec):
        self.model = model
        self.wanted: WantedVersion | None = None
        self.first_seen = 0.0
        self.grants: dict[str, Grant] = {}
        self.tried: dict[str, int] = {}
        self.paused_until = 0.0
        self.refusals = 0

    def want(self, wanted: WantedVersion, now: float):
        """Take over a higher wanted version; it supersedes one that is not yet active."""
        if wanted.model != self.model.name:
            return
        if self.wanted is not None and wanted.order <= self.wanted.order:
            return
        if self.wanted is None or wanted.version > self.wanted.version:
            self.first_seen = now
            self.grants = {}
            self.tried = {}
        self.wanted = wanted

    def on_store_refusal(self, now: float, retry_after_s: float = 0.0):
        """Grant nothing for a while after the weight store answered 429."""
        if now < self.paused_until:
            # Several downloads run at once, and their refusals are one event.
            return
        pause_s = min(FIRST_PAUSE_S * 2 ** min(self.refusals, 10), MAX_PAUSE_S)
        self.refusals += 1
        self.paused_until = now + max(pause_s, retry_after_s)

    def plan(self, targets: Iterable[TargetProgress], now: float) -> Plan:
        """Return the grants in force and the activation, if it is due."""
        if self.wanted is None:
            return Plan()
        usable = [item for item in targets if item.usable]
        self.drop_grants(usable, now)
        if now >= self.paused_until:
            self.add_grants(usable, now)
        return Plan(list(self.grants.values()), self.activation(usable, now))

    def is_ready(self, target):
        """Tell whether a target holds the wanted version or a higher one."""
        return max(target.prepared, target.version) >= self.wanted.version

    def drop_grants(self, usable, now):
        """Take back the grants that are used, expired, or held by an unusable target."""
        waiting = {item.name for item in usable if not self.is_ready(item)}
        kept = {}
        for name, grant in self.grants.items():
            if name not in waiting:
                self.refusals = 0
                continue
            if now < grant.expires_at:
                kept[name] = grant
        self.grants = kept

    def add_grants(self, usable, now):
        """Give the free grants to the targets tried least, in rendezvous order."""
        duty = weights_duty(self.model.name)
        waiting = {item.name for item in usable if not self.is_ready(item)}
        order = rank(duty, waiting - self.grants.keys())
        order.sort(key=lambda name: self.tried.get(name, 0))
        free = max(0, self.model.prepare_concurrency - len(self.grants))
        for name in order[:free]:
            self.tried[name] = self.tried.get(name, 0) + 1
            self.grants[name] = Grant(name, self.wanted.version, now + GRANT_S)

    def activation(self, usable, now):
        """Return the row that activates the wanted version once it is due."""
        if self.wanted.phase == ACTIVATE:
            return self.wanted
        ready = sum(self.is_ready(item) for item in usable)
        share_held = bool(usable) and ready >= self.model.prepared_share * len(usable)
        late = now - self.first_seen >= self.model.activate_after_s
        if not share_held and not late:
            return None
        self.wanted = attrs.evolve(self.wanted, phase=ACTIVATE)
        return self.wanted
