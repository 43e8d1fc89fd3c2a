"""Which services the items of split routes go to."""

from collections.abc import Iterable

import attrs
import xxhash

from turmericreach.batches.run import BatchRun
from turmericreach.services import Route, Target

__all__ = ["ServiceGroup", "allowed_services", "group_by_service", "serving_services"]

# An item waits this long for the service that the weights give it, before it goes to any other
# service of the route that has a free slot.
PATIENCE_S = 1.0
POSITIONS = 1 << 64


@attrs.define
class ServiceGroup:
    """Services that split routes connect, with the lots that go there.

    Attributes
    ----------
    services : set of str
        Names of the services.
    runs : list of BatchRun
        Lots whose routes lead to any of them.
    """

    services: set[str]
    runs: list[BatchRun]

    @property
    def name(self) -> str:
        """Name of the group, that of its service if there is only one."""
        return "+".join(sorted(self.services))


def group_by_service(runs: Iterable[BatchRun]) -> list[ServiceGroup]:
    """Return the lots that have a route, grouped so that no two groups share a service."""
    groups: list[ServiceGroup] = []
    for run in runs:
        found = run.items.route()
        if found is None:
            continue
        joined = ServiceGroup(set(found.route.active_services()), [run])
        apart = []
        for group in groups:
            if group.services.isdisjoint(joined.services):
                apart.append(group)
                continue
            joined = ServiceGroup(group.services | joined.services, [*group.runs, *joined.runs])
        groups = [*apart, joined]
    return groups


def allowed_services(
    route: Route, item: str, waited_s: float, serving: frozenset[str]
) -> frozenset[str]:
    """Return the services that may run an item of a split route now.

    Parameters
    ----------
    route : Route
        Present route of the lot.
    item : str
        Id of the item, which determines its service by the weights.
    waited_s : float
        Seconds for which the item has waited.
    serving : frozenset of str
        Services of the route that have an engine for the lot.
    """
    preferred = route.service_at(xxhash.xxh3_64_intdigest(item.encode()) / POSITIONS)
    if preferred in serving and waited_s < PATIENCE_S:
        return frozenset((preferred,))
    return serving or frozenset(route.active_services())


def serving_services(run: BatchRun, targets: Iterable[Target], now: float) -> frozenset[str]:
    """Return the services that have an engine for a lot, one that has not failed recently."""
    found = set()
    for target in targets:
        if target.is_suspected(now):
            continue
        if target.model_versions.get(run.spec.model, 0) >= run.spec.min_version:
            found.add(target.record.service)
    return frozenset(found)
