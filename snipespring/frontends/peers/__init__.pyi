from .client import PeerClient, PooledPeerClient
from .codec import decode_message, encode_message
from .server import PeerServer

__all__ = [
    "PeerClient",
    "PooledPeerClient",
    "PeerServer",
    "decode_message",
    "encode_message",
]
