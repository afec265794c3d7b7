"""Store the fleet's objects, with versions, in the platform's object store."""

from base64 import b64decode, b64encode
from urllib.parse import urlsplit

from attrs import define, field, frozen

from ..records import (
    Address,
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    ReadResult,
    WriteResult,
)
from .store import ObjectChanges, ObjectStoreClient, StoredObject, StoreGap

__all__ = ["VersionedObjectStore"]

CONTENT_FIELD = "content"  # in the object's spec; as base64, since the spec is JSON
VERSION_FIELD = "version"  # in the object's spec; rises by one with each change
DEFAULT_PORT = 80  # for a base URL without a port


@frozen(kw_only=True)
class _KnownVersion:
    """Represent the last known version of an object and its revision in an era."""

    version: int
    revision: int
    era: int


@define(kw_only=True, eq=False)
class VersionedObjectStore:
    """Read and write the fleet's objects in the object store at `url`.

    The store has one sequence of revisions for all objects, whereas the version of
    an object rises by one with each change of this object.
    """

    url: str
    timeout_s: float
    _store: ObjectStoreClient = field(init=False)
    _known: dict[str, _KnownVersion] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the store's client."""
        parts = urlsplit(self.url)
        address = Address(ip=parts.hostname or "", port=parts.port or DEFAULT_PORT)
        self._store = ObjectStoreClient(address=address, timeout_s=self.timeout_s)

    def read(self, name: str) -> ReadResult:
        """Return the object, its absence, or that the platform is unavailable."""
        match self._store.read(*_split_name(name)):
            case StoredObject() as obj:
                return self._decode_and_record(name, obj)
            case ObjectAbsent():
                return ObjectAbsent(name=name)
            case PlatformUnavailable() as unavailable:
                return unavailable

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        """Wait up to `wait_s` seconds for a version greater than `after`."""
        kind, key = _split_name(name)
        known = self._known.get(name)
        if known is None or known.version != after or self._is_outdated(known):
            return self.read(name)
        match self._store.watch(kind, after=known.revision, wait_s=wait_s):
            case ObjectChanges(changes=changes):
                matching = [change for change in changes if change.obj.name == key]
                if not matching:
                    return ObjectUnchanged(name=name)
                if matching[-1].is_removed:
                    return ObjectAbsent(name=name)
                return self._decode_and_record(name, matching[-1].obj)
            case StoreGap():
                return self.read(name)
            case PlatformUnavailable() as unavailable:
                return unavailable

    def write(self, name: str, content: bytes, *, expected: int) -> WriteResult:
        """Replace the object if its version is `expected`; 0 means absent."""
        version = expected + 1
        encoded = b64encode(content).decode("ascii")
        spec = {VERSION_FIELD: version, CONTENT_FIELD: encoded}
        kind, key = _split_name(name)
        if expected == 0:
            return self._record_write(
                name, version, self._store.create(kind, key, spec)
            )
        match self._find_revision(name, expected):
            case _KnownVersion(revision=revision, era=era):
                result = self._store.replace(
                    kind, key, spec, expected=revision, era=era
                )
                return self._record_write(name, version, result)
            case failure:
                return failure

    def delete(self, name: str, *, expected: int) -> WriteResult:
        """Remove the object if its version is `expected`."""
        match self._find_revision(name, expected):
            case _KnownVersion(revision=revision, era=era):
                result = self._store.delete(
                    *_split_name(name), expected=revision, era=era
                )
                self._known.pop(name, None)
                return result
            case failure:
                return failure

    def _find_revision(
        self, name: str, version: int
    ) -> _KnownVersion | ObjectConflict | PlatformUnavailable:
        """Return the store's revision and era for a version of the object."""
        known = self._known.get(name)
        if known and known.version == version and not self._is_outdated(known):
            return known
        match self.read(name):
            case PlatformUnavailable() as unavailable:
                return unavailable
            case ObjectRead(version=found) if found == version:
                return self._known[name]
            case _:
                return ObjectConflict(name=name)

    def _is_outdated(self, known: _KnownVersion) -> bool:
        """Return whether the store was restored since, so that the revision is void."""
        return known.era < self._store.newest_era

    def _record_write(
        self, name: str, version: int, result: WriteResult
    ) -> WriteResult:
        """Replace the store's revision in the result by the object's version.

        Record both after a successful write.
        """
        match result:
            case ObjectWritten(version=revision, era=era):
                self._known[name] = _KnownVersion(
                    version=version, revision=revision, era=era
                )
                return ObjectWritten(name=name, version=version)
            case _:
                return result

    def _decode_and_record(
        self, name: str, obj: StoredObject
    ) -> ObjectRead | PlatformUnavailable:
        result = _decode(name, obj)
        match result:
            case ObjectRead(version=version):
                self._known[name] = _KnownVersion(
                    version=version, revision=obj.revision, era=obj.era
                )
        return result


def _split_name(name: str) -> tuple[str, str]:
    """Return the kind and the name in the store of an object named `KIND/NAME`."""
    kind, _, key = name.partition("/")
    return kind, key


def _decode(name: str, obj: StoredObject) -> ObjectRead | PlatformUnavailable:
    spec = obj.content.get("Spec")
    malformed = PlatformUnavailable(reason=f"the content of {name} is malformed")
    if not isinstance(spec, dict):
        return malformed
    version, encoded = spec.get(VERSION_FIELD), spec.get(CONTENT_FIELD)
    if not isinstance(version, int) or not isinstance(encoded, str):
        return malformed
    try:
        content = b64decode(encoded, validate=True)
    except ValueError:
        return malformed
    return ObjectRead(name=name, version=version, content=content)
