"""Write logs as JSON lines, without ever waiting for their reader."""

import logging
import queue
import sys
from logging.handlers import QueueHandler, QueueListener

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedHandler", "configure_logs"]

MAX_QUEUED_LINES = 2000  # lines that wait for a slow reader; later ones are dropped
NOISY_LOGGERS = ("waitress", "waitress.queue", "websockets")


class BoundedHandler(QueueHandler):
    """Hand lines to one writing thread; drop and count those that find no room."""

    def __init__(
        self, target: logging.Handler, *, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(max_lines)
        super().__init__(lines)
        self._dropped = 0
        self._listener = QueueListener(lines, target, respect_handler_level=True)
        self._listener.start()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record; the writing thread formats it."""
        record.message = record.getMessage()
        if record.exc_info and not record.exc_text:
            record.exc_text = logging.Formatter().formatException(record.exc_info)
            record.exc_info = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record, and first the count of those dropped before it."""
        try:
            if self._dropped:
                self.queue.put_nowait(self._make_drop_record())
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Write what is queued and stop the writing thread."""
        self._listener.stop()
        super().close()

    def _make_drop_record(self) -> logging.LogRecord:
        record = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "log lines dropped", None, None
        )
        record.dropped = self._dropped
        return record


def configure_logs(level: str, host_id: str) -> None:
    """Send records at or above the level to standard output as JSON."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"host": host_id},
    )
    target = logging.StreamHandler(sys.stdout)
    target.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [BoundedHandler(target)]
    root.setLevel(level.upper())
    for noisy in NOISY_LOGGERS:
        logging.getLogger(noisy).setLevel(logging.ERROR)
