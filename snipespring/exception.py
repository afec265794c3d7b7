"""Errors that every layer raises for faults of the program itself."""

__all__ = ["SnipespringError", "RegionOwnershipError", "SettingsError"]


class SnipespringError(Exception):
    """Base class of every error that the package raises."""


class RegionOwnershipError(SnipespringError):
    """A controller wrote a region that it does not own."""


class SettingsError(SnipespringError):
    """Settings contain an unknown field, or a field is missing or malformed."""
