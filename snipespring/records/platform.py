"""Objects of the platform's store and the results of calls to it."""

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
    """One object and its version in the store."""

    name: str
    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class ObjectAbsent:
    """The store has no object of that name."""

    name: str


@frozen(kw_only=True)
class ObjectUnchanged:
    """A watch ended without a newer version."""

    name: str


@frozen(kw_only=True)
class ObjectWritten:
    """A write succeeded and created a new version."""

    name: str
    version: int


@frozen(kw_only=True)
class ObjectConflict:
    """The object's version was not the expected one."""

    name: str


@frozen(kw_only=True)
class PlatformUnavailable:
    """The platform did not execute the call."""

    reason: str


@frozen(kw_only=True)
class WriteUncertain:
    """A write may have taken effect, but its answer was lost."""

    reason: str


ReadResult = ObjectRead | ObjectAbsent | ObjectUnchanged | PlatformUnavailable
WriteResult = ObjectWritten | ObjectConflict | PlatformUnavailable | WriteUncertain
