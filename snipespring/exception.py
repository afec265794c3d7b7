"""Define the errors that every layer raises for faults of the program itself."""

__all__ = ["SnipespringError", "RegionOwnershipError", "SettingsError"]


class SnipespringError(Exception):
    """Serve as the base class of every error that the package raises."""


class RegionOwnershipError(SnipespringError):
    """Report that a controller tried to write a blackboard region it does not own."""


class SettingsError(SnipespringError):
    """Report that settings contain an unknown, missing or malformed field."""
