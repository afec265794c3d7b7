"""Hold the answers to whether a request may run now, by its idempotency key."""

from attrs import frozen

from .identity import HostId, OrganisationName
from .requests import Outcome, Reply

__all__ = ["ClaimGranted", "ClaimRefused", "ClaimRepeated", "ClaimResult", "Unclaimed"]


@frozen(kw_only=True)
class Unclaimed:
    """State that the request needs no claim."""


@frozen(kw_only=True)
class ClaimGranted:
    """Permit the one run of a key; the claim must be finished or released."""

    organisation: OrganisationName | None
    key: str
    owner: HostId


@frozen(kw_only=True)
class ClaimRepeated:
    """Answer a repeat by the recorded reply of the first run."""

    reply: Reply


@frozen(kw_only=True)
class ClaimRefused:
    """Refuse to run, with the truth about an earlier run."""

    outcome: Outcome
    status: int


ClaimResult = Unclaimed | ClaimGranted | ClaimRepeated | ClaimRefused
