"""Parse the command line and run the command."""

import sys

import cappa

from .commands import Snipespring

__all__ = ["main"]


def main() -> None:
    """Run the command that the arguments name and exit with its exit code."""
    code = cappa.invoke(Snipespring)
    sys.exit(code if isinstance(code, int) else 0)
