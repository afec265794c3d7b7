"""Return freed memory to the system."""

import ctypes

__all__ = ["limit_retained_memory"]

# From malloc.h of the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
MAX_ARENAS = 2
# Blocks of this size and more are unmapped when they are freed.
MMAP_THRESHOLD_BYTES = 256 * 1024
TRIM_THRESHOLD_BYTES = 1024 * 1024


def limit_retained_memory() -> bool:
    """Let the C library keep little of what is freed; return whether it can.

    By default it keeps a heap for each thread, each as large as the thread once needed:
    threads that read large bodies in turn would together exceed the memory limit.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    parameters = {
        M_ARENA_MAX: MAX_ARENAS,
        M_MMAP_THRESHOLD: MMAP_THRESHOLD_BYTES,
        M_TRIM_THRESHOLD: TRIM_THRESHOLD_BYTES,
    }
    return all(mallopt(name, number) == 1 for name, number in parameters.items())
