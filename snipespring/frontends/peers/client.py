"""Call other hosts and keep a few connections to each."""

import contextlib
import socket
import threading
from typing import Protocol

from attrs import define, field
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from ...records import Address, Message, PeerFailed, PeerResult
from .codec import MAX_MESSAGE_BYTES, DecodeFailed, decode_message, encode_message
from .seal import NONCE_BYTES, Seal, new_nonce

__all__ = ["PeerClient", "PeerLinks"]

MAX_IDLE_PER_PEER = 2


class PeerClient(Protocol):
    """Call other hosts."""

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        """Return the peer's reply, or that none came within the timeout."""


@define(kw_only=True, eq=False)
class _Link:
    conn: ClientConnection
    seal: Seal


@define(kw_only=True, eq=False)
class PeerLinks:
    """Call hosts over pooled links; a link that failed is closed."""

    secret: bytes = field(repr=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _idle: dict[Address, list[_Link]] = field(factory=dict, init=False)

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        """Return the peer's reply, or that none came within the timeout."""
        try:
            link = self._take(address, timeout_s)
        except (OSError, WebSocketException) as exc:
            return PeerFailed(reason=f"{type(exc).__name__}: {exc}")
        result = _exchange(link, message, timeout_s)
        match result:
            case PeerFailed():
                _close(link)
            case _:
                self._give_back(address, link)
        return result

    def close(self) -> None:
        """Close every idle link."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            self._idle.clear()
        for link in links:
            _close(link)

    def _take(self, address: Address, timeout_s: float) -> _Link:
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        return _open_link(address, self.secret, timeout_s)

    def _give_back(self, address: Address, link: _Link) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_PER_PEER:
                idle.append(link)
                return
        _close(link)


def _open_link(address: Address, secret: bytes, timeout_s: float) -> _Link:
    conn = connect(
        f"ws://{address}/",
        open_timeout=timeout_s,
        close_timeout=0.1,
        compression=None,
        max_size=MAX_MESSAGE_BYTES,
        ping_interval=None,
        proxy=None,
        legacy=True,
    )
    try:
        seal = _exchange_nonces(conn, secret, timeout_s)
    except (OSError, WebSocketException):
        conn.close_socket()
        raise
    return _Link(conn=conn, seal=seal)


def _exchange_nonces(conn: ClientConnection, secret: bytes, timeout_s: float) -> Seal:
    conn.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    own_nonce = new_nonce()
    conn.send(own_nonce)
    nonce = conn.recv(timeout=timeout_s, decode=False)
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        raise OSError("the peer sent no nonce")
    return Seal(secret=secret, nonce=own_nonce + nonce, sending=b"C", receiving=b"S")


def _exchange(link: _Link, message: Message, timeout_s: float) -> PeerResult:
    try:
        link.conn.send(link.seal.close_frame(encode_message(message)))
        frame = link.conn.recv(timeout=timeout_s, decode=False)
    except (OSError, WebSocketException) as exc:
        return PeerFailed(reason=f"{type(exc).__name__}: {exc}")
    payload = link.seal.open_frame(frame) if isinstance(frame, bytes) else None
    if payload is None:
        return PeerFailed(reason="the reply is not authentic")
    match decode_message(payload):
        case DecodeFailed(reason=reason):
            return PeerFailed(reason=reason)
        case reply:
            return reply


def _close(link: _Link) -> None:
    with contextlib.suppress(OSError, WebSocketException):
        link.conn.close()
