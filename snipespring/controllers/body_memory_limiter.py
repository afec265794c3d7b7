"""Bound the request bodies that this host holds in memory."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import BUFFERED_BODIES
from ..records import BufferedBodies

__all__ = ["BodyMemoryLimiter"]


@define(kw_only=True, eq=False)
class BodyMemoryLimiter:
    """Write the held bodies region."""

    board: Board
    max_bytes: int
    name: str = "body_keeper"

    def hold(self, size_bytes: int) -> bool:
        """Count more bytes of a body; return False where the limit forbids it."""

        def add(held: BufferedBodies) -> tuple[BufferedBodies, bool]:
            size = held.size_bytes + size_bytes
            if size > self.max_bytes:
                return held, False
            peak = max(held.peak_bytes, size)
            return BufferedBodies(size_bytes=size, peak_bytes=peak), True

        return self.board.transact(BUFFERED_BODIES, add, writer=self.name)

    def release(self, size_bytes: int) -> None:
        """Count the bytes of a body that is no longer held."""

        def remove(held: BufferedBodies) -> BufferedBodies:
            size = held.size_bytes - size_bytes
            return BufferedBodies(size_bytes=size, peak_bytes=held.peak_bytes)

        self.board.update(BUFFERED_BODIES, remove, writer=self.name)
