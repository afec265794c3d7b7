"""Look at sockets without reading from them."""

import select
import socket

__all__ = ["is_readable"]


def is_readable(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that are not read, or the other side closed."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
