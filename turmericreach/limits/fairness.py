"""Start-time fair queueing of rollouts among trainers."""

import collections

import attrs

__all__ = ["FairQueue"]

DEFAULT_SHARE = 1.0


@attrs.define
class Flow:
    """Queue of one trainer.

    Attributes
    ----------
    finish : float
        Virtual time at which the work started so far is paid for.
    served : float
        Tokens started so far.
    """

    tickets: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    finish: float = 0.0
    served: float = 0.0


class FairQueue:
    """Queue that starts the ticket of the trainer that is furthest behind its share.

    Tags are given when a ticket starts, so that withdrawn and expired tickets cost nothing. An
    idle trainer saves up no credit: it joins again at the current virtual time. While two
    trainers both wait, their tokens by share differ by at most one ticket of each.

    Parameters
    ----------
    capacity : int
        Tickets that may wait. Each trainer may fill its share of them, so that a trainer with
        many tickets does not crowd out the others.
    shares : dict of str to float
        Weights of the trainers.
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
        """Replace the shares; flows of trainers that left and have no ticket are dropped."""
        self.shares = dict(shares)
        for trainer in [name for name in self.flows if name not in shares]:
            if not self.flows[trainer].tickets:
                del self.flows[trainer]

    def share(self, trainer):
        """Return the weight of a trainer."""
        return self.shares.get(trainer, DEFAULT_SHARE)

    def has_room(self, trainer):
        """Return whether the trainer may add a ticket."""
        if len(self) >= self.capacity:
            return False
        flow = self.flows.get(trainer)
        return flow is None or len(flow.tickets) < self.quota(trainer)

    def quota(self, trainer):
        """Return how many tickets of the trainer may wait."""
        known = self.shares.keys() | {trainer}
        known |= {name for name, flow in self.flows.items() if flow.tickets}
        total = sum(self.share(name) for name in known)
        return max(1, int(self.capacity * self.share(trainer) / total))

    def push(self, ticket):
        """Add a ticket for which there is room."""
        self.flow(ticket.trainer).tickets[ticket.id] = ticket
        self.owners[ticket.id] = ticket.trainer

    def peek(self):
        """Return the ticket that is next, or None."""
        trainer = self.next_trainer()
        return None if trainer is None else next(iter(self.flows[trainer].tickets.values()))

    def remove(self, ticket_id):
        """Take out a ticket that does not start, and return it or None."""
        trainer = self.owners.pop(ticket_id, None)
        return None if trainer is None else self.flows[trainer].tickets.pop(ticket_id)

    def charge(self, ticket):
        """Count a ticket that starts, queued or not, towards its trainer's share."""
        self.remove(ticket.id)
        flow = self.flow(ticket.trainer)
        start = max(self.virtual_time, flow.finish)
        self.virtual_time = start
        flow.finish = start + ticket.cost / self.share(ticket.trainer)
        flow.served += ticket.cost

    def correct(self, ticket, tokens):
        """Replace the expected cost of a started ticket by the tokens that it took."""
        flow = self.flow(ticket.trainer)
        flow.finish += (tokens - ticket.cost) / self.share(ticket.trainer)
        flow.served += tokens - ticket.cost

    def tickets(self):
        """Return all waiting tickets."""
        return [ticket for flow in self.flows.values() for ticket in flow.tickets.values()]

    def next_trainer(self):
        """Return the waiting trainer with the lowest start tag."""
        best = None
        best_tag = 0.0
        for trainer, flow in self.flows.items():
            if not flow.tickets:
                continue
            tag = max(self.virtual_time, flow.finish)
            if best is None or (tag, trainer) < (best_tag, best):
                best, best_tag = trainer, tag
        return best

    def flow(self, trainer):
        """Return the flow of a trainer, made if needed."""
        return self.flows.setdefault(trainer, Flow())
