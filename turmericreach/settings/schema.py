"""Settings of one daemon, as attrs classes."""

import enum

import attrs

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


class Role(enum.StrEnum):
    """What a daemon does."""

    GATEWAY = "gateway"
    AGENT = "agent"


@attrs.frozen
class ListenSettings:
    """Addresses of the daemon.

    Attributes
    ----------
    ip : str
        Address that other daemons and callers connect to.
    rpc_port : int
        Port of the inner protocol.
    http_port : int
        Port for callers; a gateway only.
    """

    ip: str = "127.0.0.1"
    rpc_port: int = 7400
    http_port: int = 0


@attrs.frozen
class PlatformSettings:
    """The platform's object API and list of hosts."""

    url: str = ""
    token: str = ""
    timeout_s: float = 2.0


@attrs.frozen
class LimitSettings:
    """Limits on input.

    Attributes
    ----------
    max_body_bytes : int
        Largest body of an ordinary request.
    max_lot_bytes : int
        Largest body of a lot declaration.
    max_connections : int
        Connections that may be open at the same time.
    slow_sender_timeout_s : float
        Longest time in which a request must have arrived.
    """

    max_body_bytes: int = 8 * 1024 * 1024
    max_lot_bytes: int = 64 * 1024 * 1024
    max_connections: int = 2048
    slow_sender_timeout_s: float = 10.0


@attrs.frozen
class TokenSettings:
    """A bearer token and its roles (``trainer``, ``caller``, ``operator``)."""

    name: str
    token: str
    roles: list[str]


@attrs.frozen
class SecuritySettings:
    """TLS files and tokens; an empty value switches the feature off.

    Attributes
    ----------
    tls_certificate, tls_key, tls_ca : str
        PEM files; read again when they change.
    tokens : list of TokenSettings
        Tokens that callers present; without any, every caller is accepted.
    order_token : str
        Token presented to targets that check who gives an order.
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
        ``debug``, ``info``, ``warning`` or ``error``.
    """

    statsd: str = ""
    log_level: str = "info"


@attrs.frozen
class DaemonSettings:
    """Settings of one daemon.

    Attributes
    ----------
    name : str
        Name of the host's daemon, unique in the deployment.
    seeds : list of str
        ``ip:port`` of daemons to ask for members while the platform is down.
    data_folder : str
        Folder for bulk data on hosts with a disk, empty for none.
    stop_timeout_s : float
        Longest time that a graceful stop waits for requests in flight.
    """

    role: Role
    name: str
    data_centre: str
    region: str = "default"
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    security: SecuritySettings = attrs.field(factory=SecuritySettings)
    telemetry: TelemetrySettings = attrs.field(factory=TelemetrySettings)
    seeds: list[str] = attrs.field(factory=list)
    data_folder: str = ""
    stop_timeout_s: float = 60.0
