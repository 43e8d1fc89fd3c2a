"""One version of the configuration: routes, services and limits."""

import enum
import random

import attrs

from turmericreach.http1 import ServerLimits
from turmericreach.tenancy import TenantTable

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
    """What may be sent again on a route after a failure."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route: where requests for a host and path go, and how they are handled.

    Attributes
    ----------
    name : str
        Name, unique in a configuration.
    host, path_prefix : str
        Host name and path prefix of the requests that the route applies to.
    kind : RouteKind
        What may be sent again after a failure.
    services : tuple of WeightedService
        Services that receive the requests; one entry unless the route is split.
    timeout_s : float
        Maximum time in seconds until a caller gets a response.
    max_attempts : int
        Maximum number of targets to which one request of a caller is sent.
    priority : int
        Priority of the requests; 0 is the highest.
    resumable : bool
        Whether an interrupted stream may continue at another target after its last event.
    single_version : bool
        Whether all events of a result must come from one version of the weights.
    due_s : float
        Seconds from the submission of a lot until its results are due.
    item_lifetime_s : float
        Seconds from the submission of a lot after which its items may be abandoned.
    public : bool
        Whether requests need no API key. It has no effect without tenants.
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
    public: bool = False

    def active_services(self) -> list[str]:
        """Return the services with a positive weight, the first one if there is none."""
        active = {part.service: None for part in self.services if part.weight > 0}
        return list(active) or [part.service for part in self.services[:1]]

    def shares(self) -> dict[str, float]:
        """Return the share of the requests that each active service receives, 1 in total."""
        active = self.active_services()
        if len(active) == 1:
            return {active[0]: 1.0}
        weights: dict[str, float] = {}
        for part in self.services:
            if part.weight > 0:
                weights[part.service] = weights.get(part.service, 0.0) + part.weight
        total = sum(weights.values())
        return {service: weight / total for service, weight in weights.items()}

    def service_at(self, position: float) -> str:
        """Return the service at a position in the split, from 0 up to 1.

        Each service takes a part of that range in proportion to its weight.
        """
        shares = self.shares()
        for service, share in shares.items():
            position -= share
            if position < 0:
                return service
        return self.active_services()[-1]

    def choose_service(self, random_source: random.Random) -> str:
        """Return the name of a service, chosen at random by the weights of the split."""
        return self.service_at(random_source.random())

    def service_order(self, random_source: random.Random) -> list[str]:
        """Return the active services, one chosen by the weights first."""
        active = self.active_services()
        if len(active) == 1:
            return active
        chosen = self.choose_service(random_source)
        return [chosen, *(service for service in active if service != chosen)]


@attrs.frozen
class EngineLimits:
    """Capacity and models of the engines of a service.

    Attributes
    ----------
    slots : int
        Number of requests that an engine processes concurrently.
    models : tuple of str
        Models that the engines serve.
    tokens_per_event : float
        Number of tokens in one event of a stream.
    """

    slots: int
    models: tuple[str, ...] = ()
    tokens_per_event: float = 1.0


@attrs.frozen
class Service:
    """A kind of target.

    Attributes
    ----------
    name : str
        Name, unique in a configuration.
    engine : EngineLimits or None
        Limits of the service's engines; None if its targets are not engines.
    """

    name: str
    engine: EngineLimits | None = None


@attrs.frozen
class Configuration:
    """A complete configuration.

    Attributes
    ----------
    version : int
        Number that rises with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    limits : ServerLimits
        Limits on the requests of callers.
    tenants : TenantTable or None
        Tenants and their keys; None if requests need no keys.
    by_host : dict of str to list of Route
        Routes by host name, those with the longest path prefix first.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    tenants: TenantTable | None = None
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

    def lot_priority(self, route: Route, tenant: str) -> int:
        """Return the priority of a lot: that of its tenant, else that of its route."""
        priority = None if self.tenants is None else self.tenants.priority(tenant)
        return route.priority if priority is None else priority

    def tokens_per_event(self, route: Route) -> float:
        """Return the number of tokens per event on a route, 1 for services without engines."""
        for name in route.active_services():
            service = self.services.get(name)
            if service is not None and service.engine is not None:
                return max(service.engine.tokens_per_event, 1.0)
        return 1.0

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
