"""Decides in the agent of a target how it converges to its wanted weight version."""

import enum

import attrs

from turmericreach.weights.fencing import MAX_VERSION, FencingTokens, version_of
from turmericreach.weights.wanted import ACTIVATE

__all__ = [
    "Action",
    "ActionKind",
    "ActionResult",
    "ResultKind",
    "TargetConverger",
]

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 10.0
# An engine can change its version by itself after a crash, so the actual version is also read when
# no order was sent.
READ_INTERVAL_S = 2.0
# Time for which a target waits for a grant before it downloads an activated version that it has not
# prepared. The wait keeps the targets from all downloading at once; the limit lets them converge
# when no gateway holds the rollout duty.
GRANT_WAIT_S = 5.0


class ActionKind(enum.StrEnum):
    """Kind of step that the agent performs next."""

    READ = "read"
    PREPARE = "prepare"
    ACTIVATE = "activate"
    WAIT = "wait"


@attrs.frozen
class Action:
    """Next step for a target.

    Attributes
    ----------
    kind : ActionKind
        Kind of the step; ``prepare`` and ``activate`` are orders to the engine.
    version : int
        For an order: weight version to prepare or activate.
    fencing : int
        For an order: its fencing token.
    until : float
        For ``wait``: time at which to ask for the next step, in seconds of the event loop's clock.
    """

    kind: ActionKind
    version: int = 0
    fencing: int = 0
    until: float = 0.0


class ResultKind(enum.StrEnum):
    """Outcome of an action."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    FENCED = "fenced"
    LOST = "lost"


@attrs.frozen
class ActionResult:
    """Result of an action.

    Attributes
    ----------
    kind : ResultKind
        Outcome. An order whose response was ``lost`` may have taken effect.
    fencing : int
        For ``fenced``: the highest fencing token that the engine has seen.
    retry_after_s : float
        For ``busy``: delay requested by the weight store in seconds.
    error : str
        Error message, empty for ``ok``.
    """

    kind: ResultKind
    fencing: int = 0
    retry_after_s: float = 0.0
    error: str = ""


class TargetConverger:
    """State machine that brings one target to its wanted version.

    It never orders a version below the activated one or below the actual version.

    Parameters
    ----------
    fencing_tokens : FencingTokens
        Source of the fencing tokens of orders.

    Attributes
    ----------
    newest_wanted : int
        Highest version that the target is to prepare, 0 if unknown.
    active : int
        Highest version that the target is to serve, 0 if unknown.
    granted_version : int
        Version whose download the holder of the rollout duty allows.
    granted_until : float
        Time at which that grant expires, in seconds of the event loop's clock.
    actual : int or None
        Version that the engine served when last read; None if an order may have changed it since.
    prepared : int
        Highest version that the engine had prepared when last read.
    ahead : int
        Version above all wanted ones that the engine serves, or that is part of a fencing token
        it has seen; 0 for none. It is to be reported.
    read_at : float
        Time of the last read in seconds.
    must_read : bool
        Whether the actual version must be read before the next order.
    not_before : float
        End of the backoff in seconds; no step is taken before.
    failures : int
        Number of consecutive failures, which increase the backoff.
    swapping : bool
        Whether an activation succeeded and its effect has not been read yet.
    grant_wait_version : int
        Activated version for which the wait for a grant is measured.
    grant_wait_started_at : float
        Start of that wait in seconds.
    """

    def __init__(self, fencing_tokens: FencingTokens):
        self.fencing_tokens = fencing_tokens
        self.newest_wanted = 0
        self.active = 0
        self.granted_version = 0
        self.granted_until = 0.0
        self.actual: int | None = None
        self.prepared = 0
        self.ahead = 0
        self.read_at = float("-inf")
        self.must_read = True
        self.not_before = 0.0
        self.failures = 0
        self.swapping = False
        self.grant_wait_version = 0
        self.grant_wait_started_at = 0.0

    def raise_wanted(self, version: int, phase: str):
        """Raise the wanted version; lower and invalid versions are ignored."""
        if not 0 < version <= MAX_VERSION:
            return
        if version > max(self.newest_wanted, self.active):
            # The backoff of the previous version does not apply to a new one.
            self.failures = 0
            self.not_before = 0.0
        self.newest_wanted = max(self.newest_wanted, version)
        if phase == ACTIVATE and version > self.active:
            self.active = version
            self.not_before = 0.0

    def grant(self, version: int, until: float = float("inf")):
        """Allow the download of a version until a time of this process's event loop clock.

        Clocks of two hosts differ, so the message that carries a grant states its remaining
        seconds instead of a time.
        """
        if version < self.granted_version:
            return
        self.granted_version = version
        self.granted_until = until

    def is_granted(self, version, now):
        """Return whether the download of a version is currently allowed."""
        return self.granted_version >= version and now <= self.granted_until

    def observe(self, actual: int, prepared: int, now: float):
        """Record the version that the engine serves and the highest one it has prepared."""
        self.actual = actual
        self.prepared = prepared
        self.must_read = False
        self.read_at = now
        self.ahead = actual if actual > max(self.active, self.newest_wanted) else 0
        if self.swapping and actual < self.active:
            self.back_off(now)
        if actual >= self.active and prepared >= self.newest_wanted:
            self.failures = 0
        self.swapping = False

    def on_action_result(self, action: Action, result: ActionResult, now: float):
        """Handle the result of an action; after any order, the actual version is read next."""
        if action.kind is ActionKind.READ:
            self.must_read = True
            self.back_off(now)
            return
        self.must_read = True
        if result.kind is ResultKind.OK:
            self.swapping = action.kind is ActionKind.ACTIVATE
            return
        if result.kind is ResultKind.FENCED:
            self.on_fenced(action, result)
        self.back_off(now, result.retry_after_s)

    def on_fenced(self, action, result):
        """Raise later fencing tokens above the one that the engine has seen.

        If that token belongs to a version above the wanted ones, the version is reported as
        `ahead`. This does not prevent further orders, since an engine can return any number; the
        version read next determines whether an order is needed.
        """
        self.fencing_tokens.raise_above(result.fencing)
        seen = version_of(result.fencing)
        if seen > max(self.active, self.newest_wanted):
            self.ahead = max(self.ahead, seen)

    def back_off(self, now, at_least_s=0.0):
        """Delay the next step; the delay doubles with each consecutive failure."""
        delay_s = min(INITIAL_BACKOFF_S * 2 ** min(self.failures, 10), MAX_BACKOFF_S)
        self.failures += 1
        self.not_before = max(self.not_before, now + max(delay_s, at_least_s))

    def next_action(self, now: float) -> Action:
        """Return the next step.

        After an order is returned, the actual version must be read again; after an activation it
        is unknown until then.
        """
        if now < self.not_before:
            return Action(ActionKind.WAIT, until=self.not_before)
        if self.must_read or self.actual is None:
            return Action(ActionKind.READ)
        if self.grant_wait_version != self.active:
            self.grant_wait_version = self.active
            self.grant_wait_started_at = now
        order = self.next_order(now)
        if order is None:
            if now - self.read_at >= READ_INTERVAL_S:
                return Action(ActionKind.READ)
            return Action(ActionKind.WAIT, until=self.read_at + READ_INTERVAL_S)
        if self.read_at < now - READ_INTERVAL_S:
            return Action(ActionKind.READ)
        self.must_read = True
        if order.kind is ActionKind.ACTIVATE:
            self.actual = None
        return order

    def next_order(self, now):
        """Return the order that is needed to reach the wanted version, or None.

        An order never has a version below the actual or the activated one.
        """
        if self.actual < self.active:
            if self.prepared == self.active:
                return self.make_order(ActionKind.ACTIVATE, self.active)
            if (
                not self.is_granted(self.active, now)
                and now - self.grant_wait_started_at < GRANT_WAIT_S
            ):
                return None
            return self.make_order(ActionKind.PREPARE, self.active)
        wanted = self.newest_wanted
        if wanted <= max(self.active, self.actual, self.prepared):
            return None
        if self.is_granted(wanted, now):
            return self.make_order(ActionKind.PREPARE, wanted)
        return None

    def make_order(self, kind, version):
        """Return an order for a version with its fencing token."""
        return Action(kind, version, self.fencing_tokens.token(version))

    def eligible_version(self) -> int:
        """Return the actual version, which new work can rely on, or 0 while it is unknown."""
        return self.actual or 0

    def is_converged(self) -> bool:
        """Return whether the target serves the activated version or a higher one."""
        return self.actual is not None and self.actual >= self.active
