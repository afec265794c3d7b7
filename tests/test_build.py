"""Build the product as the deploy file says, over installations that do not fit."""

import json
import os
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from attrs import evolve, field, frozen

from tests.gateway_fleet import GatewayFleet

ROOT = Path(__file__).parents[1]
EXIT_TIMEOUT_S = 60.0
OTHER_MACHINES = {"x86_64": "aarch64", "aarch64": "x86_64"}


@frozen(kw_only=True)
class Checkout:
    """Represent a copy of the product whose libraries come from a folder of wheels."""

    root: Path
    env: dict[str, str] = field(factory=dict)

    @property
    def libraries(self) -> Path:
        return self.root / "target" / "deps"

    def read_deploy_file(self) -> dict[str, Any]:
        return tomllib.loads((self.root / "deploy/system.toml").read_text())

    def build(self) -> subprocess.Popen[str]:
        """Start the build; the interpreter of the tests is the one in the path."""
        path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
        return subprocess.Popen(
            self.read_deploy_file()["build"],
            shell=True,
            cwd=self.root,
            env={**os.environ, "PATH": path, **self.env},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def build_or_fail(self) -> str:
        """Build and return the output; fail if the build does."""
        process = self.build()
        output, _ = process.communicate()
        assert process.returncode == 0, output
        return output

    def make_fleet(self, folder: Path) -> GatewayFleet:
        """Make a fleet with the `run` of the deploy file, without other packages."""
        _, *arguments = self.read_deploy_file()["roles"]["gateway"]["run"].split()
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": str(self.libraries)}
        return GatewayFleet(
            folder=folder,
            kinds={"ledger": "safe"},
            command=(sys.executable, "-S", *arguments),
            working_folder=self.root,
            env=env,
        )


@pytest.fixture(scope="module")
def built(tmp_path_factory: pytest.TempPathFactory) -> Checkout:
    folder = tmp_path_factory.mktemp("build")
    wheels = folder / "wheels"
    pip = [sys.executable, "-m", "pip", "wheel", "-q", "--disable-pip-version-check"]
    requirements = str(ROOT / "deploy/requirements.txt")
    subprocess.run([*pip, "-w", str(wheels), "-r", requirements], check=True)
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    for name in ("deploy", "snipespring"):
        shutil.copytree(ROOT / name, folder / "product" / name, ignore=ignored)
    env = {"PIP_NO_INDEX": "1", "PIP_FIND_LINKS": str(wheels)}
    checkout = Checkout(root=folder / "product", env=env)
    checkout.build_or_fail()
    return checkout


@pytest.fixture
def checkout(built: Checkout, tmp_path: Path) -> Checkout:
    """Copy the built product, so that each test has an installation of its own."""
    shutil.copytree(built.root, tmp_path / "product")
    return evolve(built, root=tmp_path / "product")


def remove_package(libraries: Path) -> None:
    shutil.rmtree(libraries / "cbor2")


def empty_file(libraries: Path) -> None:
    (libraries / "waitress" / "server.py").write_bytes(b"")


def change_machine(libraries: Path) -> None:
    """Let the compiled files look like those of the other kind of machine."""
    for path in list(libraries.rglob("*.so")):
        machine = next(name for name in OTHER_MACHINES if name in path.name)
        name = path.name.replace(machine, OTHER_MACHINES[machine])
        path.write_bytes(path.read_bytes()[:64])
        path.rename(path.with_name(name))


@pytest.fixture
def fleets() -> Iterator[list[GatewayFleet]]:
    started: list[GatewayFleet] = []
    yield started
    for fleet in started:
        fleet.close()


@pytest.mark.parametrize("damage", [remove_package, empty_file, change_machine])
def test_a_build_replaces_libraries_that_do_not_fit(
    checkout: Checkout,
    fleets: list[GatewayFleet],
    damage: Callable[[Path], None],
    tmp_path: Path,
) -> None:
    # Guards against hosts that end at their first import, as the build took any folder
    # newer than the list of libraries for a whole one.
    damage(checkout.libraries)
    os.utime(checkout.libraries)
    checkout.build_or_fail()
    fleets.append(checkout.make_fleet(tmp_path))
    fleets[0].start_gateway()


def test_a_build_follows_the_list_of_libraries_whatever_its_time(
    checkout: Checkout,
) -> None:
    # Guards against a folder carried over from an earlier list.
    requirements = checkout.root / "deploy/requirements.txt"
    lines = requirements.read_text().splitlines()
    requirements.write_text("\n".join([*lines, "# changed", ""]))
    os.utime(requirements, (0, 0))
    before = checkout.libraries.stat().st_ino
    checkout.build_or_fail()
    assert checkout.libraries.stat().st_ino != before


def test_a_build_without_need_changes_nothing(checkout: Checkout) -> None:
    checkout.build_or_fail()  # the copy is complete
    before = checkout.libraries.stat()
    assert checkout.build_or_fail() == ""
    after = checkout.libraries.stat()
    assert (after.st_ino, after.st_mtime_ns) == (before.st_ino, before.st_mtime_ns)


def test_a_build_that_fails_says_so_and_keeps_the_folder(checkout: Checkout) -> None:
    # Guards against half an installation after an install that was cut short.
    remove_package(checkout.libraries)
    os.utime(checkout.libraries)
    kept = sorted(checkout.libraries.iterdir())
    process = evolve(checkout, env={**checkout.env, "PIP_FIND_LINKS": "/none"}).build()
    output, _ = process.communicate()
    assert process.returncode != 0
    assert "the libraries were not installed" in output
    assert sorted(checkout.libraries.iterdir()) == kept


def test_two_builds_at_the_same_time_end_with_a_whole_folder(
    checkout: Checkout,
) -> None:
    # Guards against a build that takes the folder of another one that still installs.
    shutil.rmtree(checkout.libraries)
    processes = [checkout.build() for _ in range(2)]
    outputs = [process.communicate(timeout=EXIT_TIMEOUT_S)[0] for process in processes]
    assert [process.returncode for process in processes] == [0, 0], outputs
    assert sorted(bool(output) for output in outputs) == [False, True]
    assert checkout.build_or_fail() == ""


@pytest.mark.parametrize(
    ("damage", "module"),
    [(remove_package, "cbor2"), (empty_file, "waitress.server"), (change_machine, "")],
)
def test_a_host_without_fit_libraries_says_why_it_ends(
    checkout: Checkout,
    fleets: list[GatewayFleet],
    damage: Callable[[Path], None],
    module: str,
    tmp_path: Path,
) -> None:
    # Guards against a host that ends at its start and leaves no word on why.
    damage(checkout.libraries)
    fleets.append(checkout.make_fleet(tmp_path))
    assert fleets[0].spawn_gateway().wait(EXIT_TIMEOUT_S) == 4
    (line,) = (tmp_path / "host-1.log").read_text().splitlines()
    said = json.loads(line)
    assert said["message"] == "cannot load the modules of the host"
    assert module in said["module"]
    assert bool(said["made_for_others"]) == (damage is change_machine)
