"""Run the proxy command."""

import sys
from pathlib import Path

from ..daemons import configure_logs, run_proxy
from ..settings import (
    Settings,
    SettingsProblem,
    SettingsProblems,
    load_settings,
    read_secret,
)
from .commands import ProxyCommand
from .exits import BAD_INPUT, SUCCESS, UNREACHABLE

__all__ = ["run"]


def run(command: ProxyCommand) -> int:
    """Load the settings, run the host and return the exit code."""
    path = Path(command.settings)
    match load_settings(path):
        case SettingsProblems(problems=problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return BAD_INPUT
        case Settings() as settings:
            return _run_with(settings, path)


def _run_with(settings: Settings, path: Path) -> int:
    match read_secret(settings, path.parent):
        case SettingsProblem() as problem:
            print(problem, file=sys.stderr)
            return BAD_INPUT
        case secret:
            configure_logs(settings.log.level, settings.host.id)
            try:
                run_proxy(settings, secret)
            except OSError as exc:
                print(f"cannot listen: {exc}", file=sys.stderr)
                return UNREACHABLE
            return SUCCESS
