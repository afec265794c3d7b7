"""Wait until the caller disconnects, another thread wakes the wait, or a timeout."""

import select
import socket

from attrs import frozen

__all__ = ["CallerClosed", "TimedOut", "WaitResult", "Woken", "wait_for_caller"]

MS_PER_S = 1000


@frozen(kw_only=True)
class CallerClosed:
    """Report that the caller closed its side of the connection."""


@frozen(kw_only=True)
class Woken:
    """Report that another thread ended the wait."""


@frozen(kw_only=True)
class TimedOut:
    """Report that the wait timed out."""


WaitResult = CallerClosed | Woken | TimedOut


def wait_for_caller(
    conn: socket.socket, *, timeout_s: float | None, waker: socket.socket | None = None
) -> WaitResult:
    """Block until the caller disconnects, `waker` is written to, or the timeout.

    A `timeout_s` of None means no timeout.
    """
    poll = select.poll()
    poll.register(conn, select.POLLRDHUP)
    if waker is not None:
        poll.register(waker, select.POLLIN)
    ready = {fd for fd, _ in poll.poll(_to_milliseconds(timeout_s))}
    if conn.fileno() in ready:
        return CallerClosed()
    return Woken() if ready else TimedOut()


def _to_milliseconds(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else max(0.0, timeout_s) * MS_PER_S
