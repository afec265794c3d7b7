"""Read from the blackboard whether this host takes new requests."""

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    LEASE,
    SERVER_FEED,
    SERVER_SUBSETS,
    STOP_STATE,
)
from ..decisions.serving import ServingConditions, is_serving

__all__ = ["is_ready"]


def is_ready(board: Board, now_s: float) -> bool:
    """Return whether the host takes new requests at a local time."""
    state = ServingConditions(
        stop=board.read(STOP_STATE),
        configuration=board.read(CONFIGURATION),
        lease=board.read(LEASE),
        has_servers=board.read(SERVER_FEED).confirmed_s is not None,
        subsets=board.read(SERVER_SUBSETS).by_service,
    )
    return is_serving(state, now_s)
