"""Cut a rules text into segments that survive small edits elsewhere in it."""

from collections.abc import Collection, Iterable, Iterator
from hashlib import sha256

from xxhash import xxh64_intdigest

from .records import RootRecord, Segment

__all__ = [
    "join_segments",
    "make_root",
    "list_missing_segments",
    "split_into_segments",
    "verify_segment",
]

SEGMENT_MAX_BYTES = 700_000  # base64 keeps it below the megabyte of a value
SEGMENT_MIN_BYTES = 16_384
MEAN_LINES_PER_SEGMENT = 4096  # about 256 KiB of lines of 64 bytes


def split_into_segments(
    text: bytes, max_bytes: int = SEGMENT_MAX_BYTES
) -> tuple[Segment, ...]:
    """Cut a text after lines whose hash marks a boundary, or at the limit in bytes."""
    return tuple(
        Segment(digest=_digest(content), content=content)
        for content in _split_text(text, max_bytes)
    )


def join_segments(segments: Iterable[Segment]) -> bytes:
    """Return the text that segments were cut from."""
    return b"".join(segment.content for segment in segments)


def verify_segment(segment: Segment) -> bool:
    """Tell whether the content of a segment has its digest."""
    return _digest(segment.content) == segment.digest


def make_root(version: int, segments: Iterable[Segment]) -> RootRecord:
    """Name the segments of one version in order."""
    ordered = tuple(segments)
    return RootRecord(
        version=version,
        digests=tuple(segment.digest for segment in ordered),
        text_digest=_digest(join_segments(ordered)),
    )


def list_missing_segments(
    root: RootRecord, known_digests: Collection[str]
) -> tuple[str, ...]:
    """List once each digest of a root that is not held."""
    wanted = dict.fromkeys(root.digests)
    return tuple(digest for digest in wanted if digest not in known_digests)


def _split_text(text: bytes, max_bytes: int) -> Iterator[bytes]:
    start = 0
    end = 0
    for line in _split_lines(text, max_bytes):
        if end + len(line) - start > max_bytes:
            yield text[start:end]
            start = end
        end += len(line)
        if end - start >= SEGMENT_MIN_BYTES and _is_boundary(line):
            yield text[start:end]
            start = end
    if start < end:
        yield text[start:end]


def _split_lines(text: bytes, max_bytes: int) -> Iterator[bytes]:
    start = 0
    while start < len(text):
        newline = text.find(b"\n", start, start + max_bytes)
        end = newline + 1 if newline >= 0 else start + max_bytes
        yield text[start:end]
        start = end


def _is_boundary(line: bytes) -> bool:
    return xxh64_intdigest(line) % MEAN_LINES_PER_SEGMENT == 0


def _digest(content: bytes) -> str:
    return sha256(content).hexdigest()
