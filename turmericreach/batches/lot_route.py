"""How the configuration in force treats the items of a lot."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from turmericreach.batches.model import BatchSpec
from turmericreach.services import Configuration, Route, RouteKind

__all__ = ["FixedRoute", "LotRoute", "RouteLookup", "RouteSource"]


@attrs.frozen
class LotRoute:
    """The route of a lot, with what the configuration says about its items.

    Attributes
    ----------
    route : Route
        Route of the lot.
    tokens_per_event : float
        Number of tokens in one event of the route's engines.
    priority : int
        Priority of the items; 0 is the highest.
    """

    route: Route
    tokens_per_event: float = 1.0
    priority: int = 0


class RouteSource(Protocol):
    """Knows the route of a lot at the time of the question."""

    def current(self) -> LotRoute | None:
        """Return the present route, None if the lot has none."""

    def latest(self) -> LotRoute:
        """Return the present route, or the last one if the lot has none now."""

    def missing_s(self, now: float) -> float:
        """Return the seconds since which the lot has no route, 0 if it has one."""


class FixedRoute:
    """A route that never changes."""

    def __init__(self, route: Route, tokens_per_event: float = 1.0):
        self.fixed = LotRoute(route, tokens_per_event, route.priority)

    def current(self) -> LotRoute:
        """Return the route."""
        return self.fixed

    def latest(self) -> LotRoute:
        """Return the route."""
        return self.fixed

    def missing_s(self, now: float) -> float:
        """Return 0, since there always is a route."""
        return 0.0


class RouteLookup:
    """Looks the route of a lot up in the configuration in force, once for each configuration.

    Parameters
    ----------
    spec : BatchSpec
        The lot.
    configuration : callable
        Returns the configuration in force, None before the first one.

    Attributes
    ----------
    found : LotRoute
        The route found last, one without services if none ever was.
    known : Configuration or None
        Configuration of the last look-up.
    missing_since : float or None
        Loop time in seconds since which the lot has no route, None while it has one.
    """

    def __init__(self, spec: BatchSpec, configuration: Callable[[], Configuration | None]):
        self.spec = spec
        self.configuration = configuration
        self.found = LotRoute(Route("", spec.host, spec.path, RouteKind.BATCH, ()))
        self.known: Configuration | None = None
        self.missing_since: float | None = asyncio.get_running_loop().time()

    def current(self) -> LotRoute | None:
        """Return the present route, None if the lot has none."""
        configuration = self.configuration()
        if configuration is not self.known:
            self.known = configuration
            self.look_up(configuration)
        return self.found if self.missing_since is None else None

    def latest(self) -> LotRoute:
        """Return the present route, or the last one if the lot has none now."""
        self.current()
        return self.found

    def look_up(self, configuration: Configuration) -> None:
        """Find the route of the lot in a configuration."""
        route = configuration.find_route(self.spec.host, self.spec.path)
        if route is not None:
            tokens_per_event = configuration.tokens_per_event(route)
            priority = configuration.lot_priority(route, self.spec.tenant)
            self.found = LotRoute(route, tokens_per_event, priority)
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = asyncio.get_running_loop().time()

    def missing_s(self, now: float) -> float:
        """Return the seconds since which the lot has no route, 0 if it has one."""
        return 0.0 if self.current() is not None else now - self.missing_since
