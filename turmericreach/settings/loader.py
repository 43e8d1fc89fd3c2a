"""Loads the settings of a daemon from YAML."""

from pathlib import Path

from turmericreach.documents import (
    CheckedDocument,
    Problem,
    check_document,
    is_address,
    is_ip,
    structure,
)
from turmericreach.settings.errors import SettingsError
from turmericreach.settings.schema import DaemonSettings, Role

__all__ = ["load_settings"]

LOG_LEVELS = ("debug", "info", "warning", "error")
TOKEN_ROLES = ("trainer", "caller", "operator")
TLS_KEYS = ("tls_certificate", "tls_key", "tls_ca")


def load_settings(path: str | Path) -> DaemonSettings:
    """Load and validate the settings of a daemon.

    Parameters
    ----------
    path : str or Path
        Path of the YAML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        problem = Problem(0, "", f"cannot be read: {error.strerror or error}")
        raise SettingsError(source, [problem]) from None
    except ValueError:
        raise SettingsError(source, [Problem(0, "", "not UTF-8 text")]) from None
    document = check_document(text, DaemonSettings)
    if document.value:
        check_listen(document)
        check_addresses(document)
        check_security(document)
        check_platform(document)
    if document.problems:
        raise SettingsError(source, document.problems)
    return structure(document.value, DaemonSettings)


def check_listen(document: CheckedDocument) -> None:
    """Check the addresses and ports that the daemon listens on and advertises."""
    listen = document.value.get("listen", {})
    ip = listen.get("ip", "127.0.0.1")
    if not is_ip(ip):
        document.add("listen.ip", f"expected an IP address, found {ip!r}")
    advertised = listen.get("advertised", "")
    if advertised and not is_address(advertised):
        document.add("listen.advertised", f"expected ip:port, found {advertised!r}")
    if document.value.get("role") != Role.GATEWAY or "listen.http_port" in document.lines:
        if listen.get("http_port", 0) == listen.get("rpc_port", 7400):
            document.add("listen.http_port", "expected another port than rpc_port")
        if document.value.get("role") == Role.GATEWAY and listen.get("http_port") == 0:
            document.add("listen.http_port", "expected a port of at least 1 for a gateway")
        return
    document.add("listen.http_port", "missing, a gateway requires it")


def check_addresses(document: CheckedDocument) -> None:
    """Check the addresses of the seeds and of the statsd server, and the log level."""
    for index, seed in enumerate(document.value.get("seeds", [])):
        if seed is not None and not is_address(seed):
            document.add(f"seeds[{index}]", f"expected ip:port, found {seed!r}")
    telemetry = document.value.get("telemetry", {})
    statsd = telemetry.get("statsd", "")
    if statsd and not is_address(statsd):
        document.add("telemetry.statsd", f"expected ip:port, found {statsd!r}")
    level = telemetry.get("log_level", "info")
    if level not in LOG_LEVELS:
        document.add(
            "telemetry.log_level", f"expected one of {', '.join(LOG_LEVELS)}, found {level!r}"
        )


def check_security(document: CheckedDocument) -> None:
    """Check that all TLS files are set or none, and that tokens are unique and have valid roles."""
    security = document.value.get("security", {})
    present = [key for key in TLS_KEYS if security.get(key)]
    if present and len(present) < len(TLS_KEYS):
        missing = next(key for key in TLS_KEYS if key not in present)
        document.add(f"security.{missing}", f"missing, required together with {present[0]}")
    names, tokens = set(), set()
    for index, entry in enumerate(security.get("tokens", [])):
        if entry is None:
            continue
        path = f"security.tokens[{index}]"
        if entry.get("name") in names:
            document.add(f"{path}.name", "duplicate name of a token")
        if entry.get("token") in tokens:
            document.add(f"{path}.token", "duplicate token")
        names.add(entry.get("name", index))
        tokens.add(entry.get("token", index))
        if entry.get("roles") == []:
            document.add(f"{path}.roles", "expected at least one role")
        for role in entry.get("roles", []):
            if role is not None and role not in TOKEN_ROLES:
                document.add(
                    f"{path}.roles", f"expected one of {', '.join(TOKEN_ROLES)}, found {role!r}"
                )


def check_platform(document: CheckedDocument) -> None:
    """Check the URL of the object API."""
    url = document.value.get("platform", {}).get("url", "")
    if url and not url.startswith(("http://", "https://")):
        document.add("platform.url", f"expected an http or https URL, found {url!r}")
