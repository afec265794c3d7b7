"""Claim the one run of each non-idempotent request."""

from attrs import define

from ..blackboard import Board
from ..records import AdmittedRequest, ClaimResult, Reply, Unclaimed
from ..utils import Clock

__all__ = ["Claimant"]


@define(kw_only=True, eq=False)
class Claimant:
    """Ask the owner of an idempotency key for the permission to run."""

    board: Board
    clock: Clock
    name: str = "claimant"

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Return whether the request may run now."""
        return Unclaimed()

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Tell the owner what became of a granted run."""
