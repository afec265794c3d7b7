"""Read the resource usage of a process and the traffic of the loopback interface."""

import os
from pathlib import Path

__all__ = ["read_cpu_s", "read_loopback_bytes", "read_memory_mb"]

BYTES_PER_MB = 1e6


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def read_loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received, or 0 without one."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0
