"""Wait until the caller closes, another thread wakes the wait, or a timeout."""

import select
import socket

from attrs import frozen

__all__ = ["PeerClosed", "TimedOut", "WaitEnd", "Woken", "wait_for_peer"]

MS_PER_S = 1000


@frozen(kw_only=True)
class PeerClosed:
    """Report that the caller closed its side."""


@frozen(kw_only=True)
class Woken:
    """Report that another thread ended the wait."""


@frozen(kw_only=True)
class TimedOut:
    """Report that the time passed."""


WaitEnd = PeerClosed | Woken | TimedOut


def wait_for_peer(
    conn: socket.socket, *, timeout_s: float | None, waker: socket.socket | None = None
) -> WaitEnd:
    """Block until the first of the three; without a timeout when it is None."""
    poll = select.poll()
    poll.register(conn, select.POLLRDHUP)
    if waker is not None:
        poll.register(waker, select.POLLIN)
    ready = {fd for fd, _ in poll.poll(_milliseconds(timeout_s))}
    if conn.fileno() in ready:
        return PeerClosed()
    return Woken() if ready else TimedOut()


def _milliseconds(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else max(0.0, timeout_s) * MS_PER_S
