"""Loading of the settings file of a process."""

import os
from pathlib import Path

from turmericreach.http1 import is_address
from turmericreach.node.settings import CloudSettings, NodeSettings, StoreSettings, Timings
from turmericreach.platform.cloud import SCALE_DUTY, USAGE_DUTY
from turmericreach.platform.decoding import DecodeError, Fields, decode_json
from turmericreach.platform.names import SETTINGS_VARIABLE

__all__ = ["load_settings", "settings_path"]

MS = 1000.0
MEGABYTE = 1 << 20
# Contract under which callers compete for too little capacity.
OVERLOAD_CONTRACT = "pressure"


def settings_path() -> str:
    """Return the path of the settings file.

    Raises
    ------
    DecodeError
        If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise DecodeError(f"{SETTINGS_VARIABLE}: not set; expected the path of the settings file")
    return path


def load_settings(path: str) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    DecodeError
        If the file cannot be read or decoded; the message names the file and the key.
    """
    try:
        fields = Fields(decode_json(Path(path).read_bytes()))
        return decode_settings(fields)
    except OSError as error:
        raise DecodeError(f"{path}: {error.strerror}") from error
    except DecodeError as error:
        raise DecodeError(f"{path}: {error}") from error


def decode_settings(fields: Fields) -> NodeSettings:
    """Return the settings; unknown fields are ignored."""
    listen = fields.object("listen", {})
    bounds = fields.object("bounds", {})
    store = fields.object("platform")
    limits = fields.object("limits", {})
    ports = fields.list("portRange")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise DecodeError("portRange: expected the first and the last port")
    return NodeSettings(
        host=fields.text("node"),
        role=fields.text("role", ""),
        data_centre=fields.text("zone"),
        ip=fields.text("ip"),
        caller_address=listen.text("front", ""),
        ready_address=listen.text("ready", ""),
        peer_port=ports[0],
        store=StoreSettings(
            address=store.text("address"),
            writes_per_s=store.number("writesPerS", 400.0),
            reads_per_s=store.number("readsPerS", 2000.0),
            value_bytes=store.integer("valueBytes", 1 << 20),
        ),
        timings=Timings(
            grace_s=bounds.number("graceS", 8.0),
            lease_s=bounds.number("leaseMs", 3000.0) / MS,
            result_lifetime_s=bounds.number("statusS", 120.0),
            drain_s=bounds.number("drainMs", 2000.0) / MS,
            revoke_s=bounds.number("revokeMs", 5000.0) / MS,
        ),
        cloud=decode_cloud(fields, bounds),
        cores=limits.number("cpuShare", 1.0) * limits.number("cores", 1),
        memory_bytes=int(limits.number("memoryMb", 256.0) * MEGABYTE),
        max_descriptors=limits.integer("maxFds", 0),
        overload_control=OVERLOAD_CONTRACT in fields.list("contracts", []),
        fail_closed=bounds.boolean("failClosed", False),
    )


def decode_cloud(fields: Fields, bounds: Fields) -> CloudSettings | None:
    """Return the duties towards the platform, None if the settings name none."""
    if fields.value.get("cloud") is None:
        return None
    cloud = fields.object("cloud")
    address = cloud.text("address")
    if not is_address(address):
        raise DecodeError(f"cloud.address: expected ip:port, got {address[:256]!r}")
    duties = cloud.list("duties", [])
    window_s = bounds.number("reportWindowS", 5.0)
    if not window_s > 0:
        raise DecodeError("bounds.reportWindowS: expected a positive number")
    calls_per_s = cloud.number("dutyPerS", 1.0)
    if not calls_per_s > 0:
        raise DecodeError("cloud.dutyPerS: expected a positive number")
    return CloudSettings(
        address=address,
        calls_per_s=calls_per_s,
        reports_usage=USAGE_DUTY in duties,
        orders_sizes=SCALE_DUTY in duties,
        window_s=window_s,
        late_s=bounds.number("usageLateS", 10.0),
        fencing=bounds.boolean("fencing", True),
        thaw_slack_s=bounds.number("thawSlackMs", 300.0) / MS,
    )
