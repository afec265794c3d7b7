"""Answer the calls of other hosts."""

import socket
import threading
from collections.abc import Callable

from attrs import define, field
from websockets.exceptions import WebSocketException
from websockets.sync.server import Server, ServerConnection, serve

from ...records import Address, Message
from .authentication import NONCE_BYTES, FrameAuthenticator, make_nonce
from .codec import MAX_MESSAGE_BYTES, DecodeFailed, decode_message, encode_message

__all__ = ["PeerServer"]

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.1
NONCE_TIMEOUT_S = 5.0


@define(kw_only=True, eq=False)
class PeerServer:
    """Listen for hosts and hand each authentic message to `answer`.

    A frame that is not authentic or holds no message ends its connection;
    `count_refused` is called with the reason's name.
    """

    address: Address
    secret: bytes = field(repr=False)
    answer: Callable[[Message], Message]
    count_refused: Callable[[str], None] = lambda _: None
    _server: Server | None = field(default=None, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _conns: set[ServerConnection] = field(factory=set, init=False)
    _is_closed: bool = field(default=False, init=False)

    def start(self) -> None:
        """Begin to listen; raise OSError if the address is taken."""
        self._server = serve(
            self._serve_connection,
            self.address.ip,
            self.address.port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
        )
        threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        ).start()

    def close(self) -> None:
        """Stop listening and close every connection without waiting for its peer."""
        with self._lock:
            self._is_closed = True
            conns = list(self._conns)
        for conn in conns:
            conn.close_socket()
        if self._server is not None:
            self._server.shutdown()

    def _serve_connection(self, conn: ServerConnection) -> None:
        with self._lock:
            if self._is_closed:
                conn.close_socket()
                return
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
        caller_nonce = conn.recv(timeout=NONCE_TIMEOUT_S, decode=False)
        if not isinstance(caller_nonce, bytes) or len(caller_nonce) != NONCE_BYTES:
            self.count_refused("malformed")
            return
        own_nonce = make_nonce()
        conn.send(own_nonce)
        seal = FrameAuthenticator(
            secret=self.secret,
            nonce=caller_nonce + own_nonce,
            send_label=b"S",
            receive_label=b"C",
        )
        for frame in conn:
            payload = seal.verify_frame(frame) if isinstance(frame, bytes) else None
            if payload is None:
                self.count_refused("not authentic")
                return
            match decode_message(payload):
                case DecodeFailed():
                    self.count_refused("malformed")
                    return
                case message:
                    reply = self.answer(message)
            conn.send(seal.sign_frame(encode_message(reply)))
