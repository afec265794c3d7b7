"""Hold the memory of claimed keys and the answers to who may run a request."""

from typing import NewType

from attrs import field, frozen
from immutables import Map

from .fleet import LeaseState, Roster
from .identity import Address, Host, HostId, Incarnation, OrganisationName
from .requests import Header, Outcome, Reply

__all__ = [
    "Attempt",
    "ClaimEnd",
    "ClaimFact",
    "ClaimGranted",
    "ClaimKey",
    "ClaimTable",
    "ClaimRefused",
    "ClaimRepeated",
    "ClaimReport",
    "ClaimResult",
    "ClaimState",
    "Claimed",
    "EndedNotRun",
    "EndedRan",
    "EndedUnknown",
    "Finished",
    "IssuedKey",
    "KeyDigest",
    "OutcomeUnknown",
    "OwnerAuthority",
    "PendingReport",
    "PendingReports",
    "PlainKey",
    "RecordedReply",
    "Released",
    "ClaimRecord",
    "RequestDigest",
    "ObservedRoster",
    "RosterTenure",
    "Unclaimed",
]

KeyDigest = NewType("KeyDigest", bytes)
RequestDigest = NewType("RequestDigest", bytes)


@frozen(kw_only=True)
class Attempt:
    """Name one caller's request on the host that took it."""

    host_id: HostId
    request_id: str


@frozen(kw_only=True)
class IssuedKey:
    """Name a key whose prefix this fleet issued.

    `issued_s` is a reading of the issuing incarnation's monotonic clock.
    """

    digest: KeyDigest
    host_id: HostId
    incarnation: Incarnation
    issued_s: int


@frozen(kw_only=True)
class PlainKey:
    """Name a key of the caller's own making and the asking host's roster."""

    digest: KeyDigest
    roster_version: int


ClaimKey = IssuedKey | PlainKey


@frozen(kw_only=True)
class RecordedReply:
    """Hold what a backend server answered, to repeat it."""

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)


@frozen(kw_only=True)
class Claimed:
    """State that an attempt may run until the owner's local time given."""

    by: Attempt
    request: RequestDigest
    until_s: float


@frozen(kw_only=True)
class Finished:
    """State that the request ran; large replies are not kept."""

    by: Attempt
    request: RequestDigest
    reply: RecordedReply | None
    ended_s: float


@frozen(kw_only=True)
class Released:
    """State that an attempt did not run and must not run any more."""

    by: Attempt
    ended_s: float


@frozen(kw_only=True)
class OutcomeUnknown:
    """State that the request may have run."""

    by: Attempt
    request: RequestDigest
    reason: str
    ended_s: float


ClaimState = Claimed | Finished | Released | OutcomeUnknown


@frozen(kw_only=True)
class ClaimRecord:
    """Hold the state of one organisation's key."""

    organisation: OrganisationName | None
    state: ClaimState


@frozen(kw_only=True)
class ClaimTable:
    """Hold the claims that this incarnation has granted.

    `expiry_buckets` lists keys by the second in which they are looked at for removal.
    """

    claims: Map[KeyDigest, ClaimRecord] = field(default=Map(), repr=False)
    counts: Map[OrganisationName | None, int] = Map()
    expiry_buckets: Map[int, tuple[KeyDigest, ...]] = field(default=Map(), repr=False)
    reply_bytes: int = 0


@frozen(kw_only=True)
class ObservedRoster:
    """Hold a roster version and when this host saw every older lease ended."""

    version: int
    hosts: Map[HostId, Host] = field(repr=False)
    fenced_at_s: float | None = None


@frozen(kw_only=True)
class RosterTenure:
    """Hold the roster versions that this host saw without a gap.

    `candidates` holds every host of these versions once the first is old
    enough, else None; a role that this host wins against all of them has been
    its own throughout.
    """

    observed: tuple[ObservedRoster, ...] = ()
    candidates: Roster | None = field(default=None, repr=False)


@frozen(kw_only=True)
class OwnerAuthority:
    """Hold what an owner knows of its own right to grant."""

    own: Host
    roster: Roster
    lease: LeaseState
    tenure: RosterTenure


@frozen(kw_only=True)
class EndedRan:
    """State that a backend server ran the request."""

    reply: RecordedReply | None


@frozen(kw_only=True)
class EndedNotRun:
    """State that the attempt did not run and will not."""

    proof: str


@frozen(kw_only=True)
class EndedUnknown:
    """State that the request may have run."""

    reason: str


ClaimEnd = EndedRan | EndedNotRun | EndedUnknown


@frozen(kw_only=True)
class ClaimReport:
    """Tell the owner of a key what became of an attempt."""

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    end: ClaimEnd


@frozen(kw_only=True)
class ClaimFact:
    """State how a claim ended; the wall clock tells when, in seconds."""

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    request: RequestDigest
    end: EndedRan | EndedUnknown
    ended_wall_s: float


@frozen(kw_only=True)
class PendingReport:
    """Hold a report on its way; times are readings of the monotonic clock."""

    report: ClaimReport = field(repr=False)
    owner: Address
    due_s: float
    give_up_s: float
    tries: int = 0


@frozen(kw_only=True)
class PendingReports:
    """Hold the reports that their owners have not confirmed."""

    by_attempt: Map[Attempt, PendingReport] = Map()


@frozen(kw_only=True)
class Unclaimed:
    """State that the request needs no claim."""


@frozen(kw_only=True)
class ClaimGranted:
    """Permit the one run of a key until a local monotonic time."""

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    owner: Address
    until_s: float


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
