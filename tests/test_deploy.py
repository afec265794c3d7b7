"""Test that the deployment files are consistent with the project."""

import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

from snipespring.settings.load import HEARTBEAT_VARIABLE

ROOT = Path(__file__).parents[1]


def read_words(name: str) -> set[str]:
    return set((ROOT / name).read_text().split())


def test_deployed_libraries_have_the_tested_versions() -> None:
    assert read_words("deploy/requirements.txt") <= read_words("requirements.txt")


def test_every_library_of_the_project_is_deployed() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = {
        line.partition("==")[0] for line in read_words("deploy/requirements.txt")
    }
    assert set(project["dependencies"]) <= deployed


def test_files_named_in_the_deploy_file_exist() -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    for role in deploy["roles"].values():
        assert (ROOT / role["template"]).is_file()
        assert HEARTBEAT_VARIABLE in role["env"]
    assert "deploy/requirements.txt" in deploy["build"]


def test_an_environment_of_another_machine_is_made_anew(tmp_path: Path) -> None:
    # Guards against a carried-over .venv whose compiled files can't be loaded here.
    for name in ("Makefile", "KNOWN-RED.txt", "requirements.txt", "pyproject.toml"):
        shutil.copy(ROOT / name, tmp_path)
    stamps = tmp_path / ".venv"
    stamps.mkdir()
    (stamps / "installed").touch()
    (stamps / "installed-cpython-311-other-linux-gnu").touch()
    command = ["make", "-n", "setup", f"PYTHON={sys.executable}"]
    planned = subprocess.run(
        command, cwd=tmp_path, check=True, capture_output=True, text=True
    )
    assert "-m venv" in planned.stdout
