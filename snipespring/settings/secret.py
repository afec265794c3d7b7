"""Read the secret that the hosts of a fleet share."""

import os
from pathlib import Path

from .records import SecretEnvironment, SecretFile, Settings, SettingsProblem

__all__ = ["read_secret"]

MIN_SECRET_BYTES = 16


def read_secret(settings: Settings, settings_dir: Path) -> bytes | SettingsProblem:
    """Read the secret; `settings_dir` is the directory of the settings file."""
    match settings.peers.secret:
        case SecretFile(path=path):
            return _read_file(settings_dir / path)
        case SecretEnvironment(name=name):
            return _read_environment(name)


def _read_file(path: Path) -> bytes | SettingsProblem:
    try:
        content = path.read_bytes()
    except (OSError, ValueError) as exc:
        return _make_problem(str(path), "peers.secret_file", f"cannot be read: {exc}")
    return _check_length(content, str(path), "peers.secret_file")


def _read_environment(name: str) -> bytes | SettingsProblem:
    value = os.environ.get(name)
    if value is None:
        return _make_problem(name, "peers.secret_env", "the variable is not set")
    return _check_length(os.fsencode(value), name, "peers.secret_env")


def _check_length(content: bytes, source: str, field: str) -> bytes | SettingsProblem:
    secret = content.strip()
    if len(secret) < MIN_SECRET_BYTES:
        return _make_problem(source, field, f"shorter than {MIN_SECRET_BYTES} bytes")
    return secret


def _make_problem(source: str, field: str, reason: str) -> SettingsProblem:
    return SettingsProblem(file=source, line=0, field=field, reason=reason)
