"""Run the command that checks a configuration of the platform."""

import json
import sys
from pathlib import Path

from ..decisions.configuration_check import (
    ConfigurationError,
    check_configuration,
    list_differences,
    render_finding,
)
from ..decisions.rules import InvalidValue, parse_address
from ..platform.feeds import read_stored_configuration
from ..platform.objects import decode_configuration
from ..platform.store import ObjectStoreClient
from ..records import Configuration, FeedUnavailable, InvalidItem
from .commands import CheckConfiguration
from .exits import BAD_INPUT, REFUSED, SUCCESS, UNREACHABLE

__all__ = ["check"]

STORE_TIMEOUT_S = 5.0


def check(command: CheckConfiguration) -> int:
    """Report the mistakes in a configuration and what differs from the stored one."""
    match _read_configuration(command.file):
        case InvalidItem(reason=reason):
            print(f"{command.file}: {reason}", file=sys.stderr)
            return BAD_INPUT
        case Configuration() as cfg:
            findings = check_configuration(cfg)
            for finding in findings:
                print(render_finding(finding))
    code = REFUSED if findings else SUCCESS
    if any(isinstance(finding, ConfigurationError) for finding in findings):
        code = BAD_INPUT
    if command.store is None:
        return code
    return _print_differences(command.store, cfg) or code


def _read_configuration(path: str) -> Configuration | InvalidItem:
    try:
        content = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as exc:
        return InvalidItem(reason=str(exc))
    if not isinstance(content, dict):
        return InvalidItem(reason="not a JSON object")
    return decode_configuration(content if "Spec" in content else {"Spec": content})


def _print_differences(store: str, cfg: Configuration) -> int | None:
    """Print what differs from the stored configuration; return a code on failure."""
    match parse_address(store):
        case InvalidValue():
            print(f"{store!r} is not an address", file=sys.stderr)
            return BAD_INPUT
        case address:
            client = ObjectStoreClient(address=address, timeout_s=STORE_TIMEOUT_S)
    match read_stored_configuration(client):
        case FeedUnavailable(reason=reason) | InvalidItem(reason=reason):
            print(f"the stored configuration: {reason}", file=sys.stderr)
            return UNREACHABLE
        case Configuration() as stored:
            if cfg.version <= stored.version:
                print(f"version {cfg.version} is not above {stored.version}, in force")
            for line in list_differences(stored, cfg):
                print(line)
    return None
