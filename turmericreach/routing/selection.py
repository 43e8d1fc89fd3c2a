"""Scoring of candidates and the reasons why there is none."""

import attrs

from turmericreach.routing.learned import TargetRecord
from turmericreach.routing.model import Refusal, TargetState
from turmericreach.verdicts import ErrorCode

__all__ = ["Candidate", "Obstacle", "draw", "refusal"]

DRAWS_PER_SAMPLE = 4
RETRY_AFTER_S = 1.0


@attrs.frozen
class Candidate:
    """An eligible target and the seconds until it would have completed the request."""

    name: str
    record: TargetRecord
    completion_s: float


@attrs.frozen
class Obstacle:
    """Why a target is not eligible."""

    code: ErrorCode
    retry_after_s: float
    reason: str


def draw(rng, names, count, eligible):
    """Draw up to `count` different eligible names without a pass over all of them.

    Drawing by rejection keeps the cost independent of the fleet's size. It may find fewer names
    than there are, so the caller falls back to a full pass when nothing is found.
    """
    if len(names) <= count * DRAWS_PER_SAMPLE:
        fit = [name for name in names if eligible(name)]
        return fit if len(fit) <= count else rng.sample(fit, count)
    found = []
    for _ in range(count * DRAWS_PER_SAMPLE):
        name = names[rng.randrange(len(names))]
        if name in found or not eligible(name):
            continue
        found.append(name)
        if len(found) == count:
            break
    return found


def state_obstacle(record):
    """Return the obstacle of a target that is not live or is drained, or None."""
    if record.spec.drain:
        return Obstacle(ErrorCode.NO_TARGET, RETRY_AFTER_S, "drained")
    if record.state is not TargetState.LIVE:
        return Obstacle(ErrorCode.NO_TARGET, RETRY_AFTER_S, str(record.state))
    return None


# The order decides which obstacle a refusal names: the one closest to a usable target.
OBSTACLE_RANK = {
    ErrorCode.OVERLOADED: 0,
    ErrorCode.CIRCUIT_OPEN: 1,
    ErrorCode.NOT_READY: 2,
    ErrorCode.NO_TARGET: 3,
}


def refusal(service, obstacles):
    """Build the refusal for a service all of whose targets have an obstacle."""
    if not obstacles:
        return Refusal(ErrorCode.NO_TARGET, RETRY_AFTER_S, f"{service}: no target left to try")
    best = min(obstacles, key=lambda item: (OBSTACLE_RANK[item.code], item.retry_after_s))
    reasons = ", ".join(sorted({item.reason for item in obstacles}))
    return Refusal(best.code, best.retry_after_s, f"{service}: all targets excluded: {reasons}")
