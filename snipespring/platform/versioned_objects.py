"""Keep the fleet's own named contents as objects of the store."""

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

CONTENT_FIELD = "content"  # of the object's spec: base64, since bodies are JSON
VERSION_FIELD = "version"  # counts an object's changes, as the fleet's records do
DEFAULT_PORT = 80  # of a base URL that names none


@frozen(kw_only=True)
class _KnownVersion:
    """Hold a version as last seen and the store's revision that stands for it."""

    version: int
    revision: int


@define(kw_only=True, eq=False)
class VersionedObjectStore:
    """Read and write contents through the object store at `url`.

    The store's revisions are those of all objects; a content's own versions rise by
    one with each change.
    """

    url: str
    timeout_s: float
    _store: ObjectStoreClient = field(init=False)
    _known: dict[str, _KnownVersion] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Make the store's client."""
        parts = urlsplit(self.url)
        address = Address(ip=parts.hostname or "", port=parts.port or DEFAULT_PORT)
        self._store = ObjectStoreClient(address=address, timeout_s=self.timeout_s)

    def read(self, name: str) -> ReadResult:
        """Return the object, its absence, or that the platform is away."""
        match self._store.read(*_split_name(name)):
            case StoredObject() as obj:
                return self._decode_and_record(name, obj)
            case ObjectAbsent():
                return ObjectAbsent(name=name)
            case PlatformUnavailable() as away:
                return away

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        """Wait up to `wait_s` seconds for a version greater than `after`."""
        kind, key = _split_name(name)
        held = self._known.get(name)
        if held is None or held.version != after:
            return self.read(name)
        match self._store.watch(kind, after=held.revision, wait_s=wait_s):
            case ObjectChanges(changes=changes):
                own = [one for one in changes if one.obj.name == key]
                if not own:
                    return ObjectUnchanged(name=name)
                if own[-1].is_removed:
                    return ObjectAbsent(name=name)
                return self._decode_and_record(name, own[-1].obj)
            case StoreGap():
                return self.read(name)
            case PlatformUnavailable() as away:
                return away

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
            case int() as revision:
                result = self._store.replace(kind, key, spec, expected=revision)
                return self._record_write(name, version, result)
            case failure:
                return failure

    def delete(self, name: str, *, expected: int) -> WriteResult:
        """Remove the object if its version is `expected`."""
        match self._find_revision(name, expected):
            case int() as revision:
                result = self._store.delete(*_split_name(name), expected=revision)
                self._known.pop(name, None)
                return result
            case failure:
                return failure

    def _find_revision(
        self, name: str, version: int
    ) -> int | ObjectConflict | PlatformUnavailable:
        """Return the store's revision for a version of the object."""
        held = self._known.get(name)
        if held is not None and held.version == version:
            return held.revision
        match self.read(name):
            case PlatformUnavailable() as away:
                return away
            case ObjectRead(version=found) if found == version:
                return self._known[name].revision
            case _:
                return ObjectConflict(name=name)

    def _record_write(
        self, name: str, version: int, result: WriteResult
    ) -> WriteResult:
        """Return the result with the content's own version, and remember it."""
        match result:
            case ObjectWritten(version=revision):
                self._known[name] = _KnownVersion(version=version, revision=revision)
                return ObjectWritten(name=name, version=version)
            case _:
                return result

    def _decode_and_record(
        self, name: str, obj: StoredObject
    ) -> ObjectRead | PlatformUnavailable:
        read = _decode(name, obj)
        match read:
            case ObjectRead(version=version):
                self._known[name] = _KnownVersion(
                    version=version, revision=obj.revision
                )
        return read


def _split_name(name: str) -> tuple[str, str]:
    """Return the kind and the name in the store."""
    kind, _, key = name.partition("/")
    return kind, key


def _decode(name: str, obj: StoredObject) -> ObjectRead | PlatformUnavailable:
    spec = obj.content.get("Spec")
    unreadable = PlatformUnavailable(reason=f"{name} holds no readable content")
    if not isinstance(spec, dict):
        return unreadable
    version, encoded = spec.get(VERSION_FIELD), spec.get(CONTENT_FIELD)
    if not isinstance(version, int) or not isinstance(encoded, str):
        return unreadable
    try:
        content = b64decode(encoded, validate=True)
    except ValueError:
        return unreadable
    return ObjectRead(name=name, version=version, content=content)
