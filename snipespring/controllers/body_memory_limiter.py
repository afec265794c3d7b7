"""Limit the memory that buffered request bodies use."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import BUFFERED_BODIES
from ..records import BufferedBodies

__all__ = ["BodyMemoryLimiter"]


@define(kw_only=True, eq=False)
class BodyMemoryLimiter:
    """Write the region with the total size of the request bodies in memory."""

    board: Board
    max_bytes: int
    name: str = "body_keeper"

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a body; return False if it would exceed the limit."""

        def add(buffered: BufferedBodies) -> tuple[BufferedBodies, bool]:
            size = buffered.size_bytes + size_bytes
            if size > self.max_bytes:
                return buffered, False
            peak = max(buffered.peak_bytes, size)
            return BufferedBodies(size_bytes=size, peak_bytes=peak), True

        return self.board.transact(BUFFERED_BODIES, add, writer=self.name)

    def release(self, size_bytes: int) -> None:
        """Free the memory of a body that is no longer buffered."""

        def remove(buffered: BufferedBodies) -> BufferedBodies:
            size = buffered.size_bytes - size_bytes
            return BufferedBodies(size_bytes=size, peak_bytes=buffered.peak_bytes)

        self.board.update(BUFFERED_BODIES, remove, writer=self.name)
