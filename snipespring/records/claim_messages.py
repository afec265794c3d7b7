"""Define the messages that claim idempotency keys and report how claims ended."""

from attrs import frozen

from .claims import (
    Attempt,
    ClaimFact,
    ClaimKey,
    ClaimReport,
    RecordedReply,
    RequestDigest,
)
from .identity import OrganisationName

__all__ = [
    "ClaimAnswer",
    "ClaimCrowded",
    "ClaimDiffers",
    "ClaimFacts",
    "ClaimFactsTaken",
    "ClaimMessage",
    "ClaimMisdirected",
    "ClaimPermitted",
    "ClaimRan",
    "ClaimReplayed",
    "ClaimReports",
    "ClaimReportsTaken",
    "ClaimRequest",
    "ClaimRunning",
    "ClaimUnknown",
]


@frozen(kw_only=True)
class ClaimRequest:
    """Ask the owner of an idempotency key whether an attempt may run.

    `by` is the attempt and `request` the digest of its content. The caller's
    deadline is `valid_s` seconds away; a grant ends then at the latest.
    """

    by: Attempt
    organisation: OrganisationName | None
    key: ClaimKey
    request: RequestDigest
    valid_s: float


@frozen(kw_only=True)
class ClaimPermitted:
    """Permit the attempt to run."""


@frozen(kw_only=True)
class ClaimReplayed:
    """Report that the request has run already; `reply` is the recorded reply."""

    reply: RecordedReply


@frozen(kw_only=True)
class ClaimRan:
    """Report that the request has run already, and its reply was not recorded."""


@frozen(kw_only=True)
class ClaimRunning:
    """Report that another attempt with the key is under way."""


@frozen(kw_only=True)
class ClaimDiffers:
    """Report that the key was used with another method, path or body."""


@frozen(kw_only=True)
class ClaimUnknown:
    """Report that the request may have run and will not be repeated."""

    reason: str


@frozen(kw_only=True)
class ClaimMisdirected:
    """Report that the host that was asked may not decide about the key now."""

    reason: str


@frozen(kw_only=True)
class ClaimCrowded:
    """Report that the key is new and the owner has no memory left to record it."""

    reason: str


ClaimAnswer = (
    ClaimPermitted
    | ClaimReplayed
    | ClaimRan
    | ClaimRunning
    | ClaimDiffers
    | ClaimUnknown
    | ClaimMisdirected
    | ClaimCrowded
)


@frozen(kw_only=True)
class ClaimReports:
    """Report how several attempts ended to the owner of their keys."""

    reports: tuple[ClaimReport, ...]


@frozen(kw_only=True)
class ClaimReportsTaken:
    """Confirm that every report of a message was recorded."""


@frozen(kw_only=True)
class ClaimFacts:
    """Hand over how claims ended to the successor of a stopping host."""

    facts: tuple[ClaimFact, ...]


@frozen(kw_only=True)
class ClaimFactsTaken:
    """Confirm that every fact of a message was recorded."""


ClaimMessage = (
    ClaimRequest
    | ClaimAnswer
    | ClaimReports
    | ClaimReportsTaken
    | ClaimFacts
    | ClaimFactsTaken
)
