"""Choice of a target for one request."""

from collections.abc import Collection, Iterable

from turmericreach.services import Target

__all__ = ["choose_target", "hedge_delay_s"]

# Assumed response time of a target that has not responded yet.
DEFAULT_LATENCY_S = 0.05
# Older load reports are ignored, since the requests of other processes have changed since then.
LOAD_MAX_AGE_S = 1.5
# The request is also sent to a second target once the first one has taken this many times its usual
# response time, but not before HEDGE_MIN_S.
HEDGE_FACTOR = 4.0
HEDGE_MIN_S = 0.12
# Fraction of the remaining time after which a second target gets the request in any case.
HEDGE_REMAINING_SHARE = 0.4


def choose_target(
    candidates: Iterable[Target],
    now: float,
    data_centre: str,
    excluded: Collection[str] = (),
) -> Target | None:
    """Return the target with the shortest expected wait, or None.

    A suspected target is chosen only if there is no other. Among targets with equal expected waits,
    one in the same data centre is preferred.

    Parameters
    ----------
    candidates : iterable of Target
        Targets of the service that accept requests.
    now : float
        Loop time in seconds.
    data_centre : str
        Data centre of this process.
    excluded : collection of str
        Ids of the targets that must not be chosen.
    """
    best, best_key = None, None
    for target in candidates:
        if target.id in excluded:
            continue
        key = (
            target.is_suspected(now),
            round(expected_wait_s(target, now), 3),
            target.record.data_centre != data_centre,
            target.in_flight,
            target.id,
        )
        if best_key is None or key < best_key:
            best, best_key = target, key
    return best


def expected_wait_s(target: Target, now: float) -> float:
    """Return the expected seconds until a target would respond to one more request."""
    latency_s = target.latency_s or DEFAULT_LATENCY_S
    requests = target.in_flight
    if target.load is not None and now - target.load.at < LOAD_MAX_AGE_S:
        requests = max(requests, target.load.running + target.load.waiting)
    queued = max(requests + 1 - target.record.slots, 0)
    # Targets become slower before all of their slots are occupied.
    utilization = requests / target.record.slots
    return latency_s * (1.0 + 0.5 * utilization + queued / target.record.slots)


def hedge_delay_s(target: Target, remaining_s: float) -> float:
    """Return the seconds to wait for a response before the request is sent to a second target.

    Parameters
    ----------
    target : Target
        Target that has the request.
    remaining_s : float
        Seconds until the deadline of the request.
    """
    usual_s = HEDGE_FACTOR * (target.latency_s or DEFAULT_LATENCY_S)
    return min(max(usual_s, HEDGE_MIN_S), HEDGE_REMAINING_SHARE * remaining_s)
