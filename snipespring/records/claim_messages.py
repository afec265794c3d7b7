"""Hold the messages by which hosts claim keys and report the ends of claims."""

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
    """Ask the owner of a key whether an attempt may run, for `valid_s` seconds."""

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
    """Carry the reply of the run that the key already had."""

    reply: RecordedReply


@frozen(kw_only=True)
class ClaimRan:
    """State that the key's request ran and that its reply is not kept."""


@frozen(kw_only=True)
class ClaimRunning:
    """State that another attempt with the key is under way."""


@frozen(kw_only=True)
class ClaimDiffers:
    """State that the key belongs to another method, path or body."""


@frozen(kw_only=True)
class ClaimUnknown:
    """State that the key's request may have run and will not be repeated."""

    reason: str


@frozen(kw_only=True)
class ClaimMisdirected:
    """State that the asked host may not decide about the key now."""

    reason: str


@frozen(kw_only=True)
class ClaimCrowded:
    """State that the key is new and that no memory is left for it."""

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
    """Report the ends of several attempts to their owner."""

    reports: tuple[ClaimReport, ...]


@frozen(kw_only=True)
class ClaimReportsTaken:
    """Confirm that every report of a call is taken in."""


@frozen(kw_only=True)
class ClaimFacts:
    """Tell the successor of a stopping host how claims ended."""

    facts: tuple[ClaimFact, ...]


@frozen(kw_only=True)
class ClaimFactsTaken:
    """Confirm that every fact of a call is taken in."""


ClaimMessage = (
    ClaimRequest
    | ClaimAnswer
    | ClaimReports
    | ClaimReportsTaken
    | ClaimFacts
    | ClaimFactsTaken
)
