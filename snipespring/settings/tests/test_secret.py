from pathlib import Path

import pytest
from attrs import evolve

from snipespring.settings import (
    SecretEnvironment,
    SecretFile,
    SecretSource,
    Settings,
    SettingsProblem,
    load_settings,
    read_secret,
)

EXAMPLE = Path(__file__).parents[3] / "docs" / "examples" / "host.yaml"
VARIABLE = "SNIPESPRING_TEST_SECRET"


def settings_with(secret: SecretSource) -> Settings:
    settings = load_settings(EXAMPLE)
    assert isinstance(settings, Settings), settings
    return evolve(settings, peers=evolve(settings.peers, secret=secret))


def test_file_is_relative_to_the_settings_and_stripped(tmp_path: Path) -> None:
    settings = settings_with(SecretFile(path="s.txt"))
    assert isinstance(read_secret(settings, tmp_path), SettingsProblem)
    (tmp_path / "s.txt").write_bytes(b" 0123456789abcdef\n")
    assert read_secret(settings, tmp_path) == b"0123456789abcdef"
    (tmp_path / "s.txt").write_bytes(b" 0123456789abcde \n")
    assert isinstance(read_secret(settings, tmp_path), SettingsProblem)


def test_secret_is_read_from_the_environment(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    settings = settings_with(SecretEnvironment(name=VARIABLE))
    monkeypatch.delenv(VARIABLE, raising=False)
    assert isinstance(read_secret(settings, tmp_path), SettingsProblem)
    monkeypatch.setenv(VARIABLE, "0123456789abcdef")
    assert read_secret(settings, tmp_path) == b"0123456789abcdef"
