"""Convert the raw value of one field, or raise `SettingsError`."""

import re
from collections.abc import Mapping
from decimal import Decimal
from urllib.parse import urlsplit

from attrs import frozen
from immutables import Map

from ..decisions.rules import (
    InvalidValue,
    check_address,
    parse_address,
    parse_duration_s,
)
from ..exception import SettingsError
from ..records import Address, DomainName
from .records import (
    AddressList,
    Amount,
    ByteCount,
    Count,
    HttpUrl,
    LogLevel,
    RegionTable,
    Seconds,
    SecretEnvironment,
    SecretFile,
    SecretSource,
    Share,
)

__all__ = [
    "SecretFields",
    "read_address",
    "read_address_list",
    "read_amount",
    "read_byte_count",
    "read_count",
    "read_flag",
    "read_log_level",
    "read_region_table",
    "read_seconds",
    "read_secret_source",
    "read_share",
    "read_text",
    "read_url",
]

_SIZE = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)(B|KiB|MiB|GiB)")
_EXPONENT_NUMBER = re.compile(r"[0-9]+(?:\.[0-9]+)?[eE][+-]?[0-9]{1,3}")
_BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MAX_SHARE = 1e6
MAX_AMOUNT = 1e12
_LOG_LEVELS = ("debug", "info", "warning", "error")


@frozen(kw_only=True)
class SecretFields:
    """Represent the two fields that can locate the secret; None means absent."""

    file: object
    env: object


def read_text(raw: object) -> str:
    """Read a non-empty text."""
    if not isinstance(raw, str) or not raw:
        raise SettingsError(f"expected text, got {raw!r}")
    return raw


def read_count(raw: object) -> Count:
    """Read an integer of at least 1."""
    if not isinstance(raw, int) or isinstance(raw, bool) or raw < 1:
        raise SettingsError(f"expected a whole number from 1, got {raw!r}")
    return Count(raw)


def read_share(raw: object) -> Share:
    """Read a ratio, a number from 0 to below 1,000,000."""
    return Share(_read_number(raw, below=MAX_SHARE))


def read_amount(raw: object) -> Amount:
    """Read an amount that need not be whole, a number from 0 to below 1e12."""
    return Amount(_read_number(raw, below=MAX_AMOUNT))


def _read_number(raw: object, *, below: float) -> float:
    if isinstance(raw, str) and _EXPONENT_NUMBER.fullmatch(raw):
        # YAML 1.1 reads a JSON number such as 1e-05 as text.
        raw = float(raw)
    if (
        not isinstance(raw, int | float)
        or isinstance(raw, bool)
        or not 0 <= raw < below
    ):
        raise SettingsError(f"expected a number from 0 to below {below:g}, got {raw!r}")
    return float(raw)


def read_seconds(raw: object) -> Seconds:
    """Read a duration with its unit; return seconds."""
    expected = f"expected a duration such as 500ms, 2s or 10min, got {raw!r}"
    if not isinstance(raw, str):
        raise SettingsError(expected)
    match parse_duration_s(raw):
        case InvalidValue():
            raise SettingsError(expected)
        case duration_s if duration_s <= 0:
            raise SettingsError(f"expected a duration above 0, got {raw!r}")
        case duration_s:
            return Seconds(duration_s)


def read_byte_count(raw: object) -> ByteCount:
    """Read a size with its unit; return bytes."""
    size = _SIZE.fullmatch(raw) if isinstance(raw, str) else None
    if size is None:
        raise SettingsError(f"expected a size such as 64KiB or 8MiB, got {raw!r}")
    return ByteCount(int(Decimal(size[1]) * _BYTES_BY_UNIT[size[2]]))


def read_flag(raw: object) -> bool:
    """Read true or false."""
    if not isinstance(raw, bool):
        raise SettingsError(f"expected true or false, got {raw!r}")
    return raw


def read_address(raw: object) -> Address:
    """Read an IP address and a port."""
    expected = f"expected IP:PORT, got {raw!r}"
    if not isinstance(raw, str):
        raise SettingsError(expected)
    address = parse_address(raw)
    if isinstance(address, InvalidValue):
        raise SettingsError(expected)
    invalid = check_address(address)
    if invalid is not None:
        raise SettingsError(f"{expected}: {invalid.reason}")
    return address


def read_address_list(raw: object) -> AddressList:
    """Read a list of addresses."""
    if not isinstance(raw, list):
        raise SettingsError(f"expected a list of IP:PORT, got {raw!r}")
    return AddressList(tuple(read_address(item) for item in raw))


def read_region_table(raw: object) -> RegionTable:
    """Read a table of failure domains and their regions."""
    if not isinstance(raw, Mapping):
        raise SettingsError(f"expected a table of domains and regions, got {raw!r}")
    return RegionTable(
        Map(
            {
                DomainName(read_text(domain)): read_text(region)
                for domain, region in raw.items()
            }
        )
    )


def read_url(raw: object) -> HttpUrl:
    """Read an HTTP or HTTPS URL with a host."""
    expected = f"expected a URL such as http://127.0.0.1:8500, got {raw!r}"
    if not isinstance(raw, str):
        raise SettingsError(expected)
    try:
        parts = urlsplit(raw)
        has_host = parts.port != 0 and bool(parts.hostname)
    except ValueError as exc:
        raise SettingsError(f"{expected}: {exc}") from exc
    if parts.scheme not in ("http", "https") or not has_host:
        raise SettingsError(expected)
    return HttpUrl(raw)


def read_log_level(raw: object) -> LogLevel:
    """Read the name of a log level."""
    if raw not in _LOG_LEVELS:
        raise SettingsError(f"expected one of {', '.join(_LOG_LEVELS)}, got {raw!r}")
    return LogLevel(str(raw))


def read_secret_source(fields: SecretFields) -> SecretSource:
    """Read where the secret is stored, from exactly one of the two fields."""
    match fields:
        case SecretFields(file=None, env=None):
            raise SettingsError("expected secret_file or secret_env, got neither")
        case SecretFields(file=raw, env=None):
            return SecretFile(path=read_text(raw))
        case SecretFields(file=None, env=raw):
            return SecretEnvironment(name=read_text(raw))
        case _:
            raise SettingsError("expected secret_file or secret_env, got both")
