"""One HTTP/1.1 connection of a client, which knows whether a byte of a request has left.

Beyond an ordinary client it tells what a scheduler must know:
whether a failed request may have reached the other side, whether a response that ends with its
connection was cut off, and whether bytes arrived that belong to no request.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from waxwingglade.base import WaxwinggladeError, monotonic
from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.parser import End, Event, NotHttp, ResponseParser

USER_TIMEOUT_MS = 700
"""Milliseconds for which sent bytes may stay unacknowledged; many round trips of some 3 ms with
retransmits, and short against the deadlines of requests, so that there is time to try again when a
peer lost power or was cut off."""

KEEPALIVE_S = 1
"""Seconds after which a silent connection is probed, and between probes: a peer that is gone while
an answer is awaited is noticed after some two seconds, and one that is only slow is not
disturbed."""

READ_HIGH_WATER_BYTES = 256 * 1024
"""Received bytes that wait for their reader before the connection stops reading."""


class NotConnected(WaxwinggladeError):
    """No connection could be opened, so no byte of a request has left."""


class ConnectionBroken(WaxwinggladeError):
    """A connection ended, or carried bytes that are no HTTP, before its response was complete.

    Parameters
    ----------
    message : str
        What happened.
    sent : bool
        Whether bytes of the request may have left.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Unresponsive(ConnectionBroken):
    """A connection was given up because it had fallen silent; its target may well be sound."""


class Http1Connection(asyncio.Protocol):
    """One connection, which serves one request at a time.

    Attributes
    ----------
    sent : bool
        Whether bytes of the present request were handed to the kernel.
    dirty : bool
        Whether bytes came that belong to no request; the connection is not used again.
    idle_since : float
        When the connection was last given back, in monotonic seconds.
    opened_at, last_received_at, sent_at : float
        When it was opened, when something last came on it, and when its present request was sent,
        in monotonic seconds.  An event loop's own clock may stand still for a whole turn of it, and
        then does not tell what came first.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.parser = ResponseParser()
        self.transport: asyncio.Transport | None = None
        self.chunks: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.paused = False
        self.ended = False
        self.error: Exception | None = None
        self.wake: asyncio.Future[None] | None = None
        self.in_use = False
        self.sent = False
        self.dirty = False
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.last_received_at = 0.0
        self.sent_at = 0.0
        self.request: HttpRequest | None = None
        self.close_after = False

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and bound how long a dead peer stays unnoticed."""
        # Not checked by its class: a transport of another event loop has none of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.opened_at = self.last_received_at = monotonic()
        own_socket = transport.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes for the reader; bytes on an idle connection spoil it."""
        if not self.in_use:
            self.dirty = True
            self.close()
            return
        self.last_received_at = monotonic()
        self.chunks.append(data)
        self.waiting_bytes += len(data)
        if self.waiting_bytes > READ_HIGH_WATER_BYTES and not self.paused and self.transport:
            self.paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the orderly end of the other side; the transport closes itself."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection; an exception means that it was reset."""
        if not self.ended and exc is not None:
            self.error = exc
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        if self.wake is not None and not self.wake.done():
            self.wake.set_result(None)

    # For the user

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            not self.ended
            and not self.dirty
            and not self.close_after
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Close at once; bytes that were not sent yet are dropped."""
        if self.transport is not None:
            self.transport.abort()
        self.ended = True

    def fail(self, reason: str) -> None:
        """Close at once; whoever reads from it learns that it was silent."""
        self.error = Unresponsive(reason, self.sent)
        self.close()
        self._wake()

    def send(self, request: HttpRequest) -> None:
        """Write a whole request."""
        if not self.usable:
            raise ConnectionBroken("the connection has ended", sent=False)
        assert self.transport is not None
        data = request.encode()
        self.in_use = True
        self.sent = True
        self.sent_at = monotonic()
        self.request = request
        self.transport.write(data)

    async def read_head(self, is_ours: Callable[[HttpResponse], bool]) -> HttpResponse:
        """Return the head of the response.

        Parameters
        ----------
        is_ours : callable
            Whether a response answers the present request.  A response that does not is a late or
            doubled one of an earlier request: it is skipped, and the connection is not kept.

        Raises
        ------
        ConnectionBroken
            If the connection ends first, or the bytes are not HTTP.
        """
        while True:
            head = await self._next_event()
            if not isinstance(head, HttpResponse):
                raise ConnectionBroken("a body or an end instead of a response", self.sent)
            if is_ours(head):
                self.close_after = self.close_after or _says_close(head)
                return head
            await self._skip_response()

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises
        ------
        ConnectionBroken
            If the connection ends before the body does, or the bytes are not HTTP.
        """
        if self._has_no_body():
            # The parser can't be told, so nothing else is read on this connection.
            self._finish(End.CLOSING)
            return None
        event = await self._next_event()
        if isinstance(event, bytes):
            return event
        if isinstance(event, End):
            self._finish(event)
            return None
        raise ConnectionBroken("a response within a body", self.sent)

    async def read_body(self, limit: int) -> bytes:
        """Return the whole rest of the body; `ConnectionBroken` if it ends early or exceeds `limit` bytes."""
        pieces = []
        size = 0
        while (piece := await self.read_piece()) is not None:
            size += len(piece)
            if size > limit:
                raise ConnectionBroken(f"a body of more than {limit} bytes", self.sent)
            pieces.append(piece)
        return b"".join(pieces)

    # Inside

    async def _next_event(self) -> Event:
        while True:
            try:
                event = self.parser.take()
            except NotHttp as error:
                raise ConnectionBroken(str(error), self.sent) from error
            if event is not None:
                return event
            await self._feed()

    async def _feed(self) -> None:
        """Give the parser more bytes, or the end of the connection."""
        while not self.chunks:
            if isinstance(self.error, Unresponsive):
                raise self.error
            if self.error is not None:
                raise ConnectionBroken(f"reset: {self.error}", self.sent)
            if self.ended:
                self.parser.end()
                return
            self.wake = self.loop.create_future()
            await self.wake
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.waiting_bytes = 0
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
        self.parser.feed(data)

    async def _skip_response(self) -> None:
        """Read over a response of an earlier request, and wait for the one that is due."""
        self.close_after = True
        while not isinstance(event := await self._next_event(), End):
            pass
        if event is End.CLOSING:
            raise ConnectionBroken("closed after a response to another request", self.sent)

    def _has_no_body(self) -> bool:
        return self.request is not None and self.request.method.upper() == "HEAD"

    def _finish(self, end: End) -> None:
        """Make ready for another request, if the connection can take one."""
        self.in_use = False
        self.sent = False
        self.idle_since = monotonic()
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        more = self.parser.has_more or self.chunks
        # Bytes after a whole response belong to no request; and a target that answers before
        # it has read the body must not find another request where the rest is due.
        self.dirty = bool(more or unsent or self.close_after or end is End.CLOSING)


def _says_close(head: HttpResponse) -> bool:
    value = head.header("Connection")
    return value is not None and "close" in value.lower()


async def open_connection(address: str, timeout_s: float) -> Http1Connection:
    """Open a connection to ``IP:PORT``; `NotConnected` if that fails or takes too long."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(Http1Connection, host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        raise NotConnected(f"{address}: {error or 'no answer'}") from error
    return connection


__all__ = [
    "ConnectionBroken",
    "Http1Connection",
    "NotConnected",
    "Unresponsive",
    "open_connection",
]
