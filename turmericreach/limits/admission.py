"""Admission of attempts to the slots of one target."""

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

ROUNDING = 1e-9
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
INTERVAL_WEIGHT = 0.1


class Admission:
    """Slots and queues of one target.

    Ordinary requests may use every slot. Scoring and rollouts together leave the reserved slots
    free, and rollouts stay within their limit as well. A ticket that was refused, withdrawn,
    expired or given up on leaving is forgotten at once, so nothing can start it later.

    Parameters
    ----------
    target_spec : TargetSpec
    service_spec : ServiceSpec
    policy : Policy
    shares : dict of str to float
        Weights of the trainers.
    """

    def __init__(self, target_spec, service_spec, policy, shares=None):
        self.slots = target_spec.slots
        self.max_queue = service_spec.max_queue
        self.floor_share = policy.rollout_floor_share
        self.wanted_reserved = 0
        self.wanted_rollout_limit = None
        self.leaving = False
        self.running = {}
        self.queues = {
            Priority.ORDINARY: collections.OrderedDict(),
            Priority.SCORING: collections.OrderedDict(),
        }
        self.rollouts = FairQueue(service_spec.max_queue, shares)
        self.counts = dict.fromkeys(Priority, 0)
        self.refused = dict.fromkeys(Priority, 0)
        self.lapsed = []
        # Earliest deadline of each class or an earlier time, so that an offer to a full queue
        # does not look at every waiting ticket.
        self.next_expiry = dict.fromkeys(Priority, math.inf)
        self.release_interval_s = 0.0
        self.released_at = None

    @property
    def floor(self):
        """Slots that neither reservations nor the rollout limit take from rollouts."""
        return math.ceil(self.slots * self.floor_share - ROUNDING)

    @property
    def reserved(self):
        """Slots kept for ordinary requests."""
        return max(0, min(self.wanted_reserved, self.slots - self.floor))

    @property
    def rollout_limit(self):
        """Rollouts that may run at the same time."""
        if self.wanted_rollout_limit is None:
            return self.slots
        return max(self.floor, min(self.wanted_rollout_limit, self.slots))

    def offer(self, ticket, now):
        """Ask for a slot.

        Returns
        -------
        Admitted, Queued or Refused
        """
        if self.leaving:
            return self.refuse(ticket, ErrorCode.LEAVING, MIN_RETRY_AFTER_S)
        if ticket.id in self.running or self.is_waiting(ticket.id):
            return self.refuse(ticket, ErrorCode.CONFLICT, 0.0)
        if ticket.expires_at <= now:
            return self.refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, 0.0)
        self.drop_lapsed(ticket.priority, now)
        ahead = self.waiting(ticket.priority)
        if ahead == 0 and self.may_start(ticket.priority):
            self.start(ticket)
            return Admitted()
        if not self.has_room(ticket):
            return self.refuse(ticket, ErrorCode.OVERLOADED, self.retry_after_s(ticket.priority))
        self.enqueue(ticket)
        return Queued(ahead)

    def release(self, ticket_id, now, tokens=None):
        """Free the slot of a ticket that ended.

        Parameters
        ----------
        tokens : float or None
            Tokens that a rollout took, to correct its trainer's account.

        Returns
        -------
        list of str
            Ids to start now; each already holds its slot.
        """
        ticket = self.running.pop(ticket_id, None)
        if ticket is None:
            return []
        self.counts[ticket.priority] -= 1
        if tokens is not None and ticket.priority is Priority.ROLLOUT:
            self.rollouts.correct(ticket, tokens)
        self.note_release(now)
        return self.start_waiting(now)

    def expire(self, now):
        """Drop waiting tickets past their deadline.

        Returns
        -------
        list of str
            Ids that expired since the last call; they never start.
        """
        for priority in Priority:
            self.drop_lapsed(priority, now)
        lapsed = self.lapsed
        self.lapsed = []
        return lapsed

    def withdraw(self, ticket_id):
        """Take a waiting ticket out.

        Returns
        -------
        bool
            True if it was waiting and so never starts, False if it runs or is unknown.
        """
        return self.remove(ticket_id) is not None

    def start_leaving(self):
        """Refuse new tickets and give up those that wait, so that they can run elsewhere.

        Returns
        -------
        list of str
            Ids that waited; they never start here.
        """
        self.leaving = True
        given_up = [ticket.id for priority in Priority for ticket in self.tickets(priority)]
        for ticket_id in given_up:
            self.remove(ticket_id)
        return given_up

    def set_reserved(self, reserved, now):
        """Set the slots kept for ordinary requests, and return the ids to start now."""
        self.wanted_reserved = reserved
        return self.start_waiting(now)

    def set_rollout_limit(self, limit, now):
        """Set the limit of running rollouts, and return the ids to start now."""
        self.wanted_rollout_limit = limit
        return self.start_waiting(now)

    def resize(self, slots, now):
        """Set the number of slots, and return the ids to start now.

        After a reduction, running tickets keep their slots until they end.
        """
        self.slots = slots
        return self.start_waiting(now)

    def configure(self, service_spec, policy, shares, now):
        """Take over a new manifest, and return the ids to start now.

        Waiting tickets stay even if a queue has shrunk.
        """
        self.max_queue = service_spec.max_queue
        self.floor_share = policy.rollout_floor_share
        self.rollouts.capacity = service_spec.max_queue
        self.rollouts.configure(shares)
        return self.start_waiting(now)

    def snapshot(self):
        """Return an `AdmissionSnapshot`."""
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
        """Return whether a slot is free that the class may use."""
        if len(self.running) >= self.slots:
            return False
        if priority is Priority.ORDINARY:
            return True
        others = self.counts[Priority.SCORING] + self.counts[Priority.ROLLOUT]
        if others >= self.slots - self.reserved:
            return False
        return priority is Priority.SCORING or self.counts[Priority.ROLLOUT] < self.rollout_limit

    def start(self, ticket):
        """Give a ticket its slot."""
        if ticket.priority is Priority.ROLLOUT:
            self.rollouts.charge(ticket)
        self.running[ticket.id] = ticket
        self.counts[ticket.priority] += 1

    def start_waiting(self, now):
        """Start what may start, in the order of the classes."""
        started = []
        if self.leaving:
            return started
        for priority in Priority:
            self.drop_lapsed(priority, now)
            while self.waiting(priority) and self.may_start(priority):
                ticket = self.peek(priority)
                self.remove(ticket.id)
                self.start(ticket)
                started.append(ticket.id)
        return started

    def refuse(self, ticket, code, retry_after_s):
        """Count and build a refusal."""
        self.refused[ticket.priority] += 1
        return Refused(code, retry_after_s)

    def retry_after_s(self, priority):
        """Estimate the seconds until the queue of a class has moved on."""
        ahead = sum(self.waiting(name) for name in Priority)
        if priority is Priority.ORDINARY:
            ahead = self.waiting(priority)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, ahead * self.release_interval_s))

    def note_release(self, now):
        """Learn the mean time between two releases while tickets wait."""
        if not any(self.waiting(priority) for priority in Priority):
            self.released_at = None
            return
        if self.released_at is not None:
            interval_s = max(0.0, now - self.released_at)
            self.release_interval_s += INTERVAL_WEIGHT * (interval_s - self.release_interval_s)
        self.released_at = now

    def drop_lapsed(self, priority, now):
        """Take out the tickets of a class past their deadline; `expire` reports them."""
        if now < self.next_expiry[priority]:
            return
        next_expiry = math.inf
        for ticket in self.tickets(priority):
            if ticket.expires_at > now:
                next_expiry = min(next_expiry, ticket.expires_at)
                continue
            self.remove(ticket.id)
            self.lapsed.append(ticket.id)
        self.next_expiry[priority] = next_expiry

    def has_room(self, ticket):
        """Return whether the queue of the ticket's class is not full."""
        if ticket.priority is Priority.ROLLOUT:
            return self.rollouts.has_room(ticket.trainer)
        return len(self.queues[ticket.priority]) < self.max_queue

    def enqueue(self, ticket):
        """Put a ticket at the end of its queue."""
        priority = ticket.priority
        self.next_expiry[priority] = min(self.next_expiry[priority], ticket.expires_at)
        if ticket.priority is Priority.ROLLOUT:
            self.rollouts.push(ticket)
            return
        self.queues[ticket.priority][ticket.id] = ticket

    def peek(self, priority):
        """Return the next ticket of a class whose queue is not empty."""
        if priority is Priority.ROLLOUT:
            return self.rollouts.peek()
        return next(iter(self.queues[priority].values()))

    def remove(self, ticket_id):
        """Take a waiting ticket out of its queue, and return it or None."""
        for queue in self.queues.values():
            ticket = queue.pop(ticket_id, None)
            if ticket is not None:
                return ticket
        return self.rollouts.remove(ticket_id)

    def is_waiting(self, ticket_id):
        """Return whether a ticket waits."""
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
