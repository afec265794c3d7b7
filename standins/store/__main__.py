"""Start the store's stand-in as one process."""

import argparse

from .. import http
from .server import StoreApplication

__all__ = ["main"]


def main() -> None:
    """Serve the object calls until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--listen", default="127.0.0.1:8500", help="IP:PORT")
    args = parser.parse_args()
    http.run_server(listen=args.listen, app=StoreApplication())


if __name__ == "__main__":
    main()
