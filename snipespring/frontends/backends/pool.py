"""Keep idle connections to backend servers for reuse."""

import contextlib
import io
import socket
import threading
from collections.abc import Callable
from typing import Any

from attrs import define, field

from ...records import Address
from ...utils import Clock, SystemClock
from ..sockets import is_readable
from .heads import MalformedAnswerError

__all__ = ["ConnectionPool", "PooledConnection"]

# The ids of the requests on a connection are kept in memory until it is closed.
MAX_ANSWERS_PER_CONNECTION = 1000
MAX_IDLE_S = 8.0  # below the 10 s after which servers close idle connections


class _BoundedReader(io.RawIOBase):
    """Read from a socket until an attempt ends, and only as many bytes as allowed."""

    is_aborted = False

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._raw: Any = sock.makefile("rb", buffering=0)
        self._remaining_s: Callable[[], float] | None = None
        self._bytes_left = 0

    def set_limits(
        self, remaining_s: Callable[[], float] | None, max_bytes: int
    ) -> None:
        """Allow that many more bytes; without `remaining_s`, read nothing."""
        self._remaining_s, self._bytes_left = remaining_s, max_bytes

    def readable(self) -> bool:
        """Return that this stream can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived; raise OSError or MalformedAnswerError.

        The end of the stream is one that the server sent: after an abort, it raises
        ConnectionAbortedError.
        """
        if self._remaining_s is None:
            return None
        if self._bytes_left <= 0:
            raise MalformedAnswerError("the server sent more than an answer may have")
        self._sock.settimeout(self._remaining_s())
        size: int = self._raw.readinto(memoryview(buffer)[: self._bytes_left])
        if size == 0 and self.is_aborted:
            raise ConnectionAbortedError("the attempt was cancelled")
        self._bytes_left -= size
        return size

    def abort(self) -> None:
        """Shut down the socket to wake the thread that reads."""
        # The flag comes first: the reading thread may see the end at once.
        self.is_aborted = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        super().close()
        self._raw.close()


@define(kw_only=True, eq=False)
class PooledConnection:
    """Represent one connection, owned by the thread that acquired it.

    `answered_ids` are those of the requests that were answered over this connection,
    and `idle_since_s` is the time of its last release by the monotonic clock. `reader`
    keeps bytes that were read past the end of an answer for the next one.
    """

    address: Address
    sock: socket.socket
    raw: _BoundedReader
    reader: io.BufferedReader
    answered_ids: set[str] = field(factory=set)
    idle_since_s: float = 0.0

    @property
    def is_aborted(self) -> bool:
        """Return whether `abort` was called."""
        return self.raw.is_aborted

    def limit_reading(self, remaining_s: Callable[[], float], max_bytes: int) -> None:
        """Allow that many more bytes until `remaining_s` raises TimeoutError."""
        self.raw.set_limits(remaining_s, max_bytes)

    def has_extra_bytes(self) -> bool:
        """Return whether the server sent more after the last answer, or closed."""
        if is_readable(self.sock):
            return True
        self.raw.set_limits(None, 0)
        return bool(self.reader.peek(1))

    def abort(self) -> None:
        """Shut down the socket to wake its owner, which closes the descriptor."""
        self.raw.abort()

    def close(self) -> None:
        """Close the connection; only its owner may call this."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.raw.close()
        self.sock.close()


@define(kw_only=True, eq=False)
class ConnectionPool:
    """Pool idle connections, a few per server, and reuse the newest first."""

    max_idle: int = 8
    clock: Clock = field(factory=SystemClock)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _idle: dict[Address, list[PooledConnection]] = field(factory=dict, init=False)
    _retained_addresses: frozenset[Address] | None = field(default=None, init=False)

    def acquire(
        self, address: Address, *, request_id: str, timeout_s: float
    ) -> PooledConnection:
        """Return a connection that is idle or new; raise OSError if connecting fails.

        It has carried no answer with this id, which could come again and be taken for
        the answer to the new request.
        """
        oldest_s = self.clock.monotonic_s() - MAX_IDLE_S
        while (idle := self._pop(address, request_id)) is not None:
            if idle.idle_since_s >= oldest_s and not is_readable(idle.sock):
                return idle
            idle.close()
        return _connect(address, timeout_s=timeout_s)

    def release(self, conn: PooledConnection) -> None:
        """Keep a connection for reuse after a complete answer, or close it.

        It is closed if the server sent more than the answer, if it carried the most
        answers, if its address is not among those to keep, or if enough connections to
        this server are idle.
        """
        is_worn = len(conn.answered_ids) >= MAX_ANSWERS_PER_CONNECTION
        if is_worn or conn.has_extra_bytes():
            conn.close()
            return
        conn.idle_since_s = self.clock.monotonic_s()
        with self._lock:
            idle = self._idle.setdefault(conn.address, [])
            is_retained = (
                self._retained_addresses is None
                or conn.address in self._retained_addresses
            )
            if is_retained and len(idle) < self.max_idle:
                idle.append(conn)
                return
        conn.close()

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep no idle connections but to these addresses.

        Close the others now, or on release if an attempt is using them.
        """
        with self._lock:
            self._retained_addresses = addresses
            dropped = [address for address in self._idle if address not in addresses]
            conns = [conn for address in dropped for conn in self._idle.pop(address)]
        for conn in conns:
            conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            conns = [conn for idle in self._idle.values() for conn in idle]
            self._idle.clear()
        for conn in conns:
            conn.close()

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        with self._lock:
            return sum(len(idle) for idle in self._idle.values())

    def _pop(self, address: Address, request_id: str) -> PooledConnection | None:
        with self._lock:
            idle = self._idle.get(address, [])
            for index in reversed(range(len(idle))):
                if request_id not in idle[index].answered_ids:
                    return idle.pop(index)
            return None


def _connect(address: Address, *, timeout_s: float) -> PooledConnection:
    sock = socket.create_connection((address.ip, address.port), timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw = _BoundedReader(sock)
    return PooledConnection(
        address=address, sock=sock, raw=raw, reader=io.BufferedReader(raw)
    )
