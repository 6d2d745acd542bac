"""Connections: HTTP/1.1 to targets and the store, ZeroMQ between processes."""

from waxwingglade.transport.http1 import (
    ConnectionBroken,
    Http1Connection,
    NotConnected,
    Unresponsive,
    open_connection,
)
from waxwingglade.transport.liveness import WaitLimits
from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.pool import ConnectionPool, Inactivity, Siblings
from waxwingglade.transport.probe import Finding

__all__ = [
    "ConnectionBroken",
    "ConnectionPool",
    "Finding",
    "Http1Connection",
    "HttpRequest",
    "HttpResponse",
    "Inactivity",
    "NotConnected",
    "Siblings",
    "Unresponsive",
    "WaitLimits",
    "open_connection",
]
