"""Send attempts to backend servers over pooled HTTP connections."""

from .pool import ConnectionPool
from .transport import HttpTransport, Transport

__all__ = ["ConnectionPool", "HttpTransport", "Transport"]
