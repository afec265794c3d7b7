"""Split a rules text into segments so that a small edit changes few of them."""

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

# Segments are stored in base64, which is a third longer, in values of at most 1 MB.
SEGMENT_MAX_BYTES = 700_000
SEGMENT_MIN_BYTES = 16_384
MEAN_LINES_PER_SEGMENT = 4096  # about 256 KiB if lines have 64 bytes


def split_into_segments(
    text: bytes, max_bytes: int = SEGMENT_MAX_BYTES
) -> tuple[Segment, ...]:
    """Split a text after lines whose hash marks a boundary, or at `max_bytes`.

    Since such a boundary depends on one line only, an edit usually leaves the segments
    elsewhere in the text unchanged.
    """
    return tuple(
        Segment(digest=_digest(content), content=content)
        for content in _split_text(text, max_bytes)
    )


def join_segments(segments: Iterable[Segment]) -> bytes:
    """Return the text that was split into the segments."""
    return b"".join(segment.content for segment in segments)


def verify_segment(segment: Segment) -> bool:
    """Return whether the content of a segment matches its digest."""
    return _digest(segment.content) == segment.digest


def make_root(version: int, segments: Iterable[Segment]) -> RootRecord:
    """Return the root record of a version from its segments, given in order."""
    ordered = tuple(segments)
    return RootRecord(
        version=version,
        digests=tuple(segment.digest for segment in ordered),
        text_digest=_digest(join_segments(ordered)),
    )


def list_missing_segments(
    root: RootRecord, known_digests: Collection[str]
) -> tuple[str, ...]:
    """Return the digests in a root record that are unknown, each once and in order."""
    digests = dict.fromkeys(root.digests)
    return tuple(digest for digest in digests if digest not in known_digests)


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
