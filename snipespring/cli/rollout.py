"""Wait until a configuration version is in force on every host."""

import json
import threading
import time

from attrs import frozen

from .reads import HostResponse, HostUnreachable, fetch

__all__ = ["RolloutProgress", "wait_until_active"]

CHECK_INTERVAL_S = 0.25


@frozen(kw_only=True)
class RolloutProgress:
    """Count the hosts that have a version in force and name the others."""

    active: int
    total: int
    missing: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether every host of the roster has the version in force."""
        return self.total > 0 and self.active == self.total

    def __str__(self) -> str:
        """Return the progress as one line."""
        text = f"in force on {self.active} of {self.total}"
        if self.missing:
            text += f"; missing: {', '.join(self.missing)}"
        return text


def wait_until_active(
    operators: str, *, version: int, timeout_s: float
) -> RolloutProgress:
    """Return the progress when complete or after the timeout in seconds."""
    end_s = time.monotonic() + timeout_s
    pause = threading.Event()
    progress = RolloutProgress(active=0, total=0, missing=())
    while True:
        match fetch(operators, "/status"):
            case HostResponse(content=content):
                progress = read_progress(content, version)
            case HostUnreachable():
                pass
        if progress.complete or time.monotonic() >= end_s:
            return progress
        pause.wait(CHECK_INTERVAL_S)


def read_progress(content: bytes, version: int) -> RolloutProgress:
    """Return the progress that a host's status page tells of."""
    state = json.loads(content)
    hosts = state["roster"]["hosts"]
    behind = [
        host_id
        for host_id in sorted(hosts)
        if _configuration_version_of(state["hosts"].get(host_id)) < version
    ]
    return RolloutProgress(
        active=len(hosts) - len(behind), total=len(hosts), missing=tuple(behind)
    )


def _configuration_version_of(view: dict[str, dict[str, dict[str, int]]] | None) -> int:
    return view["status"]["versions"]["configuration"] if view else 0
