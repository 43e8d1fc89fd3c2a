"""Choice of a target for one request."""

import math
import random
from collections.abc import Collection, Iterable

from turmericreach.services import Target

__all__ = ["choose_target", "expected_wait_s", "hedge_delay_s", "spread_choice"]

# Assumed response time of a target that has not responded yet.
DEFAULT_LATENCY_S = 0.05
# Older load reports are ignored, since the requests of other processes have changed since then.
LOAD_MAX_AGE_S = 1.5
# Time in which a reported slowdown and the requests of other processes lose most of their weight.
# The slowdown of a host is drawn anew about every 0.6 s.
REPORT_DECAY_S = 0.4
# Targets whose expected waits exceed the shortest one by less than this factor are taken as equal.
# Two more requests at a target of 6 slots make a difference of 1.17.
EQUAL_WAIT_FACTOR = 1.25
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


def spread_choice(
    candidates: Iterable[Target],
    now: float,
    data_centre: str,
    excluded: Collection[str],
    rng: random.Random,
) -> Target | None:
    """Return a target with a nearly shortest expected wait, or None.

    Load pattern: a hundred processes share a few targets whose reports change many times a second,
    and each of them sees only the reports in its own responses. If all of them chose the target
    that looks best, they would meet there, and leave it together with the next reports. So each
    process draws two of the targets with about the shortest expected wait, and takes the better
    one. Targets that report no slowdown are chosen as by `choose_target`.

    Parameters
    ----------
    candidates, now, data_centre, excluded
        As for `choose_target`.
    rng : random.Random
        Source of random numbers, seeded differently in each process.
    """
    usable = [target for target in candidates if target.id not in excluded]
    trusted = [target for target in usable if not target.is_suspected(now)] or usable
    if all(target.load is None or target.load.slowdown is None for target in trusted):
        return choose_target(trusted, now, data_centre)
    waits_s = [expected_wait_s(target, now) for target in trusted]
    limit_s = EQUAL_WAIT_FACTOR * min(waits_s)
    best = [target for target, wait_s in zip(trusted, waits_s, strict=True) if wait_s <= limit_s]
    return choose_target(rng.sample(best, min(len(best), 2)), now, data_centre)


def expected_wait_s(target: Target, now: float) -> float:
    """Return the expected seconds until a target would respond to one more request.

    If the target reports its slowdown, the report counts the less the older it is; the averages
    over many reports take its place.
    """
    if target.load is not None and target.load.slowdown is not None:
        return expected_slowed_wait_s(target, now)
    latency_s = target.latency_s or DEFAULT_LATENCY_S
    requests = target.in_flight
    if target.load is not None and now - target.load.at < LOAD_MAX_AGE_S:
        requests = max(requests, target.load.running + target.load.waiting)
    return queueing_s(latency_s, requests, target.record.slots)


def expected_slowed_wait_s(target: Target, now: float) -> float:
    """Return the same for a target that reports its slowdown."""
    weight = math.exp(-max(now - target.load.at, 0.0) / REPORT_DECAY_S)
    latency_s = target.latency_s or DEFAULT_LATENCY_S
    present_s = (target.usual_latency_s or latency_s) * target.load.slowdown
    others = target.usual_others + weight * (target.reported_others - target.usual_others)
    return queueing_s(
        latency_s + weight * (present_s - latency_s),
        target.in_flight + others,
        target.record.slots,
    )


def queueing_s(latency_s: float, requests: float, slots: int) -> float:
    """Return the expected response time of one more request beside a number of others."""
    queued = max(requests + 1 - slots, 0)
    # Targets become slower before all of their slots are occupied.
    utilization = requests / slots
    return latency_s * (1.0 + 0.5 * utilization + queued / slots)


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
