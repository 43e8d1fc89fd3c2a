"""One version of the configuration: routes, services and limits."""

import enum
import random

import attrs

from turmericreach.http1 import ServerLimits

__all__ = [
    "Configuration",
    "EngineLimits",
    "Route",
    "RouteKind",
    "Service",
    "WeightedService",
]

DEFAULT_TIMEOUT_S = 30.0
DEFAULT_MAX_ATTEMPTS = 2


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route.

    Attributes
    ----------
    name : str
        Name, unique in a configuration.
    host, path_prefix : str
        Requests of this host whose path begins with the prefix take the route.
    kind : RouteKind
        What may be repeated.
    services : tuple of WeightedService
        Where requests go; one entry unless the route is split.
    timeout_s : float
        Longest time that a caller is kept waiting.
    max_attempts : int
        Most targets that one attempt of a caller is sent to.
    priority : int
        Rank, 0 is the highest.
    resumable : bool
        Whether a stream may go on at another target after its last event.
    single_version : bool
        Whether all events of a result must come from one version of the weights.
    due_s : float
        Time from the submission of a lot to the delivery of its results.
    item_lifetime_s : float
        Time from the submission of a lot after which its items may be given up.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float = DEFAULT_TIMEOUT_S
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = 0
    resumable: bool = False
    single_version: bool = False
    due_s: float = 10.0
    item_lifetime_s: float = 60.0

    def choose_service(self, random_source: random.Random) -> str:
        """Return a service by the weights of the split."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [max(part.weight, 0.0) for part in self.services]
        if sum(weights) <= 0:
            return self.services[0].service
        return random_source.choices(self.services, weights)[0].service


@attrs.frozen
class EngineLimits:
    """What an engine can hold.

    Attributes
    ----------
    slots : int
        Requests processed at once.
    models : tuple of str
        Models that its targets serve.
    tokens_per_event : float
        Tokens that one event of a stream holds.
    """

    slots: int
    models: tuple[str, ...] = ()
    tokens_per_event: float = 1.0


@attrs.frozen
class Service:
    """A service.

    Attributes
    ----------
    name : str
        Name.
    engine : EngineLimits or None
        Limits of its engines, None for a plain service.
    """

    name: str
    engine: EngineLimits | None = None


@attrs.frozen
class Configuration:
    """A whole configuration.

    Attributes
    ----------
    version : int
        Number that rises with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    limits : ServerLimits
        Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        object.__setattr__(self, "by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self.by_host.get(normalize_host(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tokens_per_event(self, route: Route) -> float:
        """Return the tokens of one event on a route, 1 for services without engines."""
        service = self.services.get(route.services[0].service)
        if service is None or service.engine is None:
            return 1.0
        return max(service.engine.tokens_per_event, 1.0)

    def engine_models(self) -> list[str]:
        """Return the models of all engines, sorted."""
        found = set()
        for service in self.services.values():
            if service.engine is not None:
                found.update(service.engine.models)
        return sorted(found)


def normalize_host(host: str) -> str:
    """Return a host name in lower case and without a port."""
    name = host.strip().lower()
    if name.startswith("["):
        return name
    return name.partition(":")[0]
