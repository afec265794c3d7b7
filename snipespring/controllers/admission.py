"""State what the forwarder asks of those that keep limits and claims."""

from typing import Protocol

from ..records import (
    Admission,
    AdmittedRequest,
    ClaimResult,
    OrganisationName,
    Reply,
    Unclaimed,
)

__all__ = ["ClaimControl", "AdmissionControl", "NoClaimControl"]


class AdmissionControl(Protocol):
    """Admit requests inside their organisation's rate."""

    def admit(
        self, organisation: OrganisationName, *, deadline_at_s: float
    ) -> Admission:
        """Pay for one request or say why it is refused."""


class ClaimControl(Protocol):
    """Let a request with an idempotency key run at most once."""

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Return whether the request may run now."""

    def may_send(self, claim: ClaimResult) -> bool:
        """Return whether a claim still permits to send."""

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Note what became of a granted run."""


class NoClaimControl:
    """Claim nothing, where every attempt of a caller reaches one host only."""

    def begin(self, admitted: AdmittedRequest) -> ClaimResult:
        """Return that the request needs no claim."""
        return Unclaimed()

    def may_send(self, claim: ClaimResult) -> bool:
        """Return True."""
        return True

    def finish(self, claim: ClaimResult, reply: Reply) -> None:
        """Note nothing."""
