"""Name the exit codes of the command line."""

__all__ = ["BAD_INPUT", "UNREACHABLE", "REFUSED", "SUCCESS"]

SUCCESS = 0
REFUSED = 1
BAD_INPUT = 2
UNREACHABLE = 3
