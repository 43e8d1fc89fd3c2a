"""Counts of the callers' requests by tenant and window, kept by every gateway."""

import attrs

__all__ = ["UsageBook", "UsageShare"]


@attrs.frozen
class UsageShare:
    """Counts of one run of a process.

    Attributes
    ----------
    host : str
        Host of the process that counted.
    incarnation : str
        Unique id of that run of the process.
    since : float
        True time at which it began to count, in seconds since 1970.
    counts : dict of int to dict of str to tuple of int
        Requests begun, and those of them that were withdrawn, by window and tenant.
    """

    host: str
    incarnation: str
    since: float
    counts: dict[int, dict[str, tuple[int, int]]]


@attrs.define
class WindowCounts:
    """Counts of one process in one window.

    Attributes
    ----------
    revision : int
        Revision of the newest change.
    counts : dict of str to tuple of int
        Requests begun, requests withdrawn, and the revision of the change, by tenant.
    """

    revision: int = 0
    counts: dict[str, tuple[int, int, int]] = attrs.field(factory=dict)


@attrs.define
class Source:
    """Counts of one run of a process by window."""

    since: float
    windows: dict[int, WindowCounts] = attrs.field(factory=dict)


class UsageBook:
    """Counts of this process, and what it has heard of the counts of others.

    Both numbers of a count only rise, so counts of the same run merge by their maxima: they may
    arrive late, twice, in any order and by way of any process.

    Load pattern: hundreds of gateways count a few requests a second each, and are killed and
    restarted. Each change is sent once to the holder, and what was sent outlives its sender.

    Attributes
    ----------
    host, incarnation : str
        This run of this process.
    revision : int
        Number of changes so far; positions of readers refer to it.
    sources : dict of tuple of str to Source
        Counts by host and incarnation.
    """

    def __init__(self, host: str, incarnation: str, since: float):
        self.host = host
        self.incarnation = incarnation
        self.revision = 0
        self.sources: dict[tuple[str, str], Source] = {(host, incarnation): Source(since)}

    def count(self, tenant: str, window: int) -> None:
        """Count a request of a tenant that began in a window."""
        self.add(tenant, window, 1, 0)

    def withdraw(self, tenant: str, window: int) -> None:
        """Withdraw a request that was counted and did not begin in this window after all."""
        self.add(tenant, window, 0, 1)

    def add(self, tenant: str, window: int, begun: int, withdrawn: int) -> None:
        """Add to the own counts."""
        own = self.sources[self.host, self.incarnation]
        counts = own.windows.setdefault(window, WindowCounts())
        old = counts.counts.get(tenant, (0, 0, 0))
        self.store(counts, tenant, old[0] + begun, old[1] + withdrawn)

    def store(self, counts: WindowCounts, tenant: str, begun: int, withdrawn: int) -> None:
        """Store a changed count under a new revision."""
        self.revision += 1
        counts.revision = self.revision
        counts.counts[tenant] = (begun, withdrawn, self.revision)

    def merge(self, shares: list[UsageShare]) -> None:
        """Merge counts that another process has sent."""
        for share in shares:
            source = self.sources.setdefault((share.host, share.incarnation), Source(share.since))
            for window, tenants in share.counts.items():
                counts = source.windows.setdefault(window, WindowCounts())
                for tenant, (begun, withdrawn) in tenants.items():
                    old = counts.counts.get(tenant, (0, 0, 0))
                    if begun > old[0] or withdrawn > old[1]:
                        self.store(counts, tenant, max(begun, old[0]), max(withdrawn, old[1]))

    def changes_after(self, revision: int) -> list[UsageShare]:
        """Return the counts that have changed since a revision; with 0 also unused sources."""
        shares = [self.share_after(key, revision) for key in self.sources]
        return [share for share in shares if share.counts or not revision]

    def share_after(self, key: tuple[str, str], revision: int) -> UsageShare:
        """Return the counts of a run of a process that have changed since a revision."""
        source = self.sources[key]
        changed: dict[int, dict[str, tuple[int, int]]] = {}
        for window, counts in source.windows.items():
            if counts.revision <= revision:
                continue
            changed[window] = {
                tenant: count[:2] for tenant, count in counts.counts.items() if count[2] > revision
            }
        return UsageShare(*key, source.since, changed)

    def totals(self, window: int) -> dict[str, int]:
        """Return the requests of each tenant in a window over all processes, without zeros."""
        totals: dict[str, int] = {}
        for source in self.sources.values():
            if window not in source.windows:
                continue
            for tenant, (begun, withdrawn, _) in source.windows[window].counts.items():
                if begun > withdrawn:
                    totals[tenant] = totals.get(tenant, 0) + begun - withdrawn
        return dict(sorted(totals.items()))

    def earliest_since(self) -> float:
        """Return the true time at which the first known process began to count."""
        return min(source.since for source in self.sources.values())

    def discard_before(self, window: int) -> None:
        """Discard the windows before one, and other processes that have none left."""
        for key, source in list(self.sources.items()):
            for old in [number for number in source.windows if number < window]:
                del source.windows[old]
            if not source.windows and key != (self.host, self.incarnation):
                del self.sources[key]
