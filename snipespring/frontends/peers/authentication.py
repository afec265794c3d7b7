"""Authenticate frames between hosts by a shared secret, nonces and frame counts."""

import hashlib
import hmac
import secrets

from attrs import define, field

__all__ = ["NONCE_BYTES", "FrameAuthenticator", "make_nonce"]

NONCE_BYTES = 16
MAC_BYTES = 32


def make_nonce() -> bytes:
    """Return one host's half of the nonce of a connection."""
    return secrets.token_bytes(NONCE_BYTES)


@define(kw_only=True, eq=False)
class FrameAuthenticator:
    """Sign and verify the frames of one connection, each once and in order.

    Each of the two hosts contributes half of `nonce`, so that neither accepts the
    replay of a recorded connection. The labels differ by direction, so that a frame
    cannot be sent back to its sender.
    """

    secret: bytes = field(repr=False)
    nonce: bytes
    send_label: bytes
    receive_label: bytes
    _sent_frames: int = field(default=0, init=False)
    _received_frames: int = field(default=0, init=False)

    def sign_frame(self, payload: bytes) -> bytes:
        """Return the payload, prefixed with its authentication code."""
        mac = self._mac(self.send_label, self._sent_frames, payload)
        self._sent_frames += 1
        return mac + payload

    def verify_frame(self, frame: bytes) -> bytes | None:
        """Return the payload, or None for a forged, replayed or reordered frame."""
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        expected = self._mac(self.receive_label, self._received_frames, payload)
        if not hmac.compare_digest(mac, expected):
            return None
        self._received_frames += 1
        return payload

    def _mac(self, direction: bytes, count: int, payload: bytes) -> bytes:
        prefix = self.nonce + direction + count.to_bytes(8, "big")
        return hmac.new(self.secret, prefix + payload, hashlib.sha256).digest()
