"""Name the exit codes of the command line."""

__all__ = ["BAD_INPUT", "OUT_OF_REACH", "REFUSED", "SUCCESS"]

SUCCESS = 0
REFUSED = 1
BAD_INPUT = 2
OUT_OF_REACH = 3
