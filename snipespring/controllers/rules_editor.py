"""Read and write the rules in the platform.

The rules text is stored as segments and a root record that lists their digests. The
segments are written first. The root record replaces only the version that the editor
expects, so that no concurrent edit is lost.
"""

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
    """Represent the rules text that the platform stores, and its version."""

    version: int
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class NoRules:
    """Report that the platform stores no rules."""


@frozen(kw_only=True)
class DamagedRules:
    """Report that the stored root or segments form no complete rules text."""

    version: int
    reason: str


@frozen(kw_only=True)
class Accepted:
    """Confirm that the platform stores the rules as this version."""

    version: int


@frozen(kw_only=True)
class Conflicted:
    """Report that another edit was written first; `stored` is the current text."""

    stored: StoredRules


@frozen(kw_only=True)
class Unreachable:
    """Report that a call to the platform failed; the rules may be unchanged."""

    reason: str


EMPTY_ROOT = RootRecord(version=0, digests=(), text_digest="")
MAX_WRITE_ATTEMPTS = 4

ReadResult = StoredRules | NoRules | DamagedRules | Unreachable
ApplyResult = Accepted | Conflicted | Unreachable


@frozen(kw_only=True)
class _StaleSegment:
    """Identify a segment that the new root omits, by its version before the write."""

    name: str
    version: int


@define(kw_only=True, eq=False)
class RulesEditor:
    """Read and write the rules; if the answer to a write is lost, read them again."""

    platform: FleetObjectStore

    def read(self) -> ReadResult:
        """Return the rules text that the platform stores."""
        root = self._read_root()
        match root:
            case RootRecord(version=0):
                return NoRules()
            case RootRecord():
                return self._read_text(root)
            case DamagedRules() | Unreachable():
                return root

    def apply(self, content: bytes, *, expected: int | None) -> ApplyResult:
        """Write the rules on top of version `expected`, by default the current one."""
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
                return Unreachable(
                    reason=f"segment {segment.digest} could not be written"
                )
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
        """Write a segment even if it is stored, to protect it from a deletion.

        A concurrent editor whose root record omits the segment deletes it only in the
        version that it has read, and each write gives the segment a new version.
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
        current = self._read_root()
        match current:
            case RootRecord(version=version) if version == root.version:
                return Unreachable(reason=f"rules not written: {reason}")
            case RootRecord(text_digest=digest) if digest == root.text_digest:
                return Accepted(version=current.version)
            case RootRecord() | DamagedRules():
                return self._make_conflict()
            case Unreachable(reason=reread):
                return Unreachable(
                    reason=f"rules perhaps written: {reason}; then {reread}"
                )

    def _make_conflict(self) -> Conflicted | Unreachable:
        current = self.read()
        match current:
            case StoredRules():
                return Conflicted(stored=current)
            case NoRules():
                return Conflicted(stored=StoredRules(version=0, content=b""))
            case DamagedRules(version=version):
                return Conflicted(stored=StoredRules(version=version, content=b""))
            case Unreachable():
                return current

    def _read_root(self) -> RootRecord | DamagedRules | Unreachable:
        match self.platform.read(CONFIGURATION_OBJECT):
            case ObjectRead(version=version, content=content):
                root = decode_root(content, version=version)
                return root or DamagedRules(
                    version=version, reason="malformed root record"
                )
            case ObjectAbsent():
                return EMPTY_ROOT
            case PlatformUnavailable(reason=reason):
                return Unreachable(reason=reason)
            case ObjectUnchanged():
                return Unreachable(reason="the platform answered 'unchanged' to a read")

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
                        version=root.version, reason="a segment is missing"
                    )
        if not all(verify_segment(segment) for segment in segments):
            return DamagedRules(
                version=root.version, reason="a segment does not match its digest"
            )
        return StoredRules(version=root.version, content=join_segments(segments))
