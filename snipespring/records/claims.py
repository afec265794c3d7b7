"""Define claims of idempotency keys and decisions on whether a request may run.

The owner of a key is the host that decides which attempt with this key may run. In
all records, an `organisation` of None stands for a request on a route that needs
no organisation's key, `by` is the attempt concerned and `owner` the address of the
key's owner.
"""

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
    """Identify an attempt by the host that received the request and by its id."""

    host_id: HostId
    request_id: str


@frozen(kw_only=True)
class IssuedKey:
    """Identify a key by its digest and by the host that issued its prefix.

    `issued_s` is the time of issue on the monotonic clock of the issuing incarnation.
    """

    digest: KeyDigest
    host_id: HostId
    incarnation: Incarnation
    issued_s: int


@frozen(kw_only=True)
class PlainKey:
    """Identify a key that the caller chose itself.

    `roster_version` is the roster version by which the asking host chose the owner.
    """

    digest: KeyDigest
    roster_version: int


ClaimKey = IssuedKey | PlainKey


@frozen(kw_only=True)
class RecordedReply:
    """Record a backend server's answer, so that repeats receive it too."""

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)


@frozen(kw_only=True)
class Claimed:
    """Allow an attempt to run until `until_s` on the owner's clock."""

    by: Attempt
    request: RequestDigest
    until_s: float


@frozen(kw_only=True)
class Finished:
    """Record that the request ran; `reply` is None if it was too large to record."""

    by: Attempt
    request: RequestDigest
    reply: RecordedReply | None
    ended_s: float


@frozen(kw_only=True)
class Released:
    """Record that an attempt did not run and must not run; another attempt may."""

    by: Attempt
    ended_s: float


@frozen(kw_only=True)
class OutcomeUnknown:
    """Record that the request may have run."""

    by: Attempt
    request: RequestDigest
    reason: str
    ended_s: float


ClaimState = Claimed | Finished | Released | OutcomeUnknown


@frozen(kw_only=True)
class ClaimRecord:
    """Record the state of one idempotency key's claim, and its organisation if any."""

    organisation: OrganisationName | None
    state: ClaimState


@frozen(kw_only=True)
class ClaimTable:
    """List the claims that this incarnation has granted.

    `counts` is the number of claims of each organisation. `expiry_buckets` lists the
    keys by the second in which they are checked for removal. `reply_bytes` is the
    total size of the recorded replies.
    """

    claims: Map[KeyDigest, ClaimRecord] = field(default=Map(), repr=False)
    counts: Map[OrganisationName | None, int] = Map()
    expiry_buckets: Map[int, tuple[KeyDigest, ...]] = field(default=Map(), repr=False)
    reply_bytes: int = 0


@frozen(kw_only=True)
class ObservedRoster:
    """Describe a roster version that this host observed.

    `fenced_at_s` is the local time from which this host knew that every lease of an
    older version had ended.
    """

    version: int
    hosts: Map[HostId, Host] = field(repr=False)
    fenced_at_s: float | None = None


@frozen(kw_only=True)
class RosterTenure:
    """List consecutive roster versions that this host observed.

    `candidates` contains every host of these versions. It is None until claims
    granted under versions before the first one have expired, and if one of these
    versions does not list this process. A host that the hash function prefers to all
    other candidates for a key has owned this key in every version.
    """

    observed: tuple[ObservedRoster, ...] = ()
    candidates: Roster | None = field(default=None, repr=False)


@frozen(kw_only=True)
class OwnerAuthority:
    """Collect the state from which a host decides whether it may grant claims."""

    own: Host
    roster: Roster
    lease: LeaseState
    tenure: RosterTenure


@frozen(kw_only=True)
class EndedRan:
    """Confirm that a backend server ran the request."""

    reply: RecordedReply | None


@frozen(kw_only=True)
class EndedNotRun:
    """Confirm that the attempt did not run and will not run; `proof` says why."""

    proof: str


@frozen(kw_only=True)
class EndedUnknown:
    """Report that the request may have run."""

    reason: str


ClaimEnd = EndedRan | EndedNotRun | EndedUnknown


@frozen(kw_only=True)
class ClaimReport:
    """Report how an attempt ended to the owner of its key."""

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    end: ClaimEnd


@frozen(kw_only=True)
class ClaimFact:
    """Tell the next owner of a key how a claim ended that an earlier owner granted.

    `ended_wall_s` is the wall clock time of the end in seconds.
    """

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    request: RequestDigest
    end: EndedRan | EndedUnknown
    ended_wall_s: float


@frozen(kw_only=True)
class PendingReport:
    """Represent a report that the key's owner has not confirmed yet.

    The report is sent again at `due_s` and dropped at `give_up_s`; these are monotonic
    times.
    """

    report: ClaimReport = field(repr=False)
    owner: Address
    due_s: float
    give_up_s: float
    tries: int = 0


@frozen(kw_only=True)
class PendingReports:
    """List the reports that the owners of the keys have not confirmed yet."""

    by_attempt: Map[Attempt, PendingReport] = Map()


@frozen(kw_only=True)
class Unclaimed:
    """Indicate that the request needs no claim."""


@frozen(kw_only=True)
class ClaimGranted:
    """Allow the request to run once, until the monotonic time `until_s`."""

    organisation: OrganisationName | None
    digest: KeyDigest
    by: Attempt
    owner: Address
    until_s: float


@frozen(kw_only=True)
class ClaimRepeated:
    """Replay the recorded reply of a request that has run already."""

    reply: Reply


@frozen(kw_only=True)
class ClaimRefused:
    """Refuse to run the request; `outcome` is what is known of an earlier run."""

    outcome: Outcome
    status: int


ClaimResult = Unclaimed | ClaimGranted | ClaimRepeated | ClaimRefused
