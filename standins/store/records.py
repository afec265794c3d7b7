"""Define the state, the calls and the faults of the store's stand-in."""

from typing import Any

from attrs import field, frozen
from immutables import Map

__all__ = [
    "Backup",
    "Change",
    "CreateObject",
    "DelayedWrites",
    "DeleteObject",
    "ListObjects",
    "LostAnswers",
    "NoFault",
    "ObjectKey",
    "ReadObject",
    "RejectedCalls",
    "ReplaceObject",
    "SlowAnswers",
    "StoreAnswer",
    "StoreCall",
    "StoreCounts",
    "StoreFault",
    "StoreState",
    "StoredObject",
    "Unavailable",
    "Unresponsive",
    "WatchObjects",
]


@frozen(kw_only=True)
class ObjectKey:
    """Identify an object."""

    kind: str
    name: str


@frozen(kw_only=True)
class StoredObject:
    """Describe a stored object, with the revisions of its creation and last change."""

    key: ObjectKey
    revision: int
    created: int
    spec: Any
    status: Any = None


@frozen(kw_only=True)
class Change:
    """Describe one change of an object, for watches."""

    revision: int
    obj: StoredObject
    is_removed: bool = False


@frozen(kw_only=True)
class ListObjects:
    """Request the objects of a kind whose names sort after a given name."""

    kind: str
    after: str = ""


@frozen(kw_only=True)
class ReadObject:
    """Request one object."""

    key: ObjectKey


@frozen(kw_only=True)
class WatchObjects:
    """Request the changes of a kind after a revision; if none, wait for the first."""

    kind: str
    after: int
    wait_s: float


@frozen(kw_only=True)
class CreateObject:
    """Create an object; fail if it exists."""

    key: ObjectKey
    spec: Any


@frozen(kw_only=True)
class ReplaceObject:
    """Replace the spec or the status of an object.

    With an expected revision, fail if the object has another one.
    """

    key: ObjectKey
    content: Any
    expected_revision: int | None = None
    is_status: bool = False


@frozen(kw_only=True)
class DeleteObject:
    """Delete an object.

    With an expected revision, fail if the object has another one.
    """

    key: ObjectKey
    expected_revision: int | None = None


StoreCall = (
    ListObjects
    | ReadObject
    | WatchObjects
    | CreateObject
    | ReplaceObject
    | DeleteObject
)


@frozen(kw_only=True)
class NoFault:
    """Answer every call."""


@frozen(kw_only=True)
class RejectedCalls:
    """Answer every call with an error status without applying it."""

    status: int = 503


@frozen(kw_only=True)
class Unresponsive:
    """Leave calls unanswered until the fault ends, then close the connections."""


@frozen(kw_only=True)
class LostAnswers:
    """Apply the next writes but close their connections without an answer."""

    remaining_writes: int


@frozen(kw_only=True)
class Unavailable:
    """Close the connections of all calls and waiting watches without an answer."""


@frozen(kw_only=True)
class SlowAnswers:
    """Apply and answer every call after a delay."""

    delay_s: float


@frozen(kw_only=True)
class DelayedWrites:
    """Close the connections of the next writes and apply the writes after a delay.

    A delayed write is subject to the checks that apply at that time.
    """

    remaining_writes: int
    delay_s: float


StoreFault = (
    NoFault
    | RejectedCalls
    | Unresponsive
    | LostAnswers
    | Unavailable
    | SlowAnswers
    | DelayedWrites
)


@frozen(kw_only=True)
class StoreAnswer:
    """Answer a call with a status, content and the era of the store."""

    status: int
    content: Any
    era: int


@frozen(kw_only=True)
class Backup:
    """Copy the objects of the store at a revision."""

    revision: int = 1
    objects: Map[ObjectKey, StoredObject] = Map()


@frozen(kw_only=True)
class StoreCounts:
    """Count the calls that the store accepted and those that it refused."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    refused: int = 0


@frozen(kw_only=True)
class StoreState:
    """Describe the whole state of the stand-in.

    `history` contains the changes after `compacted_revision`; a watch may start from
    this revision or a later one. `era` counts the restores from `backup`.
    """

    revision: int = 1
    objects: Map[ObjectKey, StoredObject] = Map()
    history: tuple[Change, ...] = ()
    compacted_revision: int = 0
    fault: StoreFault = field(factory=NoFault)
    counts: StoreCounts = StoreCounts()
    era: int = 0
    backup: Backup = Backup()
