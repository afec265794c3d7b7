"""Hold how much of callers' bodies is in memory."""

from attrs import frozen

__all__ = ["BufferedBodies"]


@frozen(kw_only=True)
class BufferedBodies:
    """Count the bytes of request bodies that this host holds."""

    size_bytes: int = 0
    peak_bytes: int = 0
