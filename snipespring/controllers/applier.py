"""Write rules to the platform: segments first, then the root conditionally."""

from attrs import define, field, frozen

from ..decisions.rules import (
    RootRecord,
    Segment,
    join_segments,
    list_missing_segments,
    make_root,
    split_into_segments,
    verify_segment,
)
from ..frontends.fleet_objects import (
    CONFIGURATION_OBJECT,
    FleetObjectStore,
    decode_root,
    encode_root,
    make_segment_name,
)
from ..records import (
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    WriteUncertain,
)

__all__ = [
    "Accepted",
    "Applier",
    "Conflicted",
    "Damaged",
    "NothingHeld",
    "RulesHeld",
    "Unreachable",
]


@frozen(kw_only=True)
class RulesHeld:
    """Hold the rules text in the platform."""

    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class NothingHeld:
    """State that the platform holds no rules."""


@frozen(kw_only=True)
class Damaged:
    """State that what the platform holds is no whole rules text."""

    version: int
    reason: str


@frozen(kw_only=True)
class Accepted:
    """State that the platform holds the rules as this version."""

    version: int


@frozen(kw_only=True)
class Conflicted:
    """State that another edit came first."""

    held: RulesHeld


@frozen(kw_only=True)
class Unreachable:
    """State that the platform was away; nothing is known to have changed."""

    reason: str


EMPTY_ROOT = RootRecord(version=0, digests=(), text_digest="")
WRITE_TRIES = 4

Read = RulesHeld | NothingHeld | Damaged | Unreachable
Applied = Accepted | Conflicted | Unreachable


@frozen(kw_only=True)
class _Stale:
    """Hold a segment that the new root drops and its version before that."""

    name: str
    version: int


@define(kw_only=True, eq=False)
class Applier:
    """Read and write the rules; settle a lost answer by reading again."""

    platform: FleetObjectStore

    def read(self) -> Read:
        """Return the rules text that the platform holds."""
        root = self._read_root()
        match root:
            case RootRecord(version=0):
                return NothingHeld()
            case RootRecord():
                return self._read_text(root)
            case Damaged() | Unreachable():
                return root

    def apply(self, content: bytes, *, expected: int | None) -> Applied:
        """Write the rules on top of `expected`, or of what is held now."""
        base = self._read_root()
        match base:
            case Unreachable():
                return base
            case Damaged(version=version):
                base = RootRecord(version=version, digests=(), text_digest="")
            case RootRecord():
                pass
        if expected is not None and base.version != expected:
            return self._conflict()
        return self._write(content, base)

    def _write(self, content: bytes, base: RootRecord) -> Applied:
        segments = split_into_segments(content)
        root = make_root(base.version, segments)
        stale = self._list_stale(base, root)
        missing = list_missing_segments(root, base.digests)
        for segment in segments:
            if segment.digest in missing and not self._hold_segment(segment):
                return Unreachable(reason="a segment could not be written")
        result = self.platform.write(
            CONFIGURATION_OBJECT, encode_root(root), expected=base.version
        )
        match result:
            case ObjectWritten(version=version):
                self._delete_stale(stale)
                return Accepted(version=version)
            case ObjectConflict():
                return self._conflict()
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case WriteUncertain(reason=reason):
                return self._settle(root, reason)

    def _hold_segment(self, segment: Segment) -> bool:
        """Write a segment anew, so that a late deletion cannot take it.

        Whoever dropped it from the rules deletes only the version it knew.
        """
        name = make_segment_name(segment.digest)
        expected = 0
        for _ in range(WRITE_TRIES):
            result = self.platform.write(name, segment.content, expected=expected)
            match result:
                case ObjectWritten():
                    return True
                case ObjectConflict() | WriteUncertain():
                    expected = self._version_of(name)
                case PlatformUnavailable():
                    return False
        return False

    def _version_of(self, name: str) -> int:
        match self.platform.read(name):
            case ObjectRead(version=version):
                return version
            case _:
                return 0

    def _list_stale(self, base: RootRecord, root: RootRecord) -> tuple[_Stale, ...]:
        names = [
            make_segment_name(digest)
            for digest in list_missing_segments(base, root.digests)
        ]
        return tuple(
            _Stale(name=name, version=self._version_of(name)) for name in names
        )

    def _delete_stale(self, stale: tuple[_Stale, ...]) -> None:
        for entry in stale:
            if entry.version:
                self.platform.delete(entry.name, expected=entry.version)

    def _settle(self, root: RootRecord, reason: str) -> Applied:
        held = self._read_root()
        match held:
            case RootRecord(version=version) if version == root.version:
                return Unreachable(reason=f"not accepted: {reason}")
            case RootRecord(text_digest=digest) if digest == root.text_digest:
                return Accepted(version=held.version)
            case RootRecord() | Damaged():
                return self._conflict()
            case Unreachable(reason=also):
                return Unreachable(reason=f"perhaps accepted: {reason}; then {also}")

    def _conflict(self) -> Conflicted | Unreachable:
        held = self.read()
        match held:
            case RulesHeld():
                return Conflicted(held=held)
            case NothingHeld():
                return Conflicted(held=RulesHeld(version=0, content=b""))
            case Damaged(version=version):
                return Conflicted(held=RulesHeld(version=version, content=b""))
            case Unreachable():
                return held

    def _read_root(self) -> RootRecord | Damaged | Unreachable:
        match self.platform.read(CONFIGURATION_OBJECT):
            case ObjectRead(version=version, content=content):
                root = decode_root(content, version=version)
                return root or Damaged(version=version, reason="not a root of segments")
            case ObjectAbsent():
                return EMPTY_ROOT
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case ObjectUnchanged():
                return Unreachable(reason="the platform answered a read as a watch")

    def _read_text(self, root: RootRecord) -> RulesHeld | Damaged | Unreachable:
        segments: list[Segment] = []
        for digest in root.digests:
            match self.platform.read(make_segment_name(digest)):
                case ObjectRead(content=content):
                    segments.append(Segment(digest=digest, content=content))
                case PlatformUnavailable(reason=reason):
                    return Unreachable(reason=reason)
                case ObjectAbsent() | ObjectUnchanged():
                    return Damaged(version=root.version, reason="a segment is absent")
        if not all(verify_segment(segment) for segment in segments):
            return Damaged(version=root.version, reason="a segment is damaged")
        return RulesHeld(version=root.version, content=join_segments(segments))
