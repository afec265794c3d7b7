"""Determine from the blackboard whether this host accepts new requests."""

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
    """Return whether the host accepts new requests at a local time."""
    conditions = ServingConditions(
        stop=board.read(STOP_STATE),
        configuration=board.read(CONFIGURATION),
        lease=board.read(LEASE),
        has_servers=board.read(SERVER_FEED).confirmed_s is not None,
        subsets=board.read(SERVER_SUBSETS).by_service,
    )
    return is_serving(conditions, now_s)
