"""Define the state, calls and outcomes of the platform's stand-in."""

from attrs import frozen
from immutables import Map

__all__ = [
    "Absent",
    "Admission",
    "Admitted",
    "Away",
    "Call",
    "Conflict",
    "Counts",
    "DeleteObject",
    "Entry",
    "Faults",
    "Found",
    "HostList",
    "HostNames",
    "ListHosts",
    "ListObjects",
    "Listing",
    "Mode",
    "NoAnswer",
    "Outcome",
    "PlatformState",
    "ReadObject",
    "Refused",
    "Slow",
    "StoredObject",
    "TooLarge",
    "Unchanged",
    "Up",
    "WatchObject",
    "WriteObject",
    "Written",
]


@frozen(kw_only=True)
class ReadObject:
    """Ask for an object."""

    name: str


@frozen(kw_only=True)
class WatchObject:
    """Ask for an object once it is newer than a version."""

    name: str
    after_version: int
    wait_s: float


@frozen(kw_only=True)
class WriteObject:
    """Replace an object if it has the version; 0 means that it is absent."""

    name: str
    if_version: int
    value: bytes


@frozen(kw_only=True)
class DeleteObject:
    """Delete an object if it has the version."""

    name: str
    if_version: int


@frozen(kw_only=True)
class ListObjects:
    """Ask for the names that start with a prefix."""

    prefix: str


@frozen(kw_only=True)
class ListHosts:
    """Ask for the host list."""


Call = ReadObject | WatchObject | WriteObject | DeleteObject | ListObjects | ListHosts


@frozen(kw_only=True)
class Admitted:
    """Take a call, and name the outages that came before it."""

    outages: int


@frozen(kw_only=True)
class Refused:
    """Leave a call without an answer."""


Admission = Admitted | Refused


@frozen(kw_only=True)
class Found:
    """Answer with an object."""

    version: int
    value: bytes


@frozen(kw_only=True)
class Absent:
    """Report that there is no object, and the version of its deletion or 0."""

    version: int


@frozen(kw_only=True)
class Unchanged:
    """Report that a watch ended without a newer version."""


@frozen(kw_only=True)
class Written:
    """Confirm a write or a deletion."""

    version: int


@frozen(kw_only=True)
class Conflict:
    """Refuse a write and report the version that it had to name."""

    version: int


@frozen(kw_only=True)
class TooLarge:
    """Refuse a value above the size limit."""


@frozen(kw_only=True)
class Entry:
    """Name one object in a listing."""

    name: str
    version: int


@frozen(kw_only=True)
class Listing:
    """Answer with the objects under a prefix."""

    entries: tuple[Entry, ...]


@frozen(kw_only=True)
class HostNames:
    """Answer with the visible host list."""

    names: tuple[str, ...]


@frozen(kw_only=True)
class NoAnswer:
    """Close the connection instead of answering."""


Outcome = (
    Found
    | Absent
    | Unchanged
    | Written
    | Conflict
    | TooLarge
    | Listing
    | HostNames
    | NoAnswer
)


@frozen(kw_only=True)
class Up:
    """Answer at once."""


@frozen(kw_only=True)
class Away:
    """Answer no object call."""


@frozen(kw_only=True)
class Slow:
    """Delay every call."""

    delay_s: float


Mode = Up | Away | Slow


@frozen(kw_only=True)
class Faults:
    """Say how the platform fails and how many answers to writes it loses."""

    mode: Mode = Up()
    lose_answers: int = 0


@frozen(kw_only=True)
class StoredObject:
    """Hold a value and its version; a deleted object has no value."""

    version: int
    value: bytes | None


@frozen(kw_only=True)
class HostList:
    """Hold the visible names and those that replace them at a time."""

    names: tuple[str, ...] = ()
    next_names: tuple[str, ...] = ()
    visible_at_s: float = 0.0


@frozen(kw_only=True)
class Counts:
    """Count calls; refused calls came while the platform was away."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0


@frozen(kw_only=True)
class PlatformState:
    """Hold everything that the stand-in knows."""

    objects: Map[str, StoredObject] = Map()
    hosts: HostList = HostList()
    counts: Counts = Counts()
    faults: Faults = Faults()
    outages: int = 0
