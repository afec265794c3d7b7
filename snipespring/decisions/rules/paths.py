"""Split request paths and route prefixes into segments."""

from collections.abc import Iterator
from urllib.parse import unquote

__all__ = ["first_segment", "list_prefixes", "normalise_path", "prefix_sort_key"]

_DOT_SEGMENTS = frozenset({".", ".."})


def first_segment(path: str) -> str:
    """Return the first segment of a path with its leading slash."""
    return "/" + path[1:].partition("/")[0]


def normalise_path(target: str) -> str | None:
    """Return the decoded path of a request target, without query or trailing slash.

    Return None for a path that does not start with a slash or that has empty or dot
    segments, since a server might resolve it to the path of another route.
    """
    path = unquote(target.partition("?")[0].partition("#")[0])
    if not path.startswith("/"):
        return None
    if path == "/":
        return path
    segments = path.removesuffix("/").split("/")[1:]
    if "" in segments or _DOT_SEGMENTS.intersection(segments):
        return None
    return "/" + "/".join(segments)


def prefix_sort_key(prefix: str) -> tuple[int, str]:
    """Return the sort key that puts longer prefixes first."""
    return (-len(prefix), prefix)


def list_prefixes(path: str, max_length: int) -> Iterator[str]:
    """Yield the prefixes of a path at segment boundaries, longest first.

    Prefixes of more than `max_length` characters and the empty prefix are omitted.
    """
    end = len(path)
    if end > max_length:
        end = path.rfind("/", 0, max_length + 1)
    while end > 0:
        yield path[:end]
        end = path.rfind("/", 0, end)
