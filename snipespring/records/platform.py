"""Define objects of the platform's store and the results of calls to it."""

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
    """Return one object and its version in the store."""

    name: str
    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class ObjectAbsent:
    """Report that the store has no object of that name."""

    name: str


@frozen(kw_only=True)
class ObjectUnchanged:
    """Report that a watch ended without a newer version."""

    name: str


@frozen(kw_only=True)
class ObjectWritten:
    """Confirm a write and state the new version and the era of the store."""

    name: str
    version: int
    era: int = 0


@frozen(kw_only=True)
class ObjectConflict:
    """Report that the object's version was not the expected one."""

    name: str


@frozen(kw_only=True)
class PlatformUnavailable:
    """Report that the platform did not execute the call."""

    reason: str


@frozen(kw_only=True)
class WriteUncertain:
    """Report that a write may have taken effect, but its answer was lost."""

    reason: str


ReadResult = ObjectRead | ObjectAbsent | ObjectUnchanged | PlatformUnavailable
WriteResult = ObjectWritten | ObjectConflict | PlatformUnavailable | WriteUncertain
