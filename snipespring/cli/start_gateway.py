"""Start a gateway host.

`python -m snipespring.cli.start_gateway` starts a host without loading the other
commands, which saves time at each restart.
"""

import signal
import sys

__all__ = ["start_gateway"]


def start_gateway(file: str | None = None) -> int:
    """Run a host with the settings in a file and return the exit code.

    Without `file`, the path is the one that the platform provides.
    """
    # By default SIGHUP ends the process. A host handles it only once it has loaded its
    # modules, which is most of its start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .gateway_host import run_host

    return run_host(file)


if __name__ == "__main__":
    sys.exit(start_gateway())
