"""Admit requests inside their organisation's rate."""

from attrs import define

from ..blackboard import Board
from ..records import Admission, Admitted, OrganisationName
from ..utils import Clock

__all__ = ["Limiter"]


@define(kw_only=True, eq=False)
class Limiter:
    """Pay for requests from this host's shares."""

    board: Board
    clock: Clock
    name: str = "limiter"

    def admit(
        self, organisation: OrganisationName, *, deadline_at_s: float
    ) -> Admission:
        """Pay for one request or say why it is refused."""
        return Admitted()
