"""Run the gateway command."""

import os
import sys
from pathlib import Path

from ..daemons.gateway import run_gateway
from ..daemons.logs import configure_logs
from ..platform.settings import SETTINGS_PATH, SETTINGS_VARIABLE
from ..settings import GatewaySettings, SettingsProblems, load_gateway_settings
from .commands import GatewayCommand
from .exits import BAD_INPUT, SUCCESS, UNREACHABLE

__all__ = ["run"]


def run(command: GatewayCommand) -> int:
    """Load the settings, run the host and return the exit code."""
    named = command.settings or os.environ.get(SETTINGS_VARIABLE) or SETTINGS_PATH
    path = Path(named)
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
