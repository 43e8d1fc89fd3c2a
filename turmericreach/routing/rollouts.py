"""Number of rollouts that a lot may start on each engine."""

import math

import attrs

from turmericreach.routing.model import TargetState

__all__ = ["RolloutCapacity", "rollout_capacity"]


@attrs.frozen
class RolloutCapacity:
    """Rollouts that a lot may start on one engine.

    Attributes
    ----------
    target : str
        Name of the engine.
    version : int
        Weight version of the engine.
    free : int
        Rollouts that the lot may start.
    speed : float
        Tokens per second of one stream, 0 if unknown.
    """

    target: str
    version: int
    free: int
    speed: float


def rollout_capacity(table, service, share, outstanding):
    """Return the number of rollouts that a lot may start on each live engine of a service.

    Parameters
    ----------
    table : RoutingTable
    service : str
    share : float
        The trainer's share of the engines, 0 to 1. A lot may always have rollouts in flight up to
        `RoutingPolicy.lot_queue_factor` times this share of the slots, with at most `max_waiting`
        waiting at each engine, however many rollouts other lots have queued.
    outstanding : int
        Rollouts that the lot has in flight.

    Returns
    -------
    list of RolloutCapacity
    """
    policy = table.policy
    capacities = []
    total_slots = 0
    for record in table.records.values():
        if record.spec.service != service or record.state is not TargetState.LIVE:
            continue
        total_slots += record.slots
        max_queued = max(1, int(min(record.slots * policy.queue_ahead_share, policy.max_waiting)))
        free = max(0, record.slots + max_queued - record.estimated_load())
        speed = record.speed or record.spec.speed
        capacities.append(RolloutCapacity(record.spec.name, record.version, free, speed))
    waiting = min(total_slots * (policy.lot_queue_factor - 1), policy.max_waiting * len(capacities))
    guaranteed = math.ceil((total_slots + waiting) * share) - outstanding
    if sum(capacity.free for capacity in capacities) >= guaranteed:
        return capacities
    return raise_to_total(capacities, guaranteed, policy.spread_by_speed)


def raise_to_total(capacities, total, by_speed):
    """Return the capacities raised so that they sum to at least `total` rollouts.

    The rollouts are divided evenly or in proportion to speed. In proportion to speed, a queue at a
    slow engine takes no longer to process than one at a fast engine.
    """
    raised = []
    remaining = total
    weight = {
        capacity.target: (capacity.speed if by_speed else 0.0) or 1.0 for capacity in capacities
    }
    remaining_weight = sum(weight.values())
    for capacity in sorted(capacities, key=lambda capacity: -weight[capacity.target]):
        portion = math.ceil(remaining * weight[capacity.target] / remaining_weight)
        remaining_weight -= weight[capacity.target]
        remaining -= portion
        raised.append(attrs.evolve(capacity, free=max(capacity.free, portion)))
    return raised
