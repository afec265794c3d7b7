"""Encode messages as CBOR and refuse whatever does not decode to one."""

from math import isfinite
from typing import Any, get_args

import cattrs
from attrs import frozen
from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, dumps, loads

from ...records import Message

__all__ = ["DecodeFailed", "decode_message", "encode_message"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
KINDS: dict[str, type[Any]] = {cls.__name__: cls for cls in get_args(Message)}

_converter = make_converter(forbid_extra_keys=True, detailed_validation=False)


def _read_exactly(raw: Any, kind: type[Any]) -> Any:
    # Without this the converter would turn 1.9 or "1" into the integer 1.
    if type(raw) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {type(raw).__name__}")
    return raw


def _read_float(raw: Any, _: type[float]) -> float:
    if type(raw) not in (int, float) or not isfinite(raw):
        raise TypeError("expected a finite number")
    return float(raw)


for _kind in (bool, bytes, int, str):
    _converter.register_structure_hook(_kind, _read_exactly)
_converter.register_structure_hook(float, _read_float)


@frozen(kw_only=True)
class DecodeFailed:
    """State why bytes from a peer are no message."""

    reason: str


def encode_message(message: Message) -> bytes:
    """Return the message as CBOR, tagged with its kind."""
    content = _converter.unstructure(message)
    return dumps([type(message).__name__, content])


def decode_message(content: bytes) -> Message | DecodeFailed:
    """Return the message in the bytes, or why there is none."""
    if len(content) > MAX_MESSAGE_BYTES:
        return DecodeFailed(reason="the message is too large")
    try:
        kind, fields = loads(content)
        message: Message = _converter.structure(fields, KINDS[kind])
    except (
        CBORDecodeError,
        cattrs.BaseValidationError,
        cattrs.StructureHandlerNotFoundError,
        cattrs.ForbiddenExtraKeysError,
        ArithmeticError,
        AttributeError,
        LookupError,
        MemoryError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        # The text of an error may itself fail on hostile content.
        return DecodeFailed(reason=type(exc).__name__)
    return message
