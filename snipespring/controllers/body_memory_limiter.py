"""Limit the memory that buffered bodies of requests and answers use."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import BUFFERED_BODIES
from ..records import BufferedBodies

__all__ = ["BodyMemoryLimiter"]


@define(kw_only=True, eq=False)
class BodyMemoryLimiter:
    """Write the region with the total size of the bodies in memory."""

    board: Board
    max_bytes: int
    name: str = "body_keeper"

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a body; return False if it would exceed the limit."""

        def add(buffered: BufferedBodies) -> tuple[BufferedBodies, bool]:
            if buffered.size_bytes + size_bytes > self.max_bytes:
                return buffered, False
            return _add_bytes(buffered, size_bytes), True

        return self.board.transact(BUFFERED_BODIES, add, writer=self.name)

    def add(self, size_bytes: int) -> None:
        """Count bytes that are in memory already, even beyond the limit."""
        self.board.update(
            BUFFERED_BODIES,
            lambda buffered: _add_bytes(buffered, size_bytes),
            writer=self.name,
        )

    def release(self, size_bytes: int) -> None:
        """Free the memory of a body that is no longer buffered."""

        def remove(buffered: BufferedBodies) -> BufferedBodies:
            size = buffered.size_bytes - size_bytes
            return BufferedBodies(size_bytes=size, peak_bytes=buffered.peak_bytes)

        self.board.update(BUFFERED_BODIES, remove, writer=self.name)


def _add_bytes(buffered: BufferedBodies, size_bytes: int) -> BufferedBodies:
    size = buffered.size_bytes + size_bytes
    peak = max(buffered.peak_bytes, size)
    return BufferedBodies(size_bytes=size, peak_bytes=peak)
