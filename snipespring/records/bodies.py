"""Count the memory that the bodies of requests and answers take."""

from attrs import frozen

__all__ = ["BufferedBodies"]


@frozen(kw_only=True)
class BufferedBodies:
    """Count the bytes of the bodies that this host has in memory.

    `peak_bytes` is the largest total since the process started.
    """

    size_bytes: int = 0
    peak_bytes: int = 0
