"""Load and validate the settings of one process."""

from .load import load_settings
from .records import (
    ByteCount,
    CallerSettings,
    Count,
    HostSettings,
    HttpUrl,
    ListenSettings,
    LogLevel,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Seconds,
    SecretEnvironment,
    SecretFile,
    SecretSource,
    Settings,
    SettingsProblem,
    SettingsProblems,
)
from .secret import read_secret

__all__ = [
    "ByteCount",
    "CallerSettings",
    "Count",
    "HostSettings",
    "HttpUrl",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "SecretEnvironment",
    "SecretFile",
    "SecretSource",
    "Seconds",
    "Settings",
    "SettingsProblem",
    "SettingsProblems",
    "load_settings",
    "read_secret",
]
