"""Define the state, the calls and the faults of the store's stand-in."""

from typing import Any

from attrs import field, frozen
from immutables import Map

__all__ = [
    "Away",
    "Busy",
    "Change",
    "Create",
    "Delaying",
    "Delete",
    "Key",
    "ListKind",
    "Losing",
    "ReadOne",
    "Replace",
    "Silent",
    "Slow",
    "StoreCounts",
    "StoreCall",
    "StoreFaults",
    "StoreState",
    "Stored",
    "Up",
    "WatchKind",
]


@frozen(kw_only=True)
class Key:
    """Name one object."""

    kind: str
    name: str


@frozen(kw_only=True)
class Stored:
    """Hold one object; its revision is that of its last change."""

    key: Key
    revision: int
    created: int
    spec: Any
    status: Any = None


@frozen(kw_only=True)
class Change:
    """Hold one step of the history."""

    revision: int
    obj: Stored
    is_removed: bool = False


@frozen(kw_only=True)
class ListKind:
    """Ask for the objects of a kind, after a name."""

    kind: str
    after: str = ""


@frozen(kw_only=True)
class ReadOne:
    """Ask for one object."""

    key: Key


@frozen(kw_only=True)
class WatchKind:
    """Ask for the changes of a kind after a revision."""

    kind: str
    after: int
    wait_s: float


@frozen(kw_only=True)
class Create:
    """Create an object that does not exist."""

    key: Key
    spec: Any


@frozen(kw_only=True)
class Replace:
    """Replace an object's spec, or its status, if it has the revision named."""

    key: Key
    content: Any
    expected: int | None = None
    is_status: bool = False


@frozen(kw_only=True)
class Delete:
    """Remove an object if it has the revision named."""

    key: Key
    expected: int | None = None


StoreCall = ListKind | ReadOne | WatchKind | Create | Replace | Delete


@frozen(kw_only=True)
class Up:
    """Answer every call."""


@frozen(kw_only=True)
class Busy:
    """Refuse every call with a status and do nothing."""

    status: int = 503


@frozen(kw_only=True)
class Silent:
    """Answer nothing until the fault ends."""


@frozen(kw_only=True)
class Losing:
    """Do the next writes and lose their answers."""

    writes: int


@frozen(kw_only=True)
class Away:
    """Break off every call and every watch that waits."""


@frozen(kw_only=True)
class Slow:
    """Answer every call after a delay."""

    delay_s: float


@frozen(kw_only=True)
class Delaying:
    """Break off the next writes and do them after a delay, if they still may be."""

    writes: int
    delay_s: float


StoreFaults = Up | Busy | Silent | Losing | Away | Slow | Delaying


@frozen(kw_only=True)
class StoreCounts:
    """Count the calls that the store took, and those that it refused."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    refused: int = 0


@frozen(kw_only=True)
class StoreState:
    """Hold everything that the stand-in knows; watches go back to `oldest`."""

    revision: int = 1
    objects: Map[Key, Stored] = Map()
    history: tuple[Change, ...] = ()
    oldest: int = 0
    faults: StoreFaults = field(factory=Up)
    counts: StoreCounts = StoreCounts()
