"""Say how controllers reach the objects in the platform's store."""

from typing import Protocol

from ...records import ReadResult, WriteResult

__all__ = ["FleetObjectStore"]


class FleetObjectStore(Protocol):
    """Give access to named contents; a name is `KIND/NAME` in the store."""

    def read(self, name: str) -> ReadResult:
        """Return the object, its absence, or that the platform is away."""

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        """Wait up to `wait_s` seconds for a version greater than `after`."""

    def write(self, name: str, content: bytes, *, expected: int) -> WriteResult:
        """Replace the object if its version is `expected`; 0 means absent."""

    def delete(self, name: str, *, expected: int) -> WriteResult:
        """Remove the object if its version is `expected`."""
