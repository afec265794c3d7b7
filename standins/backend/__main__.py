"""Start a backend server's stand-in as one process."""

import argparse

from .. import http
from .records import BackendSettings
from .server import BackendApplication

__all__ = ["main"]


def main() -> None:
    """Serve one backend server until SIGTERM."""
    args = _parser().parse_args()
    settings = BackendSettings(
        server=args.server or args.listen,
        service=args.service,
        slots=args.slots,
        work_s=args.work_s,
        queue=args.queue,
        connections=args.connections,
        cold_start_s=args.cold_start_s,
    )
    http.run_server(listen=args.listen, app=BackendApplication(settings=settings))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="standins.backend")
    parser.add_argument("--listen", default="127.0.0.1:9001", help="IP:PORT")
    parser.add_argument("--service", required=True)
    parser.add_argument("--server", default="", help="name; the address by default")
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--work-s", type=float, default=0.02)
    parser.add_argument("--queue", type=int, default=3)
    parser.add_argument("--connections", type=int, default=330)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    return parser


if __name__ == "__main__":
    main()
