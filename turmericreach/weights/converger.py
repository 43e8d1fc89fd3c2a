"""Convergence of one target on its wanted weight version, decided in its agent."""

import enum

import attrs

from turmericreach.weights.fencing import MAX_VERSION, FencingNumbers, version_of
from turmericreach.weights.wanted import ACTIVATE

__all__ = [
    "Action",
    "ActionKind",
    "ActionResult",
    "ResultKind",
    "TargetConverger",
]

FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 10.0
# Engines swap by themselves after a crash, so the real version is read also without orders.
READ_EVERY_S = 2.0
# An activated version that the target does not hold waits this long for a grant of the rollout
# duty, so that the targets do not all download at once; without a duty they still converge.
UNGRANTED_S = 5.0


class ActionKind(enum.StrEnum):
    """What the agent is to do next."""

    READ = "read"
    PREPARE = "prepare"
    ACTIVATE = "activate"
    WAIT = "wait"


@attrs.frozen
class Action:
    """Next step for a target.

    Attributes
    ----------
    until : float
        For ``wait``: when to ask again, seconds of the loop's clock.
    """

    kind: ActionKind
    version: int = 0
    fencing: int = 0
    until: float = 0.0


class ResultKind(enum.StrEnum):
    """How an order ended."""

    OK = "ok"
    FAILED = "failed"
    BUSY = "busy"
    FENCED = "fenced"
    LOST = "lost"


@attrs.frozen
class ActionResult:
    """Answer to an action; a lost one may have taken effect.

    Attributes
    ----------
    fencing : int
        For ``fenced``: the highest number that the engine has seen.
    retry_after_s : float
        For ``busy``: wait asked for by the weight store.
    """

    kind: ResultKind
    fencing: int = 0
    retry_after_s: float = 0.0
    error: str = ""


class TargetConverger:
    """State machine of one target; it never orders a version below a known one.

    Attributes
    ----------
    actual : int or None
        Version read last; None when an order may have changed it since.
    ahead : int
        Version above the wanted one that the engine was found on, 0 for none; to be reported.
    granted : int
        Version that the rollout duty allows to be prepared before activation.
    """

    def __init__(self, numbers: FencingNumbers):
        self.numbers = numbers
        self.preparing = 0
        self.active = 0
        self.granted = 0
        self.granted_until = 0.0
        self.actual: int | None = None
        self.prepared = 0
        self.ahead = 0
        self.read_at = float("-inf")
        self.must_read = True
        self.not_before = 0.0
        self.failures = 0
        self.swapping = False
        self.needed = 0
        self.needed_since = 0.0

    def want(self, version: int, phase: str):
        """Raise the wanted version; lower ones are ignored."""
        if not 0 < version <= MAX_VERSION:
            return
        if version > max(self.preparing, self.active):
            # A new version does not wait for the backoff of the former one.
            self.failures = 0
            self.not_before = 0.0
        self.preparing = max(self.preparing, version)
        if phase == ACTIVATE and version > self.active:
            self.active = version
            self.not_before = 0.0

    def grant(self, version: int, until: float = float("inf")):
        """Allow the download of a version until a time of the own loop's clock.

        Clocks of two hosts differ, so the message carries the seconds that a grant still has.
        """
        if version < self.granted:
            return
        self.granted = version
        self.granted_until = until

    def is_granted(self, version, now):
        """Tell whether a download of a version is allowed now."""
        return self.granted >= version and now <= self.granted_until

    def observe(self, actual: int, prepared: int, now: float):
        """Take over what the engine says that it serves and holds."""
        self.actual = actual
        self.prepared = prepared
        self.must_read = False
        self.read_at = now
        self.ahead = actual if actual > max(self.active, self.preparing) else 0
        if self.swapping and actual < self.active:
            self.back_off(now)
        if actual >= self.active and prepared >= self.preparing:
            self.failures = 0
        self.swapping = False

    def on_action_result(self, action: Action, result: ActionResult, now: float):
        """Take over the answer to an action; the real version is always read after an order."""
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
        """Raise the numbers above the one that the engine has seen.

        The number of a higher version is reported. It does not stop the orders, since an engine
        may name any number, and the version read next decides whether an order is needed.
        """
        self.numbers.raise_above(result.fencing)
        seen = version_of(result.fencing)
        if seen > max(self.active, self.preparing):
            self.ahead = max(self.ahead, seen)

    def back_off(self, now, at_least_s=0.0):
        """Wait longer after each failure in a row."""
        delay_s = min(FIRST_BACKOFF_S * 2 ** min(self.failures, 10), MAX_BACKOFF_S)
        self.failures += 1
        self.not_before = max(self.not_before, now + max(delay_s, at_least_s))

    def next_action(self, now: float) -> Action:
        """Return the next step; an order marks the real version as unknown until it is read."""
        if now < self.not_before:
            return Action(ActionKind.WAIT, until=self.not_before)
        if self.must_read or self.actual is None:
            return Action(ActionKind.READ)
        if self.needed != self.active:
            self.needed = self.active
            self.needed_since = now
        order = self.next_order(now)
        if order is None:
            if now - self.read_at >= READ_EVERY_S:
                return Action(ActionKind.READ)
            return Action(ActionKind.WAIT, until=self.read_at + READ_EVERY_S)
        if self.read_at < now - READ_EVERY_S:
            return Action(ActionKind.READ)
        self.must_read = True
        if order.kind is ActionKind.ACTIVATE:
            self.actual = None
        return order

    def next_order(self, now):
        """Return the order that brings the target nearer to the wanted version, if any.

        An order never names a version below the real one or below the activated one.
        """
        if self.actual < self.active:
            if self.prepared == self.active:
                return self.order(ActionKind.ACTIVATE, self.active)
            if not self.is_granted(self.active, now) and now - self.needed_since < UNGRANTED_S:
                return None
            return self.order(ActionKind.PREPARE, self.active)
        wanted = self.preparing
        if wanted <= max(self.active, self.actual, self.prepared):
            return None
        if self.is_granted(wanted, now):
            return self.order(ActionKind.PREPARE, wanted)
        return None

    def order(self, kind, version):
        """Return an order with its fencing number."""
        return Action(kind, version, self.numbers.number(version))

    def eligible_version(self) -> int:
        """Return the version that new work may count on, 0 while it is not known."""
        return self.actual or 0

    def is_converged(self) -> bool:
        """Tell whether the target serves the activated version or a higher one."""
        return self.actual is not None and self.actual >= self.active
