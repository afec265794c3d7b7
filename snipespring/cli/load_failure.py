"""Report why the modules of a host can't be loaded.

This module needs the standard library only: any other may be what can't be loaded.
"""

import json
import sys
import sysconfig
import traceback
from collections.abc import Iterator
from datetime import UTC, datetime
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

__all__ = ["format_load_failure"]

LOGGER_NAME = "snipespring.cli.start_gateway"


def format_load_failure(exc: Exception) -> str:
    """Return a log line with the reason, the files and the present interpreter."""
    module, file = None, None
    if isinstance(exc, ImportError):
        module, file = exc.name, exc.path
    fields = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": "ERROR",
        "logger": LOGGER_NAME,
        "message": "cannot load the modules of the host",
        "reason": f"{type(exc).__name__}: {exc}",
        "module": module,
        "file": file,
        "interpreter": sysconfig.get_config_var("SOABI"),
        "made_for_others": list(_list_foreign_files(module)),
        "traceback": "".join(traceback.format_exception(exc)),
    }
    return json.dumps(fields)


def _list_foreign_files(module: str | None) -> Iterator[str]:
    """Return compiled files of a module that this interpreter does not load."""
    if module is None:
        return
    *packages, name = module.split(".")
    for folder in sys.path:
        for path in Path(folder, *packages).glob(f"{name}.*.so"):
            if path.name.removeprefix(name) not in EXTENSION_SUFFIXES:
                yield str(path)
