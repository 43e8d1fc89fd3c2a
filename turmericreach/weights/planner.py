"""Plans the weight updates of one model: download grants and the time of activation."""

from collections.abc import Iterable

import attrs

from turmericreach.manifest.schema import ModelSpec
from turmericreach.ownership import rank, weights_duty
from turmericreach.weights.wanted import ACTIVATE, WantedVersion

__all__ = ["Grant", "Plan", "RolloutPlanner", "TargetProgress"]

# A grant expires so that a frozen agent does not block a slot; a download takes about a second.
GRANT_DURATION_S = 4.0
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0


@attrs.frozen
class TargetProgress:
    """Status of one target of the model.

    Attributes
    ----------
    name : str
        Name of the target.
    prepared : int
        Highest version that the target has prepared.
    version : int
        Version that the target serves.
    usable : bool
        Whether the agent that manages the target is live.
    """

    name: str
    prepared: int = 0
    version: int = 0
    usable: bool = True


@attrs.frozen
class Grant:
    """Permission for one target to download a version.

    Attributes
    ----------
    target : str
        Name of the target.
    version : int
        Weight version to download.
    expires_at : float
        Time at which the grant expires, in seconds of the planner's clock.
    """

    target: str
    version: int
    expires_at: float


@attrs.frozen
class Plan:
    """Decision of one planning step.

    Attributes
    ----------
    grants : list of Grant
        All current grants, including those of earlier steps; an agent can receive one repeatedly.
    activate : WantedVersion or None
        Row to announce if the version is to be activated now.
    """

    grants: list[Grant] = attrs.field(factory=list)
    activate: WantedVersion | None = None


class RolloutPlanner:
    """Plans the update of the targets of one model to the newest version.

    The plan depends only on the status of the targets. Two planners that run at the same time
    activate the same version and grant at most twice as many downloads, so they only cause
    additional requests to the weight store.

    Parameters
    ----------
    model : ModelSpec
        Limits and shares of the model from the manifest.
    """

    def __init__(self, model: ModelSpec):
        self.model = model
        self.wanted: WantedVersion | None = None
        self.first_seen = 0.0
        self.grants: dict[str, Grant] = {}
        self.grants_given: dict[str, int] = {}
        self.paused_until = 0.0
        self.consecutive_refusals = 0

    def raise_wanted(self, wanted: WantedVersion, now: float):
        """Raise the wanted version; a newer one supersedes one that is not activated yet."""
        if wanted.model != self.model.name:
            return
        if self.wanted is not None and wanted.order <= self.wanted.order:
            return
        if self.wanted is None or wanted.version > self.wanted.version:
            self.first_seen = now
            self.grants = {}
            self.grants_given = {}
        self.wanted = wanted

    def on_store_refusal(self, now: float, retry_after_s: float = 0.0):
        """Pause new grants after the weight store has responded with status 429."""
        if now < self.paused_until:
            # Refusals of concurrent downloads count as one event.
            return
        pause_s = min(INITIAL_PAUSE_S * 2 ** min(self.consecutive_refusals, 10), MAX_PAUSE_S)
        self.consecutive_refusals += 1
        self.paused_until = now + max(pause_s, retry_after_s)

    def plan(self, targets: Iterable[TargetProgress], now: float) -> Plan:
        """Return the current grants and, if due, the activation."""
        if self.wanted is None:
            return Plan()
        usable = [target for target in targets if target.usable]
        self.remove_ended_grants(usable, now)
        if now >= self.paused_until:
            self.add_grants(usable, now)
        return Plan(list(self.grants.values()), self.due_activation(usable, now))

    def is_ready(self, target):
        """Return whether a target has prepared or serves the wanted version or a higher one."""
        return max(target.prepared, target.version) >= self.wanted.version

    def remove_ended_grants(self, usable, now):
        """Remove the grants that were used, have expired, or belong to an unusable target."""
        waiting = {target.name for target in usable if not self.is_ready(target)}
        kept = {}
        for name, grant in self.grants.items():
            if name not in waiting:
                self.consecutive_refusals = 0
                continue
            if now < grant.expires_at:
                kept[name] = grant
        self.grants = kept

    def add_grants(self, usable, now):
        """Assign free grants, first to targets with the fewest so far, then in rendezvous order."""
        duty = weights_duty(self.model.name)
        waiting = {target.name for target in usable if not self.is_ready(target)}
        order = rank(duty, waiting - self.grants.keys())
        order.sort(key=lambda name: self.grants_given.get(name, 0))
        free = max(0, self.model.prepare_concurrency - len(self.grants))
        for name in order[:free]:
            self.grants_given[name] = self.grants_given.get(name, 0) + 1
            self.grants[name] = Grant(name, self.wanted.version, now + GRANT_DURATION_S)

    def due_activation(self, usable, now):
        """Return the row that activates the wanted version, or None if it is not due yet.

        Activation is due when enough targets are ready or the maximum delay has passed.
        """
        if self.wanted.phase == ACTIVATE:
            return self.wanted
        ready = sum(self.is_ready(target) for target in usable)
        enough_ready = bool(usable) and ready >= self.model.prepared_share * len(usable)
        is_overdue = now - self.first_seen >= self.model.activate_after_s
        if not enough_ready and not is_overdue:
            return None
        self.wanted = attrs.evolve(self.wanted, phase=ACTIVATE)
        return self.wanted
