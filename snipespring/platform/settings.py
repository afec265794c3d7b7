"""Define where the platform places the settings of a process."""

__all__ = ["SETTINGS_PATH", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "SNIPESPRING_SETTINGS"
SETTINGS_PATH = "/etc/snipespring/boot.toml"  # contains YAML despite its extension
