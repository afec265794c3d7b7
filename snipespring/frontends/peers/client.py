"""Call other hosts and keep a few connections to each."""

import contextlib
import socket
import threading
from typing import Protocol

from attrs import define, field
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from ...records import Address, Message, PeerFailed, PeerResult
from .authentication import NONCE_BYTES, FrameAuthenticator, make_nonce
from .codec import MAX_MESSAGE_BYTES, DecodeFailed, decode_message, encode_message

__all__ = ["PeerClient", "PooledPeerClient"]

MAX_IDLE_CONNECTIONS_PER_PEER = 2


class PeerClient(Protocol):
    """Call other hosts."""

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        """Return the peer's reply, or that none came within the timeout."""


@define(kw_only=True, eq=False)
class _PeerConnection:
    conn: ClientConnection
    authenticator: FrameAuthenticator


@define(kw_only=True, eq=False)
class PooledPeerClient:
    """Call hosts over pooled links; a link that failed is closed."""

    secret: bytes = field(repr=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _idle: dict[Address, list[_PeerConnection]] = field(factory=dict, init=False)

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        """Return the peer's reply, or that none came within the timeout."""
        try:
            link = self._acquire(address, timeout_s)
        except (OSError, WebSocketException) as exc:
            return PeerFailed(reason=f"{type(exc).__name__}: {exc}")
        result = _exchange(link, message, timeout_s)
        match result:
            case PeerFailed():
                _close(link)
            case _:
                self._release(address, link)
        return result

    def close(self) -> None:
        """Close every idle link."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            self._idle.clear()
        for link in links:
            _close(link)

    def _acquire(self, address: Address, timeout_s: float) -> _PeerConnection:
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        return _open_connection(address, self.secret, timeout_s)

    def _release(self, address: Address, link: _PeerConnection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_PEER:
                idle.append(link)
                return
        _close(link)


def _open_connection(
    address: Address, secret: bytes, timeout_s: float
) -> _PeerConnection:
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
    return _PeerConnection(conn=conn, authenticator=seal)


def _exchange_nonces(
    conn: ClientConnection, secret: bytes, timeout_s: float
) -> FrameAuthenticator:
    conn.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    own_nonce = make_nonce()
    conn.send(own_nonce)
    nonce = conn.recv(timeout=timeout_s, decode=False)
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        raise OSError("the peer sent no nonce")
    return FrameAuthenticator(
        secret=secret, nonce=own_nonce + nonce, send_label=b"C", receive_label=b"S"
    )


def _exchange(
    peer_conn: _PeerConnection, message: Message, timeout_s: float
) -> PeerResult:
    try:
        peer_conn.conn.send(peer_conn.authenticator.sign_frame(encode_message(message)))
        frame = peer_conn.conn.recv(timeout=timeout_s, decode=False)
    except (OSError, WebSocketException) as exc:
        return PeerFailed(reason=f"{type(exc).__name__}: {exc}")
    payload = (
        peer_conn.authenticator.verify_frame(frame)
        if isinstance(frame, bytes)
        else None
    )
    if payload is None:
        return PeerFailed(reason="the reply is not authentic")
    match decode_message(payload):
        case DecodeFailed(reason=reason):
            return PeerFailed(reason=reason)
        case reply:
            return reply


def _close(peer_conn: _PeerConnection) -> None:
    with contextlib.suppress(OSError, WebSocketException):
        peer_conn.conn.close()
