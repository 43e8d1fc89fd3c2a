"""Candidates of a target choice, random sampling, and reasons for ineligible targets."""

import attrs

from turmericreach.routing.model import Refusal, TargetState
from turmericreach.routing.target_record import TargetRecord
from turmericreach.verdicts import ErrorCode

__all__ = ["Candidate", "Ineligibility", "build_refusal", "sample_eligible"]

DRAWS_PER_SAMPLE = 4
RETRY_AFTER_S = 1.0


@attrs.frozen
class Candidate:
    """An eligible target.

    Attributes
    ----------
    name : str
    record : TargetRecord
    completion_s : float
        Expected seconds until the target has completed the request.
    """

    name: str
    record: TargetRecord
    completion_s: float


@attrs.frozen
class Ineligibility:
    """Reason why a target is not eligible.

    Attributes
    ----------
    code : ErrorCode
    retry_after_s : float
        Seconds after which the target may be eligible.
    reason : str
        Reason in words.
    """

    code: ErrorCode
    retry_after_s: float
    reason: str


def sample_eligible(rng, names, count, eligible):
    """Return up to `count` distinct eligible names, sampled at random.

    Rejection sampling keeps the cost independent of the number of targets. It may find fewer names
    than there are, so the caller checks all names if none of the sampled ones is usable.

    Parameters
    ----------
    rng : random.Random
    names : list of str
    count : int
    eligible : callable
        Takes a name and returns whether it may be chosen.

    Returns
    -------
    list of str
    """
    if len(names) <= count * DRAWS_PER_SAMPLE:
        usable = [name for name in names if eligible(name)]
        return usable if len(usable) <= count else rng.sample(usable, count)
    found = []
    for _ in range(count * DRAWS_PER_SAMPLE):
        name = names[rng.randrange(len(names))]
        if name in found or not eligible(name):
            continue
        found.append(name)
        if len(found) == count:
            break
    return found


def state_ineligibility(record):
    """Return the `Ineligibility` of a target that is drained or not live, or None."""
    if record.spec.drain:
        return Ineligibility(ErrorCode.NO_TARGET, RETRY_AFTER_S, "drained")
    if record.state is not TargetState.LIVE:
        return Ineligibility(ErrorCode.NO_TARGET, RETRY_AFTER_S, str(record.state))
    return None


# A refusal carries the error code of the target that is closest to being usable: the lowest rank.
CODE_RANK = {
    ErrorCode.OVERLOADED: 0,
    ErrorCode.CIRCUIT_OPEN: 1,
    ErrorCode.NOT_READY: 2,
    ErrorCode.NO_TARGET: 3,
}


def build_refusal(service, ineligibilities):
    """Build the `Refusal` for a service that has no eligible target."""
    if not ineligibilities:
        return Refusal(ErrorCode.NO_TARGET, RETRY_AFTER_S, f"{service}: no target left to try")
    best = min(ineligibilities, key=lambda item: (CODE_RANK[item.code], item.retry_after_s))
    reasons = ", ".join(sorted({item.reason for item in ineligibilities}))
    return Refusal(best.code, best.retry_after_s, f"{service}: all targets excluded: {reasons}")
