"""Admission control for the slots of one target."""

import collections
import math

from turmericreach.limits.fairness import FairQueue
from turmericreach.limits.model import (
    AdmissionSnapshot,
    Admitted,
    Priority,
    Queued,
    Refused,
)
from turmericreach.verdicts import ErrorCode

__all__ = ["Admission"]

ROUNDING_TOLERANCE = 1e-9
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
INTERVAL_EWMA_WEIGHT = 0.1


class Admission:
    """Slots and queues of one target.

    Ordinary requests may use every slot. Scoring and rollouts together leave the reserved slots
    free, and rollouts also stay within the rollout limit. A ticket that was rejected, withdrawn,
    expired or abandoned on leaving is removed at once, so that it can't start later.

    Parameters
    ----------
    target_spec : TargetSpec
        Its `slots` is the number of slots.
    service_spec : ServiceSpec
        Its `max_queue` is the capacity of each queue.
    policy : Policy
        Its `rollout_floor_share` gives the slots that remain available to rollouts.
    shares : dict of str to float or None
        Weights of the trainers.
    """

    def __init__(self, target_spec, service_spec, policy, shares=None):
        self.slots = target_spec.slots
        self.max_queue = service_spec.max_queue
        self.floor_share = policy.rollout_floor_share
        self.requested_reserved = 0
        self.requested_rollout_limit = None
        self.leaving = False
        self.running = {}
        self.queues = {
            Priority.ORDINARY: collections.OrderedDict(),
            Priority.SCORING: collections.OrderedDict(),
        }
        self.rollouts = FairQueue(service_spec.max_queue, shares)
        self.counts = dict.fromkeys(Priority, 0)
        self.refused = dict.fromkeys(Priority, 0)
        self.expired_ids = []
        # Lower bound of the deadlines of each class, so that an offer to a full queue does not
        # iterate over all waiting tickets.
        self.next_expiry = dict.fromkeys(Priority, math.inf)
        self.release_interval_s = 0.0
        self.released_at = None

    @property
    def floor(self):
        """Slots that stay available to rollouts despite reservations and the rollout limit."""
        return math.ceil(self.slots * self.floor_share - ROUNDING_TOLERANCE)

    @property
    def reserved(self):
        """Slots kept for ordinary requests, bounded so that the floor remains."""
        return max(0, min(self.requested_reserved, self.slots - self.floor))

    @property
    def rollout_limit(self):
        """Rollouts that may run at the same time, at least the floor."""
        if self.requested_rollout_limit is None:
            return self.slots
        return max(self.floor, min(self.requested_rollout_limit, self.slots))

    def offer(self, ticket, now):
        """Start, queue or reject a ticket.

        Returns
        -------
        Admitted, Queued or Refused
        """
        if self.leaving:
            return self.reject(ticket, ErrorCode.LEAVING, MIN_RETRY_AFTER_S)
        if ticket.id in self.running or self.is_waiting(ticket.id):
            return self.reject(ticket, ErrorCode.CONFLICT, 0.0)
        if ticket.expires_at <= now:
            return self.reject(ticket, ErrorCode.DEADLINE_EXCEEDED, 0.0)
        self.expire_class(ticket.priority, now)
        ahead = self.waiting(ticket.priority)
        if ahead == 0 and self.may_start(ticket.priority):
            self.start(ticket)
            return Admitted()
        if not self.has_queue_space(ticket):
            return self.reject(ticket, ErrorCode.OVERLOADED, self.retry_after_s(ticket.priority))
        self.enqueue(ticket)
        return Queued(ahead)

    def release(self, ticket_id, now, tokens=None):
        """Release the slot of a ticket that ended.

        Parameters
        ----------
        tokens : float or None
            Tokens that a rollout took, which replace the expected cost charged to its trainer.

        Returns
        -------
        list of str
            Ids of waiting tickets to start now; each already holds its slot.
        """
        ticket = self.running.pop(ticket_id, None)
        if ticket is None:
            return []
        self.counts[ticket.priority] -= 1
        if tokens is not None and ticket.priority is Priority.ROLLOUT:
            self.rollouts.correct_cost(ticket, tokens)
        self.record_release(now)
        return self.start_waiting(now)

    def expire(self, now):
        """Remove waiting tickets past their deadline.

        Returns
        -------
        list of str
            Ids that expired since the last call; they never start.
        """
        for priority in Priority:
            self.expire_class(priority, now)
        expired_ids = self.expired_ids
        self.expired_ids = []
        return expired_ids

    def withdraw(self, ticket_id):
        """Remove a ticket if it is waiting.

        Returns
        -------
        bool
            True if it was waiting and so never starts, False if it runs or is unknown.
        """
        return self.remove(ticket_id) is not None

    def start_leaving(self):
        """Reject new tickets from now on and abandon waiting ones, so that they can run elsewhere.

        Returns
        -------
        list of str
            Ids of the tickets that were waiting; they never start here.
        """
        self.leaving = True
        abandoned = [ticket.id for priority in Priority for ticket in self.tickets(priority)]
        for ticket_id in abandoned:
            self.remove(ticket_id)
        return abandoned

    def set_reserved(self, reserved, now):
        """Set the slots kept for ordinary requests, and return the ids to start now."""
        self.requested_reserved = reserved
        return self.start_waiting(now)

    def set_rollout_limit(self, limit, now):
        """Set the limit of rollouts that run at the same time, and return the ids to start now."""
        self.requested_rollout_limit = limit
        return self.start_waiting(now)

    def resize(self, slots, now):
        """Set the number of slots, and return the ids to start now.

        After a reduction, running tickets keep their slots until they end.
        """
        self.slots = slots
        return self.start_waiting(now)

    def configure(self, service_spec, policy, shares, now):
        """Apply a new manifest, and return the ids to start now.

        Waiting tickets stay in their queue even if they exceed its new capacity.
        """
        self.max_queue = service_spec.max_queue
        self.floor_share = policy.rollout_floor_share
        self.rollouts.capacity = service_spec.max_queue
        self.rollouts.configure(shares)
        return self.start_waiting(now)

    def snapshot(self):
        """Return the current state as an `AdmissionSnapshot`."""
        return AdmissionSnapshot(
            slots=self.slots,
            reserved=self.reserved,
            rollout_limit=self.rollout_limit,
            leaving=self.leaving,
            running={str(name): count for name, count in self.counts.items()},
            waiting={str(name): self.waiting(name) for name in Priority},
            refused={str(name): count for name, count in self.refused.items()},
            served={name: flow.served for name, flow in self.rollouts.flows.items()},
        )

    def may_start(self, priority):
        """Return whether there is a free slot that the class may use."""
        if len(self.running) >= self.slots:
            return False
        if priority is Priority.ORDINARY:
            return True
        others = self.counts[Priority.SCORING] + self.counts[Priority.ROLLOUT]
        if others >= self.slots - self.reserved:
            return False
        return priority is Priority.SCORING or self.counts[Priority.ROLLOUT] < self.rollout_limit

    def start(self, ticket):
        """Assign a slot to a ticket."""
        if ticket.priority is Priority.ROLLOUT:
            self.rollouts.charge(ticket)
        self.running[ticket.id] = ticket
        self.counts[ticket.priority] += 1

    def start_waiting(self, now):
        """Start waiting tickets that have a slot, in order of priority, and return their ids."""
        started = []
        if self.leaving:
            return started
        for priority in Priority:
            self.expire_class(priority, now)
            while self.waiting(priority) and self.may_start(priority):
                ticket = self.peek(priority)
                self.remove(ticket.id)
                self.start(ticket)
                started.append(ticket.id)
        return started

    def reject(self, ticket, code, retry_after_s):
        """Count a rejected ticket, and return the `Refused` for it."""
        self.refused[ticket.priority] += 1
        return Refused(code, retry_after_s)

    def retry_after_s(self, priority):
        """Estimate the seconds until the tickets ahead of a new ticket of a class have started."""
        ahead = sum(self.waiting(name) for name in Priority)
        if priority is Priority.ORDINARY:
            ahead = self.waiting(priority)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, ahead * self.release_interval_s))

    def record_release(self, now):
        """Update the moving average of the time between releases while tickets are waiting."""
        if not any(self.waiting(priority) for priority in Priority):
            self.released_at = None
            return
        if self.released_at is not None:
            interval_s = max(0.0, now - self.released_at)
            self.release_interval_s += INTERVAL_EWMA_WEIGHT * (interval_s - self.release_interval_s)
        self.released_at = now

    def expire_class(self, priority, now):
        """Remove the waiting tickets of a class past their deadline; `expire` returns their ids."""
        if now < self.next_expiry[priority]:
            return
        next_expiry = math.inf
        for ticket in self.tickets(priority):
            if ticket.expires_at > now:
                next_expiry = min(next_expiry, ticket.expires_at)
                continue
            self.remove(ticket.id)
            self.expired_ids.append(ticket.id)
        self.next_expiry[priority] = next_expiry

    def has_queue_space(self, ticket):
        """Return whether the ticket may be added to the queue of its class."""
        if ticket.priority is Priority.ROLLOUT:
            return self.rollouts.has_space(ticket.trainer)
        return len(self.queues[ticket.priority]) < self.max_queue

    def enqueue(self, ticket):
        """Append a ticket to its queue."""
        priority = ticket.priority
        self.next_expiry[priority] = min(self.next_expiry[priority], ticket.expires_at)
        if ticket.priority is Priority.ROLLOUT:
            self.rollouts.push(ticket)
            return
        self.queues[ticket.priority][ticket.id] = ticket

    def peek(self, priority):
        """Return the next ticket of a class, whose queue must not be empty."""
        if priority is Priority.ROLLOUT:
            return self.rollouts.peek()
        return next(iter(self.queues[priority].values()))

    def remove(self, ticket_id):
        """Remove a waiting ticket from its queue, and return it, or None if it does not wait."""
        for queue in self.queues.values():
            ticket = queue.pop(ticket_id, None)
            if ticket is not None:
                return ticket
        return self.rollouts.remove(ticket_id)

    def is_waiting(self, ticket_id):
        """Return whether a ticket is in a queue."""
        return ticket_id in self.rollouts or any(
            ticket_id in queue for queue in self.queues.values()
        )

    def tickets(self, priority):
        """Return the waiting tickets of a class."""
        if priority is Priority.ROLLOUT:
            return self.rollouts.tickets()
        return list(self.queues[priority].values())

    def waiting(self, priority):
        """Return the number of waiting tickets of a class."""
        if priority is Priority.ROLLOUT:
            return len(self.rollouts)
        return len(self.queues[priority])
