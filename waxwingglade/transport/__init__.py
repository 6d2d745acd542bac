"""Connections: HTTP/1.1 towards targets and the store, ZeroMQ between processes."""

from waxwingglade.transport.http1 import (
    Broken,
    Http1Connection,
    NotConnected,
    Silent,
    open_connection,
)
from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.pool import ConnectionPool
from waxwingglade.transport.silence import Patience

__all__ = [
    "Broken",
    "ConnectionPool",
    "Http1Connection",
    "HttpRequest",
    "HttpResponse",
    "NotConnected",
    "Patience",
    "Silent",
    "open_connection",
]
