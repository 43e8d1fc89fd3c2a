"""The platform's list of hosts, which readers see with a lag."""

import attrs

from turmericreach_standins.common.lag import LaggedValue

__all__ = ["Host", "HostList"]


@attrs.frozen
class Host:
    """One host.

    Attributes
    ----------
    name : str
        Name of the host.
    address : str
        Network address of the host.
    data_centre : str
        Name of its data centre.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    data_centre: str
    state: str = "live"


class HostList:
    """The list of hosts, whose changes become visible after a lag.

    Parameters
    ----------
    lag_s : float
        Seconds until readers see a change.

    Attributes
    ----------
    hosts : dict of str to Host
        Current hosts by name.
    published : LaggedValue
        The sorted hosts as readers see them.
    """

    def __init__(self, lag_s=0.0):
        self.lag_s = lag_s
        self.hosts = {}
        self.published = LaggedValue((), max_lag_s=lag_s + 1.0)

    def put(self, now, host):
        """Add or replace a host."""
        self.hosts[host.name] = host
        self.publish(now)

    def remove(self, now, name):
        """Remove a host and return whether it was listed."""
        found = self.hosts.pop(name, None)
        self.publish(now)
        return found is not None

    def publish(self, now):
        """Record the current list, which readers see after the lag."""
        self.published.record(now, tuple(sorted(self.hosts.values(), key=lambda host: host.name)))

    def visible(self, now):
        """Return the hosts that readers see at `now`."""
        return self.published.get(now, self.lag_s)
