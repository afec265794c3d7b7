"""Encode messages as CBOR, and decode them with strict checks."""

from typing import Any, get_args

from attrs import frozen
from cbor2 import dumps

from ...records import Message
from ..cbor import DECODING_ERRORS, decode_cbor, make_strict_converter
from ..outer_names import outer_kind_name

__all__ = ["DecodeFailed", "decode_message", "encode_message"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MESSAGE_KINDS: dict[str, type[Any]] = {
    outer_kind_name(cls): cls for cls in get_args(Message)
}

_converter = make_strict_converter()


@frozen(kw_only=True)
class DecodeFailed:
    """Report why content from a peer is not a message."""

    reason: str


def encode_message(message: Message) -> bytes:
    """Return the message as CBOR, tagged with its kind."""
    content = _converter.unstructure(message)
    return dumps([outer_kind_name(type(message)), content])


def decode_message(content: bytes) -> Message | DecodeFailed:
    """Return the decoded message, or why the content is not a message."""
    if len(content) > MAX_MESSAGE_BYTES:
        return DecodeFailed(reason="the message is too large")
    try:
        kind, fields = decode_cbor(content)
        message: Message = _converter.structure(fields, MESSAGE_KINDS[kind])
    except DECODING_ERRORS as exc:
        # Formatting the error may itself fail on hostile content.
        return DecodeFailed(reason=type(exc).__name__)
    return message
