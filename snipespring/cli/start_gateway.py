"""Start a gateway host.

`python -m snipespring.cli.start_gateway` starts a host without loading the other
commands, which saves time at each restart.
"""

import signal
import sys

from .exits import BROKEN_INSTALLATION

__all__ = ["start_gateway"]


def start_gateway(file: str | None = None) -> int:
    """Run a host with the settings in a file and return the exit code.

    Without `file`, the path is the one that the platform provides. A host that can't
    load its modules logs why.
    """
    # By default SIGHUP ends the process. A host handles it only once it has loaded its
    # modules, which is most of its start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        from .gateway_host import run_host
    except Exception as exc:
        # A damaged file may raise any exception.
        from .load_failure import format_load_failure

        print(format_load_failure(exc), flush=True)
        return BROKEN_INSTALLATION
    return run_host(file)


if __name__ == "__main__":
    sys.exit(start_gateway())
