"""Store the state of one process in typed regions that controllers share."""

from . import regions
from .board import Board, Subscription
from .region import Region

__all__ = ["Board", "Region", "Subscription", "regions"]
