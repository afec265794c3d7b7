"""Determine from the blackboard whether this host accepts new requests."""

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    LEASE,
    SERVER_FEED,
    SERVER_SUBSETS,
    STOP_STATE,
)
from ..decisions.serving import ServingConditions, is_serving, list_unmet_conditions

__all__ = ["is_ready", "list_unready_reasons"]


def is_ready(board: Board, now_s: float) -> bool:
    """Return whether the host accepts new requests at a local time."""
    return is_serving(_read_conditions(board), now_s)


def list_unready_reasons(board: Board, now_s: float) -> tuple[str, ...]:
    """Return why the host does not accept new requests, nothing if it does."""
    return list_unmet_conditions(_read_conditions(board), now_s)


def _read_conditions(board: Board) -> ServingConditions:
    return ServingConditions(
        stop=board.read(STOP_STATE),
        configuration=board.read(CONFIGURATION),
        lease=board.read(LEASE),
        has_servers=board.read(SERVER_FEED).confirmed_s is not None,
        subsets=board.read(SERVER_SUBSETS).by_service,
    )
