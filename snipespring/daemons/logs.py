"""Write logs as one JSON line a change of state."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]


def configure_logs(level: str, host_id: str) -> None:
    """Send records at or above the level to standard error as JSON."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"host": host_id},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for noisy in ("waitress", "waitress.queue", "websockets"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
