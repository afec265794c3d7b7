"""Define the state, the calls and the faults of the store's stand-in."""

from typing import Any

from attrs import field, frozen
from immutables import Map

__all__ = [
    "Unavailable",
    "RejectedCalls",
    "Change",
    "CreateObject",
    "DelayedWrites",
    "DeleteObject",
    "ObjectKey",
    "ListObjects",
    "LostAnswers",
    "ReadObject",
    "ReplaceObject",
    "Unresponsive",
    "SlowAnswers",
    "StoreCounts",
    "StoreCall",
    "StoreFault",
    "StoreState",
    "StoredObject",
    "NoFault",
    "WatchObjects",
]


@frozen(kw_only=True)
class ObjectKey:
    """Name one object."""

    kind: str
    name: str


@frozen(kw_only=True)
class StoredObject:
    """Hold one object; its revision is that of its last change."""

    key: ObjectKey
    revision: int
    created: int
    spec: Any
    status: Any = None


@frozen(kw_only=True)
class Change:
    """Hold one step of the history."""

    revision: int
    obj: StoredObject
    is_removed: bool = False


@frozen(kw_only=True)
class ListObjects:
    """Ask for the objects of a kind, after a name."""

    kind: str
    after: str = ""


@frozen(kw_only=True)
class ReadObject:
    """Ask for one object."""

    key: ObjectKey


@frozen(kw_only=True)
class WatchObjects:
    """Ask for the changes of a kind after a revision."""

    kind: str
    after: int
    wait_s: float


@frozen(kw_only=True)
class CreateObject:
    """Create an object that does not exist."""

    key: ObjectKey
    spec: Any


@frozen(kw_only=True)
class ReplaceObject:
    """Replace an object's spec, or its status, if it has the revision named."""

    key: ObjectKey
    content: Any
    expected_revision: int | None = None
    is_status: bool = False


@frozen(kw_only=True)
class DeleteObject:
    """Remove an object if it has the revision named."""

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
    """Refuse every call with a status and do nothing."""

    status: int = 503


@frozen(kw_only=True)
class Unresponsive:
    """Answer nothing until the fault ends."""


@frozen(kw_only=True)
class LostAnswers:
    """Do the next writes and lose their answers."""

    remaining_writes: int


@frozen(kw_only=True)
class Unavailable:
    """Break off every call and every watch that waits."""


@frozen(kw_only=True)
class SlowAnswers:
    """Answer every call after a delay."""

    delay_s: float


@frozen(kw_only=True)
class DelayedWrites:
    """Break off the next writes and do them after a delay, if they still may be."""

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
class StoreCounts:
    """Count the calls that the store took, and those that it refused."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    refused: int = 0


@frozen(kw_only=True)
class StoreState:
    """Hold everything that the stand-in knows; watches go back to `compacted_revision`."""

    revision: int = 1
    objects: Map[ObjectKey, StoredObject] = Map()
    history: tuple[Change, ...] = ()
    compacted_revision: int = 0
    fault: StoreFault = field(factory=NoFault)
    counts: StoreCounts = StoreCounts()
