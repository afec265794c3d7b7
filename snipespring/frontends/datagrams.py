"""Exchange messages with other hosts as UDP datagrams of CBOR arrays."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable
from typing import Any, Protocol

from attrs import NOTHING, define, field, fields, has
from cbor2 import dumps

from ..records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    DomainMessage,
    DomainState,
    DomainSummary,
    HostId,
    HostReport,
    OrganisationUsage,
    OutcomeBatch,
    OutcomeNotification,
    ReportDigest,
    ServerAnswers,
    ServerChanges,
    ServerQuery,
    ServiceDemand,
)
from .cbor import DECODING_ERRORS, decode_cbor, make_strict_converter

__all__ = ["DatagramSender", "DatagramSocket", "decode_datagram", "encode_datagram"]

MAX_DATAGRAM_BYTES = 60000
MESSAGE_KINDS: tuple[type[DomainMessage], ...] = (
    HostReport,
    ReportDigest,
    DomainSummary,
    OutcomeNotification,
    ServerQuery,
    ServerChanges,
    OutcomeBatch,
    AdmissionQuery,
    AdmissionAnswer,
)

log = logging.getLogger(__name__)

_converter = make_strict_converter()


def _make_encode(kind: type[Any]) -> Callable[[Any], list[Any]]:
    """Encode records as arrays, since field names would take most of a message."""
    names = [attribute.name for attribute in fields(kind)]
    return lambda record: [
        _converter.unstructure(getattr(record, name)) for name in names
    ]


def _make_decode(kind: type[Any]) -> Callable[[Any, Any], Any]:
    attributes = [(attribute.name, attribute.type) for attribute in fields(kind)]
    # An older build sends records without the optional fields added since.
    required = [item for item in fields(kind) if item.default is NOTHING]

    def decode(raw: Any, _: Any) -> Any:
        if not len(required) <= len(raw) <= len(attributes):
            raise ValueError(f"{len(raw)} values for {kind.__name__}")
        pairs = zip(attributes, raw, strict=False)
        return kind(
            **{
                name: _converter.structure(value, type_)
                for (name, type_), value in pairs
            }
        )

    return decode


@define(kw_only=True, eq=False)
class _EncodedParts:
    """Keep the encoding of the parts of a state that are sent to many hosts."""

    max_parts: int = 8
    _parts: list[tuple[object, bytes]] = field(factory=list, init=False)

    def encode(self, part: Any) -> bytes | None:
        """Return the encoding of a tuple of records, which is not changed later."""
        if part is None:
            return None
        for known, content in self._parts:
            if known is part:
                return content
        content = dumps(_converter.unstructure(part))
        self._parts = [(part, content), *self._parts[: self.max_parts - 1]]
        return content


_encoded_parts = _EncodedParts()


def _encode_state(state: DomainState) -> list[Any]:
    return [
        state.heard_hosts,
        state.serving_version,
        _encoded_parts.encode(state.serving),
        _encoded_parts.encode(state.usage),
        _encoded_parts.encode(state.answers),
        _encoded_parts.encode(state.demand),
    ]


def _decode_state(raw: Any, _: Any) -> DomainState:
    # An older build sends no demand.
    heard_hosts, serving_version, serving, usage, answers, *rest = raw
    return DomainState(
        heard_hosts=_converter.structure(heard_hosts, int),
        serving_version=_converter.structure(serving_version, int),
        serving=None if serving is None else _decode_part(serving, HostId),
        usage=_decode_part(usage, OrganisationUsage),
        answers=None if answers is None else _decode_part(answers, ServerAnswers),
        demand=_decode_part(rest[0], ServiceDemand) if rest else (),
    )


def _decode_part(content: bytes, kind: Any) -> tuple[Any, ...]:
    part: tuple[Any, ...] = _converter.structure(decode_cbor(content), tuple[kind, ...])
    return part


_converter.register_unstructure_hook_factory(has, _make_encode)
_converter.register_structure_hook_factory(has, _make_decode)
_converter.register_unstructure_hook(DomainState, _encode_state)
_converter.register_structure_hook(DomainState, _decode_state)


class DatagramSender(Protocol):
    """Send messages without guarantee of delivery."""

    def send(self, address: Address, message: DomainMessage) -> None:
        """Send a message; a message that cannot be sent is dropped."""

    def send_all(self, addresses: tuple[Address, ...], message: DomainMessage) -> None:
        """Send the same message to several hosts."""


def encode_datagram(message: DomainMessage) -> bytes:
    """Return the message as a CBOR array of its kind's index and its fields."""
    kind = MESSAGE_KINDS.index(type(message))
    return dumps([kind, _converter.unstructure(message)])


def decode_datagram(content: bytes) -> DomainMessage | None:
    """Return the decoded message, or None for malformed content."""
    try:
        kind, fields = decode_cbor(content)
        message: DomainMessage = _converter.structure(fields, MESSAGE_KINDS[kind])
    except DECODING_ERRORS:
        return None
    return message


@define(kw_only=True, eq=False)
class DatagramSocket:
    """Send over one socket, and pass received messages to a function on one thread."""

    address: Address
    on_message: Callable[[DomainMessage, Address], None]
    _sock: socket.socket = field(init=False)
    _is_closing: bool = field(default=False, init=False)

    def start(self) -> None:
        """Start to receive; raise OSError if the address is in use."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self.address.ip, self.address.port))
        threading.Thread(target=self._receive, name="datagrams", daemon=True).start()

    def send(self, address: Address, message: DomainMessage) -> None:
        """Send a message; a message that cannot be sent is dropped."""
        self.send_all((address,), message)

    def send_all(self, addresses: tuple[Address, ...], message: DomainMessage) -> None:
        """Send the same message to several hosts."""
        content = encode_datagram(message)
        for address in addresses:
            try:
                self._sock.sendto(content, (address.ip, address.port))
            except OSError as exc:
                log.debug(
                    "could not send a datagram", extra={"to": str(address), "why": exc}
                )

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
                log.warning(
                    "ignored a malformed datagram of %d bytes",
                    len(content),
                    extra={"sender": ip},
                )
                continue
            try:
                self.on_message(message, Address(ip=ip, port=port))
            except Exception:
                log.exception("could not handle a message received as a datagram")
