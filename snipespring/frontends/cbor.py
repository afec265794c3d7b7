"""Decode CBOR strictly: no tags, exact types, finite numbers, no unknown fields."""

from collections.abc import Callable
from math import isfinite
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, loads

from .outer_names import FIELD_NAMES

__all__ = ["DECODING_ERRORS", "decode_cbor", "make_strict_converter"]

DECODING_ERRORS = (
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
)


class _RefusedTags(dict[int, Callable[..., Any]]):
    """Refuse every tag before the value behind it is decoded.

    The library computes tagged values, some in more than linear time (decimals,
    expressions), and shared values make content larger than its bytes.
    """

    def __missing__(self, tag: int) -> Callable[..., Any]:
        return _refuse_tag


def _refuse_tag(*_: Any) -> Any:
    raise CBORDecodeError("tags are not allowed")


_REFUSED_TAGS = _RefusedTags()


def decode_cbor(content: bytes) -> Any:
    """Return plain values; raise CBORDecodeError for malformed content or tags."""
    return loads(content, semantic_decoders=_REFUSED_TAGS, strict_hashable_types=True)


def make_strict_converter() -> cattrs.Converter:
    """Return a converter that raises one of DECODING_ERRORS for invalid content."""
    converter = make_converter(forbid_extra_keys=True, detailed_validation=False)
    for kind in (bool, bytes, int, str):
        converter.register_structure_hook(kind, _read_exact_type)
    converter.register_structure_hook(float, _read_float)

    def make_encode(kind: type[Any]) -> Any:
        return make_dict_unstructure_fn(kind, converter, **_make_overrides(kind))

    def make_decode(kind: type[Any]) -> Any:
        return make_dict_structure_fn(
            kind,
            converter,
            _cattrs_forbid_extra_keys=True,
            _cattrs_detailed_validation=False,
            **_make_overrides(kind),
        )

    converter.register_unstructure_hook_factory(_has_outer_names, make_encode)
    converter.register_structure_hook_factory(_has_outer_names, make_decode)
    return converter


def _has_outer_names(kind: Any) -> bool:
    return isinstance(kind, type) and kind.__name__ in FIELD_NAMES


def _make_overrides(kind: type[Any]) -> Any:
    return {
        name: override(rename=outer)
        for name, outer in FIELD_NAMES[kind.__name__].items()
    }


def _read_exact_type(raw: Any, kind: type[Any]) -> Any:
    # Without this the converter would turn 1.9 or "1" into the integer 1.
    if type(raw) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {type(raw).__name__}")
    return raw


def _read_float(raw: Any, _: type[float]) -> float:
    if type(raw) not in (int, float) or not isfinite(raw):
        raise TypeError("expected a finite number")
    return float(raw)
