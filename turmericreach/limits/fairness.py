"""Start-time fair queueing of rollouts among trainers."""

import collections

import attrs

__all__ = ["FairQueue"]

DEFAULT_SHARE = 1.0


@attrs.define
class Flow:
    """Queue and account of one trainer.

    Attributes
    ----------
    tickets : collections.OrderedDict of str to Ticket
        Waiting tickets by id, in order of arrival.
    finish_tag : float
        Virtual time at which the last started ticket is finished at the trainer's share.
    served : float
        Tokens of the tickets started so far.
    """

    tickets: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    finish_tag: float = 0.0
    served: float = 0.0


class FairQueue:
    """Queue that serves the trainer that is furthest behind its share first.

    Tags are assigned when a ticket starts, so that withdrawn and expired tickets cost nothing. An
    idle trainer accumulates no credit: its next ticket starts at the current virtual time or later.
    While two trainers both have waiting tickets, their tokens divided by share differ by at most
    one ticket of each.

    Parameters
    ----------
    capacity : int
        Tickets that may wait. Each trainer has a quota of them in proportion to its share, so that
        a trainer with many tickets does not crowd out the others.
    shares : dict of str to float or None
        Weights of the trainers; a trainer that is not listed has `DEFAULT_SHARE`.
    """

    def __init__(self, capacity, shares=None):
        self.capacity = capacity
        self.shares = dict(shares or {})
        self.flows = {}
        self.owners = {}
        self.virtual_time = 0.0

    def __len__(self):
        return len(self.owners)

    def __contains__(self, ticket_id):
        return ticket_id in self.owners

    def configure(self, shares):
        """Replace the shares, and remove unlisted trainers that have no waiting ticket."""
        self.shares = dict(shares)
        for trainer in [name for name in self.flows if name not in shares]:
            if not self.flows[trainer].tickets:
                del self.flows[trainer]

    def share(self, trainer):
        """Return the weight of a trainer."""
        return self.shares.get(trainer, DEFAULT_SHARE)

    def has_space(self, trainer):
        """Return whether the trainer may add a ticket."""
        if len(self) >= self.capacity:
            return False
        flow = self.flows.get(trainer)
        return flow is None or len(flow.tickets) < self.quota(trainer)

    def quota(self, trainer):
        """Return the number of tickets of the trainer that may wait, at least 1."""
        competing = self.shares.keys() | {trainer}
        competing |= {name for name, flow in self.flows.items() if flow.tickets}
        total = sum(self.share(name) for name in competing)
        return max(1, int(self.capacity * self.share(trainer) / total))

    def push(self, ticket):
        """Append a ticket to its trainer's queue; `has_space` must hold."""
        self.flow(ticket.trainer).tickets[ticket.id] = ticket
        self.owners[ticket.id] = ticket.trainer

    def peek(self):
        """Return the ticket that starts next, or None if none waits."""
        trainer = self.next_trainer()
        return None if trainer is None else next(iter(self.flows[trainer].tickets.values()))

    def remove(self, ticket_id):
        """Remove a waiting ticket, and return it, or None if it does not wait."""
        trainer = self.owners.pop(ticket_id, None)
        return None if trainer is None else self.flows[trainer].tickets.pop(ticket_id)

    def charge(self, ticket):
        """Charge the expected cost of a ticket that starts, queued or not, to its trainer."""
        self.remove(ticket.id)
        flow = self.flow(ticket.trainer)
        start = max(self.virtual_time, flow.finish_tag)
        self.virtual_time = start
        flow.finish_tag = start + ticket.cost / self.share(ticket.trainer)
        flow.served += ticket.cost

    def correct_cost(self, ticket, tokens):
        """Replace the charged cost of a started ticket by the tokens that it took."""
        flow = self.flow(ticket.trainer)
        flow.finish_tag += (tokens - ticket.cost) / self.share(ticket.trainer)
        flow.served += tokens - ticket.cost

    def tickets(self):
        """Return all waiting tickets."""
        return [ticket for flow in self.flows.values() for ticket in flow.tickets.values()]

    def next_trainer(self):
        """Return the trainer with waiting tickets that has the lowest start tag, or None."""
        best = None
        best_tag = 0.0
        for trainer, flow in self.flows.items():
            if not flow.tickets:
                continue
            tag = max(self.virtual_time, flow.finish_tag)
            if best is None or (tag, trainer) < (best_tag, best):
                best, best_tag = trainer, tag
        return best

    def flow(self, trainer):
        """Return the flow of a trainer, creating it if needed."""
        return self.flows.setdefault(trainer, Flow())
