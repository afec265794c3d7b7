"""Answer the calls of other hosts."""

import socket
import threading
from collections.abc import Callable

from attrs import define, field
from websockets.exceptions import WebSocketException
from websockets.sync.server import Server, ServerConnection, serve

from ...records import Address, Message, Refused
from .codec import MAX_MESSAGE_BYTES, DecodeFailed, decode_message, encode_message
from .seal import Seal, new_nonce

__all__ = ["PeerServer"]


@define(kw_only=True, eq=False)
class PeerServer:
    """Listen for hosts and hand each authentic message to `answer`."""

    address: Address
    secret: bytes = field(repr=False)
    answer: Callable[[Message], Message]
    _server: Server | None = field(default=None, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _conns: set[ServerConnection] = field(factory=set, init=False)

    def start(self) -> None:
        """Begin to listen; raise OSError if the address is taken."""
        self._server = serve(
            self._serve_connection,
            self.address.ip,
            self.address.port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
        )
        threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        ).start()

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.shutdown()
        with self._lock:
            conns = list(self._conns)
        for conn in conns:
            conn.close_socket()

    def _serve_connection(self, conn: ServerConnection) -> None:
        with self._lock:
            self._conns.add(conn)
        try:
            conn.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_frames(conn)
        except (OSError, WebSocketException):
            return
        finally:
            with self._lock:
                self._conns.discard(conn)

    def _serve_frames(self, conn: ServerConnection) -> None:
        nonce = new_nonce()
        conn.send(nonce)
        seal = Seal(secret=self.secret, nonce=nonce, sending=b"S", receiving=b"C")
        for frame in conn:
            payload = seal.open_frame(frame) if isinstance(frame, bytes) else None
            if payload is None:
                return
            reply = self._answer_payload(payload)
            conn.send(seal.close_frame(encode_message(reply)))

    def _answer_payload(self, payload: bytes) -> Message:
        match decode_message(payload):
            case DecodeFailed(reason=reason):
                return Refused(reason=reason)
            case message:
                return self.answer(message)
