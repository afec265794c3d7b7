"""Count the memory that the bodies of callers' requests take."""

from attrs import frozen

__all__ = ["BufferedBodies"]


@frozen(kw_only=True)
class BufferedBodies:
    """Count the bytes of the request bodies in memory, now and at most so far."""

    size_bytes: int = 0
    peak_bytes: int = 0
