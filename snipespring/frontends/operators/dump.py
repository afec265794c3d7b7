"""Convert records to JSON for operators."""

import json
from typing import Any

import attrs
from immutables import Map

from ...blackboard import Board
from ...records import Address, ServerId
from ..outer_names import outer_field_name, outer_kind_name

__all__ = ["dump_board", "dump_record"]


def dump_board(board: Board) -> bytes:
    """Return every region of the blackboard as JSON; API keys appear as digests."""
    return json.dumps(dump_record(board.dump()), indent=1).encode()


def dump_record(record: Any) -> Any:
    """Return a record as JSON values, with the names used outside the process."""
    if isinstance(record, Address | ServerId):
        return str(record)
    if attrs.has(type(record)):
        fields = {"kind": outer_kind_name(type(record))}
        for attribute in attrs.fields(type(record)):
            if attribute.repr:
                name = outer_field_name(type(record), attribute.name)
                fields[name] = dump_record(getattr(record, attribute.name))
        return fields
    if isinstance(record, dict | Map):
        return {_format_key(key): dump_record(val) for key, val in record.items()}
    if isinstance(record, tuple | list | set | frozenset):
        return [dump_record(val) for val in record]
    if isinstance(record, str | int | float | bool) or record is None:
        return record
    return str(record)


def _format_key(key: Any) -> str:
    if isinstance(key, tuple):
        return "/".join(str(part) for part in key)
    return str(key)
