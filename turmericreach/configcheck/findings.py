"""Entries that can never match, and limits that contradict each other."""

import enum

import attrs

from turmericreach.services import Configuration, Route, RouteKind

__all__ = ["Finding", "Severity", "check_configuration"]


class Severity(enum.StrEnum):
    """How bad a finding is.

    Attributes
    ----------
    ERROR
        The configuration is unreadable, so that the version in force would stay.
    WARNING
        It is accepted, but a part of it has no effect or cannot work.
    """

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """One problem of a configuration.

    Attributes
    ----------
    severity : Severity
        How bad it is.
    entry : str
        The entry concerned, for example ``route r1``.
    problem : str
        What is wrong, and what it causes.
    """

    severity: Severity
    entry: str
    problem: str


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Return the problems of a configuration that the loader accepts."""
    found = [*unreachable_routes(configuration)]
    for route in configuration.routes:
        found.extend(service_problems(configuration, route))
        found.extend(limit_problems(route))
    found.extend(tenant_problems(configuration))
    found.extend(caller_limit_problems(configuration))
    return found


def unreachable_routes(configuration: Configuration) -> list[Finding]:
    """Return the routes that no request selects: another one has their host and prefix."""
    found, first = [], {}
    for route in configuration.routes:
        entry = f"route {route.name}"
        key = (route.host, route.path_prefix)
        if key in first:
            found.append(
                warning(entry, f"never matches: route {first[key]} has its host and prefix")
            )
        first.setdefault(key, route.name)
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            found.append(warning(entry, "its prefix does not begin and end with a slash"))
    return found


def service_problems(configuration: Configuration, route: Route) -> list[Finding]:
    """Return the services of a route that are missing or get none of its requests."""
    found = []
    total = sum(max(part.weight, 0.0) for part in route.services)
    for part in route.services:
        if part.service not in configuration.services:
            found.append(warning(f"route {route.name}", f"there is no service {part.service}"))
        elif total > 0 and part.weight <= 0:
            problem = f"service {part.service} gets no requests: its weight is {part.weight:g}"
            found.append(warning(f"route {route.name}", problem))
    return found


def limit_problems(route: Route) -> list[Finding]:
    """Return the limits of a route that contradict each other."""
    entry = f"route {route.name}"
    found = []
    if route.timeout_s <= 0:
        found.append(warning(entry, "its timeout is not positive: every request expires"))
    if route.kind is RouteKind.BATCH and route.due_s > route.item_lifetime_s:
        problem = f"items may be given up after {route.item_lifetime_s:g} s, before they are due"
        found.append(warning(entry, f"{problem} after {route.due_s:g} s"))
    if route.kind is RouteKind.UNSAFE and route.max_attempts > 1:
        problem = f"unsafe requests run once, so {route.max_attempts} attempts have no effect"
        found.append(warning(entry, problem))
    if route.resumable and route.kind is not RouteKind.STREAMING:
        found.append(warning(entry, "only streams can be resumed"))
    return found


def tenant_problems(configuration: Configuration) -> list[Finding]:
    """Return the tenants that nobody can use."""
    if configuration.tenants is None:
        return []
    with_keys = {tenant.name for tenant in configuration.tenants.by_digest.values()}
    found = []
    for tenant in configuration.tenants.tenants:
        if tenant.name not in with_keys:
            found.append(warning(f"tenant {tenant.name}", "has no key, so it can send no request"))
    return found


def caller_limit_problems(configuration: Configuration) -> list[Finding]:
    """Return the limits on callers that leave no room for any request."""
    limits = configuration.limits
    sizes = {
        "maxHeaderBytes": limits.header_bytes,
        "headerTimeoutMs": limits.header_timeout_s,
        "idleTimeoutMs": limits.idle_timeout_s,
    }
    found = [
        warning("limits", f"{name} is not positive") for name, value in sizes.items() if value <= 0
    ]
    if limits.body_bytes < 0:
        found.append(warning("limits", "maxBodyBytes is negative"))
    return found


def warning(entry: str, problem: str) -> Finding:
    """Return a finding about an entry that the loader accepts."""
    return Finding(Severity.WARNING, entry, problem)
