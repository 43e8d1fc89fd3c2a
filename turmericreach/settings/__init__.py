"""Settings of one daemon: schema, loading and validation."""

from turmericreach.settings.errors import SettingsError
from turmericreach.settings.loader import load_settings
from turmericreach.settings.schema import (
    DaemonSettings,
    LimitSettings,
    ListenSettings,
    PlatformSettings,
    Role,
    SecuritySettings,
    TelemetrySettings,
    TokenSettings,
)

__all__ = [
    "DaemonSettings",
    "LimitSettings",
    "ListenSettings",
    "PlatformSettings",
    "Role",
    "SecuritySettings",
    "SettingsError",
    "TelemetrySettings",
    "TokenSettings",
    "load_settings",
]
