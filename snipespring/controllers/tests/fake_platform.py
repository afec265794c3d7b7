"""Simulate a platform that loses writes or answers, delays deletions or fails.

The next `lose_writes` writes and then `lose_answers` answers to writes are lost.
"""

from attrs import define, field

from snipespring.records import (
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    ReadResult,
    WriteResult,
    WriteUncertain,
)

MAX_VALUE_BYTES = 1024 * 1024


@define(kw_only=True, eq=False)
class FakePlatform:
    objects: dict[str, ObjectRead] = field(factory=dict)
    lose_answers: int = 0
    lose_writes: int = 0
    is_unavailable: bool = False
    reads: list[str] = field(factory=list)
    writes: list[str] = field(factory=list)
    delay_deletions: bool = False
    delayed_deletions: list[tuple[str, int]] = field(factory=list)

    def read(self, name: str) -> ReadResult:
        self.reads.append(name)
        if self.is_unavailable:
            return PlatformUnavailable(reason="unavailable")
        return self.objects.get(name, ObjectAbsent(name=name))

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        result = self.read(name)
        if isinstance(result, ObjectRead) and result.version <= after:
            return ObjectUnchanged(name=name)
        return result

    def write(self, name: str, content: bytes, *, expected: int) -> WriteResult:
        self.writes.append(name)
        if self.is_unavailable or len(content) > MAX_VALUE_BYTES:
            return PlatformUnavailable(reason="write rejected")
        if self.lose_writes:
            self.lose_writes -= 1
            return WriteUncertain(reason="lost before the write")
        stored = self.objects.get(name)
        if (stored.version if stored is not None else 0) != expected:
            return ObjectConflict(name=name)
        version = expected + 1
        self.objects[name] = ObjectRead(name=name, version=version, content=content)
        if self.lose_answers:
            self.lose_answers -= 1
            return WriteUncertain(reason="lost after the write")
        return ObjectWritten(name=name, version=version)

    def delete(self, name: str, *, expected: int) -> WriteResult:
        if self.delay_deletions:
            self.delayed_deletions.append((name, expected))
            return WriteUncertain(reason="deletion delayed")
        stored = self.objects.get(name)
        if stored is None or stored.version != expected:
            return ObjectConflict(name=name)
        del self.objects[name]
        return ObjectWritten(name=name, version=expected + 1)
