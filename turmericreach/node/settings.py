"""Settings of a process on a host of the platform."""

import attrs

__all__ = ["CloudSettings", "NodeSettings", "StoreSettings", "Timings"]


@attrs.frozen
class StoreSettings:
    """Address and limits of the metadata store.

    Attributes
    ----------
    address : str
        ``ip:port`` of the store.
    writes_per_s, reads_per_s : float
        Rate limits on calls, in calls per second of all processes together.
    value_bytes : int
        Size of the largest object that the store accepts, in bytes.
    """

    address: str
    writes_per_s: float
    reads_per_s: float
    value_bytes: int


@attrs.frozen
class Timings:
    """Durations that depend on the deployment, in seconds.

    Attributes
    ----------
    grace_s : float
        Time between the request to stop and the kill of the process.
    lease_s : float
        Time after the last order of one coordinator until another may give orders.
    result_lifetime_s : float
        Time after its submission for which a lot's results are kept.
    drain_s : float
        Time for which a target that leaves still serves.
    revoke_s : float
        Time without contact with the metadata store after which a process that fails closed
        rejects requests with API keys.
    """

    grace_s: float = 8.0
    lease_s: float = 3.0
    result_lifetime_s: float = 120.0
    drain_s: float = 2.0
    revoke_s: float = 5.0


@attrs.frozen
class CloudSettings:
    """Duties that the processes together have towards the platform.

    Attributes
    ----------
    address : str
        ``ip:port`` that receives the calls.
    calls_per_s : float
        Rate limit on calls, in calls per second of all processes together.
    reports_usage : bool
        Whether the requests of each tenant are reported.
    orders_sizes : bool
        Whether the numbers of targets of services are ordered.
    window_s : float
        Length of a window of the usage reports.
    late_s : float
        Time after the end of a window at which its report is due.
    fencing : bool
        Whether the receiver rejects a fencing token that is lower than one it has seen.
    thaw_slack_s : float
        Longest time from the confirmation of the duty until a call is sent.
    """

    address: str
    calls_per_s: float = 1.0
    reports_usage: bool = False
    orders_sizes: bool = False
    window_s: float = 5.0
    late_s: float = 10.0
    fencing: bool = True
    thaw_slack_s: float = 0.3


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
        Data centre of the host.
    ip : str
        IP address of the host.
    caller_address, ready_address : str
        ``ip:port`` for callers and for the ready check; empty if the role has none.
    peer_port : int
        TCP port for calls between processes.
    cores : float
        Processor time that the process may use, in cores.
    memory_bytes : int
        Memory that the process may use, in bytes.
    max_descriptors : int
        Number of file descriptors that the process may use, 0 for no limit.
    metrics_port : int
        TCP port at which metrics are served, 0 for none.
    placement : str
        Name of the placement policy; empty for the one that the load calls for.
    overload_control : bool
        Whether callers compete for too little capacity, see `OverloadSwitch`.
    fail_closed : bool
        Whether a process without contact rejects requests with API keys, see `Timings.revoke_s`.
    store : StoreSettings
        Address and limits of the metadata store.
    timings : Timings
        Durations that depend on the deployment.
    cloud : CloudSettings or None
        Duties towards the platform, None if there are none.
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
    cloud: CloudSettings | None = None
    cores: float = 1.0
    memory_bytes: int = 256 << 20
    max_descriptors: int = 0
    metrics_port: int = 0
    placement: str = ""
    overload_control: bool = False
    fail_closed: bool = False
