"""Load and validate the settings file of one process."""

import os
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any, TypeVar

from attrs import Attribute, evolve, fields, has
from cattrs import BaseValidationError, ClassValidationError, Converter
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn, override

from ..exception import SettingsError
from ..records import Address
from .document import Document, FieldPath, read_document
from .records import (
    AddressList,
    Amount,
    ByteCount,
    Count,
    GatewaySettings,
    HttpUrl,
    LogLevel,
    PeerSettings,
    RegionTable,
    Seconds,
    SecretSource,
    Settings,
    SettingsProblem,
    SettingsProblems,
    Share,
)
from .values import (
    SecretFields,
    read_address,
    read_address_list,
    read_amount,
    read_byte_count,
    read_count,
    read_flag,
    read_log_level,
    read_region_table,
    read_seconds,
    read_secret_source,
    read_share,
    read_text,
    read_url,
)

__all__ = ["HEARTBEAT_VARIABLE", "load_gateway_settings", "load_settings"]

T = TypeVar("T")

HEARTBEAT_VARIABLE = "SNIPESPRING_HEARTBEAT"
MAX_FILE_BYTES = 65536
_SECRET_FILE = "secret_file"
_SECRET_ENV = "secret_env"
_READERS: tuple[tuple[Any, Callable[[Any], object]], ...] = (
    (str, read_text),
    (bool, read_flag),
    (Address, read_address),
    (AddressList, read_address_list),
    (Seconds, read_seconds),
    (Share, read_share),
    (Amount, read_amount),
    (ByteCount, read_byte_count),
    (Count, read_count),
    (HttpUrl, read_url),
    (LogLevel, read_log_level),
    (SecretSource, read_secret_source),
    (RegionTable, read_region_table),
)


def load_settings(path: Path) -> Settings | SettingsProblems:
    """Load the settings of a proxy host, or report all problems of the file."""
    return _load(path, Settings)


def load_gateway_settings(path: Path) -> GatewaySettings | SettingsProblems:
    """Load the settings of a gateway host, or report all problems of the file.

    The environment variable `HEARTBEAT_VARIABLE` overrides `platform.heartbeat`.
    """
    settings = _load(path, GatewaySettings)
    heartbeat = os.environ.get(HEARTBEAT_VARIABLE)
    if not heartbeat or isinstance(settings, SettingsProblems):
        return settings
    try:
        heartbeat_s = read_seconds(heartbeat)
    except SettingsError as exc:
        problem = SettingsProblem(
            file=HEARTBEAT_VARIABLE, line=0, field="", reason=str(exc)
        )
        return SettingsProblems(problems=(problem,))
    platform = evolve(settings.platform, heartbeat_s=heartbeat_s)
    return evolve(settings, platform=platform)


def _load(path: Path, kind: type[T]) -> T | SettingsProblems:
    file = str(path)
    try:
        text = _read_limited(path)
    except (OSError, ValueError) as exc:
        problem = SettingsProblem(
            file=file, line=0, field="", reason=f"cannot be read: {exc}"
        )
        return SettingsProblems(problems=(problem,))
    document = read_document(text, file)
    if isinstance(document, SettingsProblems):
        return document
    return _structure_settings(document, kind)


def _read_limited(path: Path) -> str:
    """Return the text of a file; raise OSError, or ValueError if it is not valid."""
    with path.open("rb") as source:
        content = source.read(MAX_FILE_BYTES + 1)
    if len(content) > MAX_FILE_BYTES:
        raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
    return content.decode("utf-8")


def _structure_settings(document: Document, kind: type[T]) -> T | SettingsProblems:
    try:
        return _make_converter().structure(document.content, kind)
    except (BaseValidationError, SettingsError) as exc:
        problems = _list_problems(exc, (), document)
        by_line = sorted(problems, key=lambda problem: (problem.line, problem.field))
        return SettingsProblems(problems=tuple(by_line))


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind, read in _READERS:
        converter.register_structure_hook(kind, _as_structure_hook(read))
    converter.register_structure_hook_factory(
        _is_section, lambda kind: _make_section_reader(kind, converter)
    )
    return converter


def _as_structure_hook(read: Callable[[Any], object]) -> Callable[[Any, Any], Any]:
    return lambda raw, _: read(raw)


def _is_section(kind: Any) -> bool:
    return has(kind) and kind is not Address


def _make_section_reader(kind: Any, converter: Converter) -> Callable[[Any, Any], Any]:
    renames: dict[str, Any] = {
        item.name: override(rename=_yaml_name(item)) for item in fields(kind)
    }
    structure = make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **renames,
    )

    def read_section(raw: object, _: Any) -> Any:
        if not isinstance(raw, Mapping):
            raise SettingsError(f"expected a section of fields, got {raw!r}")
        # A template leaves a field empty when the platform has no value for it.
        given = {name: value for name, value in raw.items() if value is not None}
        prepared = _merge_secret_fields(given) if kind is PeerSettings else given
        return structure(prepared, kind)

    return read_section


def _merge_secret_fields(raw: Mapping[str, object]) -> Mapping[str, object]:
    rest = {name: value for name, value in raw.items() if name != _SECRET_ENV}
    secret = SecretFields(file=raw.get(_SECRET_FILE), env=raw.get(_SECRET_ENV))
    return {**rest, _SECRET_FILE: secret}


def _yaml_name(item: "Attribute[Any]") -> str:
    if item.type in (Seconds, Seconds | None):
        return item.name.removesuffix("_s")
    if item.type is ByteCount:
        return item.name.removesuffix("_bytes")
    if item.type == SecretSource:
        return _SECRET_FILE
    return item.name


def _list_problems(
    exc: BaseException, path: FieldPath, document: Document
) -> Iterator[SettingsProblem]:
    match exc:
        case ClassValidationError():
            renames = {item.name: _yaml_name(item) for item in fields(exc.cl)}
            by_field, others = exc.group_exceptions()
            for inner, note in by_field:
                inner_path = (*path, renames[note.name])
                yield from _list_problems(inner, inner_path, document)
            for inner in others:
                yield from _list_problems(inner, path, document)
        case ForbiddenExtraKeysError(extra_fields=names):
            for name in names:
                yield document.make_problem((*path, str(name)), "unknown field")
        case KeyError():
            yield document.make_problem(path, "missing")
        case SettingsError():
            yield document.make_problem(path, str(exc))
        case _:
            raise exc
