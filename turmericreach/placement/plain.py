"""Choice of a target for one request."""

from collections.abc import Collection, Iterable

from turmericreach.services import Target

__all__ = ["choose_target", "hedge_delay_s"]

# Assumed until a target has answered.
DEFAULT_LATENCY_S = 0.05
# Told load is used this long; afterwards other processes' requests have changed.
LOAD_FRESH_S = 1.5
# A second target is asked when the first takes this many times its usual time.
HEDGE_FACTOR = 4.0
HEDGE_MIN_S = 0.12
# Share of the time left after which a second target is asked in any case.
HEDGE_SHARE = 0.4


def choose_target(
    candidates: Iterable[Target],
    now: float,
    data_centre: str,
    excluded: Collection[str] = (),
) -> Target | None:
    """Return the target with the shortest expected wait, or None.

    Targets that failed recently are chosen only if there is no other; among equals, one in the
    same data centre is.
    """
    best, best_key = None, None
    for target in candidates:
        if target.id in excluded:
            continue
        key = (
            target.is_suspect(now),
            round(expected_wait_s(target, now), 3),
            target.record.data_centre != data_centre,
            target.in_flight,
            target.id,
        )
        if best_key is None or key < best_key:
            best, best_key = target, key
    return best


def expected_wait_s(target: Target, now: float) -> float:
    """Return the time until a target would have answered one more request."""
    latency_s = target.latency_s or DEFAULT_LATENCY_S
    requests = target.in_flight
    if target.load is not None and now - target.load.at < LOAD_FRESH_S:
        requests = max(requests, target.load.running + target.load.waiting)
    queued = max(requests + 1 - target.record.slots, 0)
    # Targets slow down before all slots are taken.
    crowding = requests / target.record.slots
    return latency_s * (1.0 + 0.5 * crowding + queued / target.record.slots)


def hedge_delay_s(target: Target, time_left_s: float) -> float:
    """Return how long a target may be silent before another is asked as well."""
    usual_s = HEDGE_FACTOR * (target.latency_s or DEFAULT_LATENCY_S)
    return min(max(usual_s, HEDGE_MIN_S), HEDGE_SHARE * time_left_s)
