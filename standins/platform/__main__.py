"""Start the platform's stand-in as one process."""

import argparse

from .. import http
from .server import PlatformApplication

__all__ = ["main"]


def main() -> None:
    """Serve the object API until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--listen", default="127.0.0.1:8500", help="IP:PORT")
    args = parser.parse_args()
    http.run(listen=args.listen, app=PlatformApplication())


if __name__ == "__main__":
    main()
