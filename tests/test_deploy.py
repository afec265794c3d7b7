"""Check that the deploy files fit the project."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def read_words(name: str) -> set[str]:
    return set((ROOT / name).read_text().split())


def test_deployed_libraries_have_the_versions_that_are_tested() -> None:
    assert read_words("deploy/requirements.txt") <= read_words("requirements.txt")


def test_every_library_of_the_project_is_deployed() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = {
        line.partition("==")[0] for line in read_words("deploy/requirements.txt")
    }
    assert set(project["dependencies"]) <= deployed


def test_files_that_the_deploy_file_names_exist() -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    for role in deploy["roles"].values():
        assert (ROOT / role["template"]).is_file()
    assert "deploy/requirements.txt" in deploy["build"]
