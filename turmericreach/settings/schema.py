"""Schema of the settings of one daemon, as attrs classes."""

import enum

import attrs

from turmericreach.documents import MAX_PORT, bounded

__all__ = [
    "DaemonSettings",
    "LimitSettings",
    "ListenSettings",
    "PlatformSettings",
    "Role",
    "SecuritySettings",
    "TelemetrySettings",
    "TokenSettings",
]

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


class Role(enum.StrEnum):
    """Which program a daemon is."""

    GATEWAY = "gateway"
    AGENT = "agent"


@attrs.frozen
class ListenSettings:
    """Addresses that the daemon listens on.

    Attributes
    ----------
    ip : str
        IP address that other daemons and callers connect to.
    rpc_port : int
        Port of the RPC protocol between daemons.
    http_port : int
        HTTP port for callers; required for a gateway and only used by it.
    advertised : str
        ``ip:port`` under which other daemons reach this one; empty for `ip` and `rpc_port`.
    """

    ip: str = "127.0.0.1"
    rpc_port: int = bounded(7400, minimum=1, maximum=MAX_PORT)
    http_port: int = bounded(0, minimum=0, maximum=MAX_PORT)
    advertised: str = ""


@attrs.frozen
class PlatformSettings:
    """Access to the platform's object API and its list of hosts.

    Attributes
    ----------
    url : str
        Base URL of the object API, empty for none.
    token : str
        Bearer token for the object API, empty for none.
    timeout_s : float
        Timeout of one request in seconds.
    """

    url: str = ""
    token: str = ""
    timeout_s: float = bounded(2.0, above=0)


@attrs.frozen
class LimitSettings:
    """Limits on requests from callers.

    Attributes
    ----------
    max_body_bytes : int
        Largest body of an ordinary request in bytes.
    max_lot_bytes : int
        Largest body of a lot declaration in bytes.
    max_connections : int
        Number of connections that may be open at the same time.
    slow_sender_timeout_s : float
        Time in seconds within which a request must have arrived.
    """

    max_body_bytes: int = bounded(8 * 1024 * 1024, minimum=1)
    max_lot_bytes: int = bounded(64 * 1024 * 1024, minimum=1)
    max_connections: int = bounded(2048, minimum=1)
    slow_sender_timeout_s: float = bounded(10.0, above=0)


@attrs.frozen
class TokenSettings:
    """A bearer token and its roles.

    Attributes
    ----------
    name : str
        Unique name of the caller that holds the token.
    token : str
        The token, without whitespace.
    roles : list of str
        What the holder may do: ``trainer``, ``caller`` or ``operator``.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    token: str = bounded(pattern=r"^\S+$")
    roles: list[str]


@attrs.frozen
class SecuritySettings:
    """TLS files and tokens; an empty value disables the feature.

    Attributes
    ----------
    tls_certificate, tls_key, tls_ca : str
        Paths of PEM files; the files are read again when they change.
    tokens : list of TokenSettings
        Tokens that callers may present; if empty, every caller is accepted.
    order_token : str
        Token sent to targets that verify who sends an order.
    """

    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    tokens: list[TokenSettings] = attrs.field(factory=list)
    order_token: str = ""


@attrs.frozen
class TelemetrySettings:
    """Where metrics and logs go.

    Attributes
    ----------
    statsd : str
        ``ip:port`` of the statsd server, empty for none.
    log_level : str
        Lowest level that is logged: ``debug``, ``info``, ``warning`` or ``error``.
    """

    statsd: str = ""
    log_level: str = "info"


@attrs.frozen
class DaemonSettings:
    """Settings of one daemon.

    Attributes
    ----------
    role : Role
        Which program the daemon is.
    name : str
        Name of the daemon, unique in the deployment.
    data_centre, region : str
        Names of the data centre and of the region in which the daemon runs.
    listen, platform, limits, security, telemetry : object
        Sections, described in their classes.
    seeds : list of str
        ``ip:port`` of daemons that are asked for members while the platform is unavailable.
    stop_timeout_s : float
        Longest time in seconds that a graceful stop waits for requests in flight.
    """

    role: Role
    name: str = bounded(pattern=NAME_PATTERN)
    data_centre: str = bounded(pattern=NAME_PATTERN)
    region: str = bounded("default", pattern=NAME_PATTERN)
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    security: SecuritySettings = attrs.field(factory=SecuritySettings)
    telemetry: TelemetrySettings = attrs.field(factory=TelemetrySettings)
    seeds: list[str] = attrs.field(factory=list)
    stop_timeout_s: float = bounded(60.0, minimum=0)
