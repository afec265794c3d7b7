"""Name records and fields as they leave the process."""

from typing import Any

__all__ = ["FIELD_NAMES", "KIND_NAMES", "field_name", "kind_name"]

# Messages, stored objects, events and the state dump carry these names where the
# class or attribute has another one: peers and readers of an older build rely on them.
KIND_NAMES: dict[type[Any], str] = {}
FIELD_NAMES: dict[type[Any], dict[str, str]] = {}


def kind_name(kind: type[Any]) -> str:
    """Return the name of a record class outside the process."""
    return KIND_NAMES.get(kind, kind.__name__)


def field_name(kind: type[Any], attribute: str) -> str:
    """Return the name of a record's field outside the process."""
    return FIELD_NAMES.get(kind, {}).get(attribute, attribute)
