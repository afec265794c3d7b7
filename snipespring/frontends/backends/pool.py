"""Keep idle connections to backend servers for reuse."""

import contextlib
import select
import socket
import threading
from http.client import HTTPConnection

from attrs import define, field

from ...records import Address

__all__ = ["ConnectionPool", "PooledConnection"]


@define(kw_only=True, eq=False)
class PooledConnection:
    """Hold one connection, owned by the thread that took it."""

    address: Address
    conn: HTTPConnection
    sock: socket.socket
    is_used: bool = False
    is_aborted: bool = False

    def abort(self) -> None:
        """Wake the owner, which must close; the descriptor stays its own."""
        self.is_aborted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; only its owner may."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.conn.close()


@define(kw_only=True, eq=False)
class ConnectionPool:
    """Lend idle connections, newest first, and keep a few a server."""

    max_idle: int = 8
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _idle: dict[Address, list[PooledConnection]] = field(factory=dict, init=False)
    _kept: frozenset[Address] | None = field(default=None, init=False)

    def take(self, address: Address, *, timeout_s: float) -> PooledConnection:
        """Return an idle or a new connection; raise OSError if none can be made."""
        while (idle := self._pop(address)) is not None:
            if not _is_stale(idle.sock):
                return idle
            idle.close()
        return _connect(address, timeout_s=timeout_s)

    def give_back(self, conn: PooledConnection) -> None:
        """Keep a connection that carried a whole answer, or close it."""
        with self._lock:
            idle = self._idle.setdefault(conn.address, [])
            is_kept = self._kept is None or conn.address in self._kept
            if is_kept and len(idle) < self.max_idle:
                idle.append(conn)
                return
        conn.close()

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep connections to these servers only, from now on."""
        with self._lock:
            self._kept = addresses
            dropped = [one for one in self._idle if one not in addresses]
            conns = [conn for one in dropped for conn in self._idle.pop(one)]
        for conn in conns:
            conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            conns = [conn for idle in self._idle.values() for conn in idle]
            self._idle.clear()
        for conn in conns:
            conn.close()

    def idle_count(self) -> int:
        """Return how many connections are idle."""
        with self._lock:
            return sum(len(idle) for idle in self._idle.values())

    def _pop(self, address: Address) -> PooledConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            return idle.pop() if idle else None


def _connect(address: Address, *, timeout_s: float) -> PooledConnection:
    conn = HTTPConnection(address.ip, address.port, timeout=timeout_s)
    conn.connect()
    conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return PooledConnection(address=address, conn=conn, sock=conn.sock)


def _is_stale(sock: socket.socket) -> bool:
    """Return whether the server closed the idle connection or wrote to it."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
