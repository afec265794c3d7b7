"""Keep a part of the host's threads free of each service."""

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import SERVICE_CONCURRENCY
from ..decisions.bulkheads import (
    HasRoom,
    NoRoom,
    begin_request,
    check_room,
    end_request,
)
from ..records import ServiceConcurrency, ServiceName

__all__ = ["ConcurrencyLimiter"]


@define(kw_only=True, eq=False)
class ConcurrencyLimiter:
    """Write the region with the number of requests in progress by service."""

    board: Board
    threads: int
    name: str = "concurrency_limiter"

    @contextmanager
    def begin(self, service: ServiceName) -> Iterator[HasRoom | NoRoom]:
        """Count a request until it ends, unless the service has no room for it."""

        def add(
            concurrency: ServiceConcurrency,
        ) -> tuple[ServiceConcurrency, HasRoom | NoRoom]:
            room = check_room(concurrency, service, threads=self.threads)
            match room:
                case HasRoom():
                    return begin_request(concurrency, service), room
                case NoRoom():
                    return concurrency, room

        room = self.board.transact(SERVICE_CONCURRENCY, add, writer=self.name)
        try:
            yield room
        finally:
            match room:
                case HasRoom():
                    self.board.update(
                        SERVICE_CONCURRENCY,
                        lambda concurrency: end_request(concurrency, service),
                        writer=self.name,
                    )
                case NoRoom():
                    pass
