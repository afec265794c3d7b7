"""Exchange messages with other hosts as datagrams of CBOR arrays."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, field, fields, has
from cbor2 import dumps, loads

from ..records import (
    Address,
    DomainMessage,
    DomainSummary,
    HostReport,
    OutcomeNotification,
    ReportDigest,
)
from .cbor import DECODING_ERRORS, make_strict_converter

__all__ = ["DatagramSocket", "DatagramSender", "decode_datagram", "encode_datagram"]

MAX_DATAGRAM_BYTES = 60000
MESSAGE_KINDS: tuple[type[DomainMessage], ...] = (
    HostReport,
    ReportDigest,
    DomainSummary,
    OutcomeNotification,
)

log = logging.getLogger(__name__)

_converter = make_strict_converter()


def _make_encode(kind: type[Any]) -> Callable[[Any], list[Any]]:
    """Encode records as arrays: field names would be most of a message."""
    names = [item.name for item in fields(kind)]
    return lambda record: [
        _converter.unstructure(getattr(record, name)) for name in names
    ]


def _make_decode(kind: type[Any]) -> Callable[[Any, Any], Any]:
    items = [(item.name, item.type) for item in fields(kind)]

    def decode(raw: Any, _: Any) -> Any:
        values = zip(items, raw, strict=True)
        return kind(**{name: _converter.structure(v, t) for (name, t), v in values})

    return decode


_converter.register_unstructure_hook_factory(has, _make_encode)
_converter.register_structure_hook_factory(has, _make_decode)


class DatagramSender(Protocol):
    """Send messages that may be lost."""

    def send(self, address: Address, message: DomainMessage) -> None:
        """Send a message; what cannot be sent is lost."""


def encode_datagram(message: DomainMessage) -> bytes:
    """Return the message as CBOR, its kind first."""
    kind = MESSAGE_KINDS.index(type(message))
    return dumps([kind, _converter.unstructure(message)])


def decode_datagram(content: bytes) -> DomainMessage | None:
    """Return the message in the bytes, or None if they hold none."""
    try:
        kind, fields = loads(content)
        message: DomainMessage = _converter.structure(fields, MESSAGE_KINDS[kind])
    except DECODING_ERRORS:
        return None
    return message


@define(kw_only=True, eq=False)
class DatagramSocket:
    """Own one socket; hand what arrives to a function, on one thread."""

    address: Address
    on_message: Callable[[DomainMessage, Address], None]
    _sock: socket.socket = field(init=False)
    _is_closing: bool = field(default=False, init=False)

    def start(self) -> None:
        """Begin to receive; raise OSError if the address is taken."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self.address.ip, self.address.port))
        threading.Thread(target=self._receive, name="datagrams", daemon=True).start()

    def send(self, address: Address, message: DomainMessage) -> None:
        """Send a message; what cannot be sent is lost."""
        try:
            self._sock.sendto(encode_datagram(message), (address.ip, address.port))
        except OSError as exc:
            log.debug("a datagram was lost", extra={"to": str(address), "why": exc})

    def close(self) -> None:
        """Stop receiving."""
        self._is_closing = True
        with contextlib.suppress(OSError):
            self._sock.close()

    def _receive(self) -> None:
        while not self._is_closing:
            try:
                content, (ip, port) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            message = decode_datagram(content)
            if message is None:
                log.warning("passed over a foreign datagram", extra={"sender": ip})
                continue
            try:
                self.on_message(message, Address(ip=ip, port=port))
            except Exception:
                log.exception("a datagram was not taken in")
