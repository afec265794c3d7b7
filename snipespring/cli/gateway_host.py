"""Load the settings and run a gateway host."""

import os
import sys
from pathlib import Path

from ..daemons.gateway import run_gateway
from ..daemons.logs import configure_logs
from ..platform.settings import SETTINGS_PATH, SETTINGS_VARIABLE
from ..settings import GatewaySettings, SettingsProblems, load_gateway_settings
from .exits import BAD_INPUT, SUCCESS, UNREACHABLE

__all__ = ["run_host"]


def run_host(file: str | None) -> int:
    """Run a host with the settings in a file and return the exit code.

    Without `file`, the path is the one that the platform provides.
    """
    path = Path(file or os.environ.get(SETTINGS_VARIABLE) or SETTINGS_PATH)
    match load_gateway_settings(path):
        case SettingsProblems(problems=problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return BAD_INPUT
        case GatewaySettings() as settings:
            return _run_with(settings, path)


def _run_with(settings: GatewaySettings, path: Path) -> int:
    configure_logs(settings.log.level, settings.host.id)
    try:
        run_gateway(settings, path)
    except OSError as exc:
        print(f"cannot listen: {exc}", file=sys.stderr)
        return UNREACHABLE
    return SUCCESS
