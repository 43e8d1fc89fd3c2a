"""Rollouts that one lot may start at each engine."""

import math

import attrs

from turmericreach.routing.model import TargetState

__all__ = ["RolloutRoom", "rollout_room"]


@attrs.frozen
class RolloutRoom:
    """An engine and the rollouts that a lot may start on it.

    Attributes
    ----------
    speed : float
        Tokens a second of one stream, 0 if unknown.
    """

    target: str
    version: int
    free: int
    speed: float


def rollout_room(table, service, share, outstanding):
    """Return the engines of a service with the rollouts that a lot may start on them.

    Parameters
    ----------
    table : RoutingTable
    share : float
        The trainer's share of the engines, 0 to 1. A lot may always have as many rollouts in
        flight as its share, however much other lots have queued.
    outstanding : int
        Rollouts that the lot has in flight.

    Returns
    -------
    list of RolloutRoom
    """
    policy = table.policy
    rooms = []
    total_slots = 0
    for record in table.records.values():
        if record.spec.service != service or record.state is not TargetState.LIVE:
            continue
        total_slots += record.slots
        ahead = max(1, int(min(record.slots * policy.queue_ahead_share, policy.max_waiting)))
        free = max(0, record.slots + ahead - record.load_view())
        speed = record.speed or record.spec.speed
        rooms.append(RolloutRoom(record.spec.name, record.version, free, speed))
    waiting = min(total_slots * (policy.lot_queue_factor - 1), policy.max_waiting * len(rooms))
    owed = math.ceil((total_slots + waiting) * share) - outstanding
    if sum(room.free for room in rooms) >= owed:
        return rooms
    return spread(rooms, owed, policy.spread_by_speed)


def spread(rooms, slots, by_speed):
    """Return the engines with at least `slots` free slots in total.

    The slots are divided evenly, or by speed, so that a queue at a slow engine does not last
    longer than one at a fast engine.
    """
    raised = []
    left = slots
    weight = {room.target: (room.speed if by_speed else 0.0) or 1.0 for room in rooms}
    weight_left = sum(weight.values())
    for room in sorted(rooms, key=lambda room: -weight[room.target]):
        portion = math.ceil(left * weight[room.target] / weight_left)
        weight_left -= weight[room.target]
        left -= portion
        raised.append(attrs.evolve(room, free=max(room.free, portion)))
    return raised
