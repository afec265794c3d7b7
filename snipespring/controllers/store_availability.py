"""Read since when the store has been available."""

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION_FEED,
    SERVER_FEED,
    STORE_REACH,
    STORE_RELAY,
)
from ..decisions.outages import find_recovery_s

__all__ = ["read_recovery_s"]


def read_recovery_s(board: Board, *, outage_s: float) -> float | None:
    """Return when the store last recovered from an outage, None before any answer.

    Both times are in seconds, the result a monotonic one. The answers to all calls
    count, those to other hosts too.
    """
    spans = (
        board.read(SERVER_FEED).available,
        board.read(CONFIGURATION_FEED).available,
        board.read(STORE_REACH).available,
        board.read(STORE_RELAY).available,
    )
    return find_recovery_s(spans, outage_s=outage_s)
