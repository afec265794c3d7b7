import io
import logging
import threading

from snipespring.daemons.logs import BoundedHandler

TIMEOUT_S = 30.0
MAX_QUEUED = 10


class StalledHandler(logging.Handler):
    """Stand for a reader that stops reading for a while."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed = threading.Event()
        self.lines: list[str] = []
        self.drops: list[int] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.resumed.wait(TIMEOUT_S)
        self.lines.append(record.getMessage())
        self.drops.append(getattr(record, "dropped", 0))


def make_record(number: int) -> logging.LogRecord:
    return logging.LogRecord("a", logging.INFO, "f", 1, "line %d", (number,), None)


def test_stalled_reader_does_not_block_and_drops_are_counted() -> None:
    target = StalledHandler()
    handler = BoundedHandler(target, max_lines=MAX_QUEUED)
    for number in range(1000):
        handler.handle(make_record(number))
    target.resumed.set()
    while len(target.lines) < MAX_QUEUED:
        threading.Event().wait(0.01)
    handler.handle(make_record(1000))
    handler.close()
    written = sum(line.startswith("line") for line in target.lines)
    assert written + sum(target.drops) == 1001
    assert target.lines[-1] == "line 1000"
    assert written <= 13


def test_exception_is_written_with_its_traceback() -> None:
    stream = io.StringIO()
    handler = BoundedHandler(logging.StreamHandler(stream))
    try:
        raise ValueError("broken")
    except ValueError as exc:
        info = (type(exc), exc, exc.__traceback__)
    handler.handle(logging.LogRecord("a", logging.ERROR, "f", 1, "failed", None, info))
    handler.close()
    assert "ValueError: broken" in stream.getvalue()
