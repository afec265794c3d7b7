"""Install the libraries of the product in a folder, unless they are there.

An installation is used only if it is complete and was made for this list of libraries,
this interpreter and this kind of machine. This script needs the standard library only.
"""

import argparse
import contextlib
import fcntl
import hashlib
import json
import os
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
MANIFEST_NAME = "installed.json"
IMPORT_HOST = "import snipespring.cli.gateway_host"  # loads all modules of a host


def main() -> int:
    """Install the libraries if they are needed and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("requirements", type=Path, help="list of libraries for pip")
    parser.add_argument("folder", type=Path, help="folder of the installation")
    arguments = parser.parse_args()
    requirements, folder = arguments.requirements.resolve(), arguments.folder.resolve()
    folder.parent.mkdir(parents=True, exist_ok=True)
    with _hold_lock(folder.with_suffix(".lock")):
        problem = find_problem(requirements, folder)
        if problem is None:
            return 0
        print(f"installing the libraries: {problem}", flush=True)
        return install(requirements, folder)


def find_problem(requirements: Path, folder: Path) -> str | None:
    """Return why the installation in a folder can't be used, None if it can."""
    try:
        manifest = json.loads((folder / MANIFEST_NAME).read_text())
        made_for, digests = manifest["made_for"], manifest["files"].items()
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return "there is no complete installation"
    if made_for != _describe_target(requirements):
        return f"the present ones were made for {made_for}"
    for name, digest in digests:
        if _compute_digest(folder / name) != digest:
            return f"{name} is missing or damaged"
    return None


def install(requirements: Path, folder: Path) -> int:
    """Replace the installation in a folder and return the exit code.

    The folder stays as it is if anything fails.
    """
    new_folder, old_folder = folder.with_suffix(".new"), folder.with_suffix(".old")
    _remove(new_folder)
    pip = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    pip += ["--target", str(new_folder), "-r", str(requirements)]
    code = subprocess.run(pip, check=False).returncode or _import_host(new_folder)
    if code:
        print(f"the libraries were not installed: exit code {code}", file=sys.stderr)
        return code
    _write_manifest(requirements, new_folder)
    _remove(old_folder)
    if folder.exists():
        folder.rename(old_folder)
    new_folder.rename(folder)
    _remove(old_folder)
    return 0


def _describe_target(requirements: Path) -> dict[str, str | None]:
    """Return what an installation is made for."""
    return {
        "requirements": _compute_digest(requirements),
        # Names the interpreter's version, the kind of machine and the C library.
        "interpreter": sysconfig.get_config_var("SOABI"),
    }


def _compute_digest(path: Path) -> str | None:
    """Return the digest of a file, None if it can't be read."""
    try:
        with path.open("rb") as source:
            return hashlib.file_digest(source, "sha256").hexdigest()
    except OSError:
        return None


def _import_host(folder: Path) -> int:
    """Import the modules of a host in a new process; return its exit code.

    Without the packages of the interpreter (-S), which may hide missing ones.
    """
    env = {**os.environ, "PYTHONPATH": str(folder)}
    command = [sys.executable, "-S", "-c", IMPORT_HOST]
    return subprocess.run(command, check=False, cwd=ROOT, env=env).returncode


def _write_manifest(requirements: Path, folder: Path) -> None:
    digests = {
        str(path.relative_to(folder)): _compute_digest(path)
        for path in sorted(folder.rglob("*"))
        if path.is_file() and "__pycache__" not in path.parts
    }
    manifest = {"made_for": _describe_target(requirements), "files": digests}
    (folder / MANIFEST_NAME).write_text(json.dumps(manifest, indent=1))


def _remove(path: Path) -> None:
    if path.exists():
        shutil.rmtree(path)


@contextlib.contextmanager
def _hold_lock(path: Path) -> Iterator[None]:
    """Wait until no other process installs."""
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


if __name__ == "__main__":
    sys.exit(main())
