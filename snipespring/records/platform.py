"""Hold objects of the platform's store and the results of calls to it."""

from attrs import field, frozen

__all__ = [
    "ObjectAbsent",
    "ObjectConflict",
    "ObjectRead",
    "ObjectUnchanged",
    "ObjectWritten",
    "PlatformUnavailable",
    "ReadResult",
    "WriteResult",
    "WriteUncertain",
]


@frozen(kw_only=True)
class ObjectRead:
    """Carry one object and its version in the store."""

    name: str
    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class ObjectAbsent:
    """State that the store holds no object of that name."""

    name: str


@frozen(kw_only=True)
class ObjectUnchanged:
    """State that a watch ended without a newer version."""

    name: str


@frozen(kw_only=True)
class ObjectWritten:
    """Confirm a write and give the new version."""

    name: str
    version: int


@frozen(kw_only=True)
class ObjectConflict:
    """State that the object's version was not the expected one."""

    name: str


@frozen(kw_only=True)
class PlatformUnavailable:
    """State that the platform did not take the call."""

    reason: str


@frozen(kw_only=True)
class WriteUncertain:
    """State that a write may have taken effect though its answer was lost."""

    reason: str


ReadResult = ObjectRead | ObjectAbsent | ObjectUnchanged | PlatformUnavailable
WriteResult = ObjectWritten | ObjectConflict | PlatformUnavailable | WriteUncertain
