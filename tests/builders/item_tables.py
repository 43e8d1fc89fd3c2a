"""Builders of item tables whose route never changes."""

from turmericreach.batches.items import ItemTable
from turmericreach.batches.lot_route import FixedRoute
from turmericreach.batches.records import AcceptedTerms

__all__ = ["fixed_table"]


def fixed_table(spec, route, submitted_at, tokens_per_event=1.0, carried=frozenset()):
    """Return the items of a lot that is accepted on the terms of a route."""
    routes = FixedRoute(route, tokens_per_event)
    return ItemTable(spec, routes, submitted_at, AcceptedTerms.of_route(route), carried)
