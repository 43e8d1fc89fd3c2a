"""The platform's list of hosts, which readers see with a lag."""

import attrs

from turmericreach_standins.common.lag import LaggedValue

__all__ = ["Host", "HostList"]


@attrs.frozen
class Host:
    """One host; `state` is ``live`` or ``leaving``."""

    name: str
    address: str
    data_centre: str
    state: str = "live"


class HostList:
    """Hosts by name.

    Parameters
    ----------
    lag_s : float
        Seconds until readers see a change.
    """

    def __init__(self, lag_s=0.0):
        self.lag_s = lag_s
        self.hosts = {}
        self.shown = LaggedValue((), max_lag_s=lag_s + 1.0)

    def put(self, now, host):
        """Add or change a host."""
        self.hosts[host.name] = host
        self.publish(now)

    def remove(self, now, name):
        """Remove a host; tells whether it was there."""
        found = self.hosts.pop(name, None)
        self.publish(now)
        return found is not None

    def publish(self, now):
        """Record the present list, to be seen after the lag."""
        self.shown.put(now, tuple(sorted(self.hosts.values(), key=lambda host: host.name)))

    def visible(self, now):
        """Return the hosts that readers see at `now`."""
        return self.shown.get(now, self.lag_s)
