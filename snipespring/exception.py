"""Root the errors that every layer raises for faults of the program itself."""

__all__ = ["SnipespringError", "RegionOwnershipError", "SettingsError"]


class SnipespringError(Exception):
    """Serve as the base of every error that the package raises."""


class RegionOwnershipError(SnipespringError):
    """Report a write to a region by a controller that does not own it."""


class SettingsError(SnipespringError):
    """Report settings that name an unknown, missing or malformed field."""
