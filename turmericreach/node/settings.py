"""Settings of one process."""

import attrs

from turmericreach.placement import DEFAULT_POLICY

__all__ = ["NodeSettings", "StoreSettings", "Timings"]


@attrs.frozen
class StoreSettings:
    """How the metadata store is reached and how much it takes.

    Attributes
    ----------
    address : str
        ``ip:port``.
    writes_per_s, reads_per_s : float
        Calls a second that all processes may make together.
    value_bytes : int
        Largest object.
    """

    address: str
    writes_per_s: float
    reads_per_s: float
    value_bytes: int


@attrs.frozen
class Timings:
    """Times of the deployment, in seconds.

    Attributes
    ----------
    grace_s : float
        From a request to stop until the process is killed.
    lease_s : float
        After the last order of one order giver until another may order.
    result_lifetime_s : float
        After its submission for which a lot's results are kept.
    """

    grace_s: float = 8.0
    lease_s: float = 3.0
    result_lifetime_s: float = 120.0


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Attributes
    ----------
    host : str
        Name of the host.
    role : str
        Name of the role in the deploy file.
    data_centre : str
        Where the host is.
    ip : str
        Its address.
    caller_address, ready_address : str
        ``ip:port`` for callers and for the ready check; empty where the role has none.
    peer_port : int
        Port for calls between processes.
    cores : float
        Processor time that the process may use, in cores.
    metrics_port : int
        Port at which metrics are served, 0 for none.
    placement : str
        Name of the placement policy.
    store : StoreSettings
        The metadata store.
    timings : Timings
        Times of the deployment.
    """

    host: str
    role: str
    data_centre: str
    ip: str
    caller_address: str
    ready_address: str
    peer_port: int
    store: StoreSettings
    timings: Timings = Timings()
    cores: float = 1.0
    metrics_port: int = 0
    placement: str = DEFAULT_POLICY
