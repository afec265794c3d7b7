"""Parse the command line and run one command."""

import sys

import cappa

from .commands import Snipespring

__all__ = ["main"]


def main() -> None:
    """Run the command line; exit 0 on success, 1 on refusal, 2 on bad input."""
    code = cappa.invoke(Snipespring)
    sys.exit(code if isinstance(code, int) else 0)
