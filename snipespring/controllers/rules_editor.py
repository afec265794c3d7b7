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
    "RulesEditor",
    "Conflicted",
    "DamagedRules",
    "NoRules",
    "StoredRules",
    "Unreachable",
]


@frozen(kw_only=True)
class StoredRules:
    """Hold the rules text in the platform."""

    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class NoRules:
    """State that the platform holds no rules."""


@frozen(kw_only=True)
class DamagedRules:
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

    held: StoredRules


@frozen(kw_only=True)
class Unreachable:
    """State that the platform was away; nothing is known to have changed."""

    reason: str


EMPTY_ROOT = RootRecord(version=0, digests=(), text_digest="")
MAX_WRITE_ATTEMPTS = 4

ReadResult = StoredRules | NoRules | DamagedRules | Unreachable
ApplyResult = Accepted | Conflicted | Unreachable


@frozen(kw_only=True)
class _StaleSegment:
    """Hold a segment that the new root drops and its version before that."""

    name: str
    version: int


@define(kw_only=True, eq=False)
class RulesEditor:
    """Read and write the rules; settle a lost answer by reading again."""

    platform: FleetObjectStore

    def read(self) -> ReadResult:
        """Return the rules text that the platform holds."""
        root = self._read_root()
        match root:
            case RootRecord(version=0):
                return NoRules()
            case RootRecord():
                return self._read_text(root)
            case DamagedRules() | Unreachable():
                return root

    def apply(self, content: bytes, *, expected: int | None) -> ApplyResult:
        """Write the rules on top of `expected`, or of what is held now."""
        base = self._read_root()
        match base:
            case Unreachable():
                return base
            case DamagedRules(version=version):
                base = RootRecord(version=version, digests=(), text_digest="")
            case RootRecord():
                pass
        if expected is not None and base.version != expected:
            return self._make_conflict()
        return self._write_rules(content, base)

    def _write_rules(self, content: bytes, base: RootRecord) -> ApplyResult:
        segments = split_into_segments(content)
        root = make_root(base.version, segments)
        stale = self._list_stale_segments(base, root)
        missing = list_missing_segments(root, base.digests)
        for segment in segments:
            if segment.digest in missing and not self._write_segment(segment):
                return Unreachable(reason="a segment could not be written")
        result = self.platform.write(
            CONFIGURATION_OBJECT, encode_root(root), expected=base.version
        )
        match result:
            case ObjectWritten(version=version):
                self._delete_stale_segments(stale)
                return Accepted(version=version)
            case ObjectConflict():
                return self._make_conflict()
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case WriteUncertain(reason=reason):
                return self._resolve_uncertain_write(root, reason)

    def _write_segment(self, segment: Segment) -> bool:
        """Write a segment anew, so that a late deletion cannot take it.

        Whoever dropped it from the rules deletes only the version it knew.
        """
        name = make_segment_name(segment.digest)
        expected = 0
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = self.platform.write(name, segment.content, expected=expected)
            match result:
                case ObjectWritten():
                    return True
                case ObjectConflict() | WriteUncertain():
                    expected = self._get_version(name)
                case PlatformUnavailable():
                    return False
        return False

    def _get_version(self, name: str) -> int:
        match self.platform.read(name):
            case ObjectRead(version=version):
                return version
            case _:
                return 0

    def _list_stale_segments(
        self, base: RootRecord, root: RootRecord
    ) -> tuple[_StaleSegment, ...]:
        names = [
            make_segment_name(digest)
            for digest in list_missing_segments(base, root.digests)
        ]
        return tuple(
            _StaleSegment(name=name, version=self._get_version(name)) for name in names
        )

    def _delete_stale_segments(self, stale: tuple[_StaleSegment, ...]) -> None:
        for entry in stale:
            if entry.version:
                self.platform.delete(entry.name, expected=entry.version)

    def _resolve_uncertain_write(self, root: RootRecord, reason: str) -> ApplyResult:
        held = self._read_root()
        match held:
            case RootRecord(version=version) if version == root.version:
                return Unreachable(reason=f"not accepted: {reason}")
            case RootRecord(text_digest=digest) if digest == root.text_digest:
                return Accepted(version=held.version)
            case RootRecord() | DamagedRules():
                return self._make_conflict()
            case Unreachable(reason=also):
                return Unreachable(reason=f"perhaps accepted: {reason}; then {also}")

    def _make_conflict(self) -> Conflicted | Unreachable:
        held = self.read()
        match held:
            case StoredRules():
                return Conflicted(held=held)
            case NoRules():
                return Conflicted(held=StoredRules(version=0, content=b""))
            case DamagedRules(version=version):
                return Conflicted(held=StoredRules(version=version, content=b""))
            case Unreachable():
                return held

    def _read_root(self) -> RootRecord | DamagedRules | Unreachable:
        match self.platform.read(CONFIGURATION_OBJECT):
            case ObjectRead(version=version, content=content):
                root = decode_root(content, version=version)
                return root or DamagedRules(
                    version=version, reason="not a root of segments"
                )
            case ObjectAbsent():
                return EMPTY_ROOT
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case ObjectUnchanged():
                return Unreachable(reason="the platform answered a read as a watch")

    def _read_text(self, root: RootRecord) -> StoredRules | DamagedRules | Unreachable:
        segments: list[Segment] = []
        for digest in root.digests:
            match self.platform.read(make_segment_name(digest)):
                case ObjectRead(content=content):
                    segments.append(Segment(digest=digest, content=content))
                case PlatformUnavailable(reason=reason):
                    return Unreachable(reason=reason)
                case ObjectAbsent() | ObjectUnchanged():
                    return DamagedRules(
                        version=root.version, reason="a segment is absent"
                    )
        if not all(verify_segment(segment) for segment in segments):
            return DamagedRules(version=root.version, reason="a segment is damaged")
        return StoredRules(version=root.version, content=join_segments(segments))
