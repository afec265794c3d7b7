"""Define the protocols through which the forwarder admits and claims requests."""

from typing import Protocol

from ..records import (
    Admission,
    AdmissionAnswer,
    AdmittedRequest,
    ClaimResult,
    OrganisationName,
    OrganisationUsage,
    Reply,
    Unclaimed,
)

__all__ = ["AdmissionAsking", "ClaimControl", "AdmissionControl", "NoClaimControl"]


class AdmissionControl(Protocol):
    """Admit requests within their organisation's rate."""

    def admit(
        self,
        organisation: OrganisationName,
        *,
        deadline_at_s: float,
        priority: int = 0,
    ) -> Admission:
        """Admit one request, or return why it is refused.

        A lower `priority` is more urgent.
        """


class AdmissionAsking(Protocol):
    """Ask another place for admissions."""

    def ask(
        self, usage: OrganisationUsage, *, priority: int, deadline_at_s: float
    ) -> AdmissionAnswer | None:
        """Return the decision, None without one in time."""


class ClaimControl(Protocol):
    """Ensure that a request with an idempotency key runs at most once."""

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Claim the request's idempotency key and return whether it may run now."""

    def may_send(self, claim: ClaimResult) -> bool:
        """Return whether a claim still permits sending the request."""

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Report how a request that `begin` allowed to run has ended."""


class NoClaimControl:
    """Claim nothing.

    Every attempt of a caller reaches one host only, so no two hosts can run the same
    attempt.
    """

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Return that the request needs no claim."""
        return Unclaimed()

    def may_send(self, claim: ClaimResult) -> bool:
        """Return True."""
        return True

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Do nothing."""
