"""Read the newest sightings of the platform's objects off the blackboard."""

from ..blackboard import Board
from ..blackboard.regions import PEER_VIEW, PLATFORM_CONFIGURATION, PLATFORM_ROSTER
from ..decisions.membership import merge_observations
from ..records import ObservedObject

__all__ = ["read_newest_configuration", "read_newest_roster"]


def read_newest_configuration(board: Board) -> ObservedObject | None:
    """Return the newest sighting of the configuration, own or from other hosts."""
    peers = board.read(PEER_VIEW).configuration
    return merge_observations(board.read(PLATFORM_CONFIGURATION), peers)


def read_newest_roster(board: Board) -> ObservedObject | None:
    """Return the newest sighting of the roster, own or from other hosts."""
    peers = board.read(PEER_VIEW).roster
    return merge_observations(board.read(PLATFORM_ROSTER), peers)
