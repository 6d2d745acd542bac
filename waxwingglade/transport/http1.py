"""One HTTP/1.1 connection of a client, which records whether a byte of a request was sent.

Unlike an ordinary client it reports what a scheduler needs: whether a failed request may have
reached the server, whether a response that ends with its connection was truncated, and whether
bytes arrived that belong to no request.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import cast

from waxwingglade.base import WaxwinggladeError, monotonic
from waxwingglade.transport.messages import HttpRequest, HttpResponse
from waxwingglade.transport.overhead import Overhead
from waxwingglade.transport.parser import Event, InvalidResponse, ResponseEnd, ResponseParser

USER_TIMEOUT_MS = 700
"""Milliseconds for which sent bytes may stay unacknowledged.  This allows for many round trips of
about 3 ms with retransmissions.  It is short compared with the deadlines of requests, so that there
is time for a retry after a peer lost power or was partitioned."""

LARGE_USER_TIMEOUT_MS = 2_000
"""The same for a large request.  The kernel also counts bytes for which a peer has no room in its
receive buffer, and a sound peer may pause for more than a second before it reads them."""

LARGE_REQUEST_BYTES = 32 * 1024
"""Size in bytes from which on a request may not fit into the receive buffer of its peer."""

KEEPALIVE_S = 1
"""Seconds after which an idle connection is probed, and between probes.  A peer that becomes
unreachable while an answer is awaited is detected after about two seconds; a peer that is only slow
is not affected."""

MAX_SKIPPED_RESPONSES = 8
"""Responses to earlier requests that are skipped before the awaited one."""

MAX_SKIPPED_BYTES = 8 * 1024 * 1024
"""Size in bytes of the body of such a response."""

SUCCESSES = range(200, 300)
"""Statuses of successful responses."""

READ_HIGH_WATER_BYTES = 256 * 1024
"""Received bytes that are buffered for the reader before the connection stops reading."""


class NotConnected(WaxwinggladeError):
    """No connection could be opened, so no byte of a request was sent."""


class ConnectionBroken(WaxwinggladeError):
    """A connection ended, or carried bytes that are not HTTP, before its response was complete.

    Parameters
    ----------
    message : str
        What happened.
    sent : bool
        Whether bytes of the request may have been sent.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Unresponsive(ConnectionBroken):
    """A connection was closed because it was unresponsive; its target may be healthy."""


class Http1Connection(asyncio.Protocol):
    """One connection, which serves one request at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the peer.

    Attributes
    ----------
    sent : bool
        Whether bytes of the current request were passed to the kernel.
    must_close : bool
        Whether the connection is not used again, for instance because bytes arrived that belong to
        no request.
    unframed : bool
        Whether only the end of the connection ended the last response, which may be truncated.
    cut_request : bool
        Whether the peer ended the connection before it had received the whole request.
    idle_since : float
        When the last response was read to its end, in monotonic seconds.
    opened_at, last_received_at, sent_at : float
        When it was opened, when bytes last arrived on it, and when its current request was sent,
        in monotonic seconds.  The clock of an event loop may stay the same for a whole iteration,
        and then does not show which event came first.
    lost_at : float or None
        When the peer or the network ended it, in monotonic seconds; None while it is open, and if
        this side closed it.
    """

    def __init__(self, address: str = "") -> None:
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.parser = ResponseParser()
        self.overhead = Overhead()
        self.skipped_responses = 0
        self.user_timeout_ms = 0
        self.transport: asyncio.Transport | None = None
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.paused = False
        self.ended = False
        self.error: Exception | None = None
        self.read_waiter: asyncio.Future[None] | None = None
        self.in_use = False
        self.sent = False
        self.must_close = False
        self.unframed = False
        self.cut_request = False
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.last_received_at = 0.0
        self.sent_at = 0.0
        self.lost_at: float | None = None
        self.request: HttpRequest | None = None
        self.succeeded = False
        self.close_after_response = False

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit how long a dead peer stays undetected."""
        # The class is not checked: transports of other event loops do not derive from asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.opened_at = self.last_received_at = monotonic()
        own_socket = transport.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
        self._limit_unacknowledged(USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes for the reader; bytes without a request close the connection."""
        if not self.in_use:
            self.must_close = True
            self.close()
            return
        self.last_received_at = monotonic()
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > READ_HIGH_WATER_BYTES and not self.paused and self.transport:
            self.paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the peer closed its side in order; the transport closes itself."""
        self.cut_request = self.in_use and self._has_unreceived()
        self._record_loss()
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; an exception means that it was reset."""
        if not self.ended and exc is not None:
            self.error = exc
        self._record_loss()
        self._wake_reader()

    def _record_loss(self) -> None:
        if not self.ended:
            self.lost_at = monotonic()
        self.ended = True

    def _has_unreceived(self) -> bool:
        """Return whether the peer has not acknowledged all bytes that were sent.

        The end of a connection acknowledges all that the peer has received.
        """
        assert self.transport is not None
        if self.transport.get_write_buffer_size() > 0:
            return True
        own_socket = self.transport.get_extra_info("socket")
        try:
            (size,) = struct.unpack("i", fcntl.ioctl(own_socket, termios.TIOCOUTQ, bytes(4)))
        except OSError:
            return False
        return size > 0

    def _wake_reader(self) -> None:
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    # Interface for users

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self.ended
            and not self.must_close
            and not self.close_after_response
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Close immediately; bytes that were not sent yet are discarded."""
        if self.transport is not None:
            self.transport.abort()
        self.ended = True

    def fail(self, reason: str) -> None:
        """Close immediately; the reader gets `Unresponsive` with the reason."""
        self.error = Unresponsive(reason, self.sent)
        self.close()
        self._wake_reader()

    def send(self, request: HttpRequest) -> None:
        """Write a complete request."""
        if not self.usable:
            raise ConnectionBroken("the connection has ended", sent=False)
        assert self.transport is not None
        data = request.encode()
        is_large = len(data) >= LARGE_REQUEST_BYTES
        self._limit_unacknowledged(LARGE_USER_TIMEOUT_MS if is_large else USER_TIMEOUT_MS)
        self.in_use = True
        self.sent = True
        self.sent_at = monotonic()
        self._end_overhead()
        self.skipped_responses = 0
        self.request = request
        self.transport.write(data)

    async def read_head(self, is_expected: Callable[[HttpResponse], bool]) -> HttpResponse:
        """Return the head of the response.

        Parameters
        ----------
        is_expected : callable
            Whether a response answers the current request.  A response that does not is a late or
            duplicate response to an earlier request: it is skipped, and the connection is not
            reused.

        Raises
        ------
        ConnectionBroken
            If the connection ends first, or the bytes are not HTTP.
        """
        while True:
            head = await self._next_event()
            if not isinstance(head, HttpResponse):
                raise ConnectionBroken("a body or an end instead of a response", self.sent)
            if is_expected(head):
                self._end_overhead()
                self.close_after_response = self.close_after_response or _announces_close(head)
                self.succeeded = head.status in SUCCESSES
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
            # The parser cannot know that the body is missing, so the connection is not reused.
            self._finish_response(ResponseEnd.CLOSING)
            return None
        event = await self._next_event()
        self._end_overhead()
        if isinstance(event, bytes):
            return event
        if event is ResponseEnd.UNFRAMED and self.succeeded and self.cut_request:
            # Nothing shows that the body is complete, and no server has processed a request that
            # it has not received.
            raise ConnectionBroken("the connection ended before the request was sent", self.sent)
        if isinstance(event, ResponseEnd):
            self._finish_response(event)
            return None
        raise ConnectionBroken("a response within a body", self.sent)

    async def read_body(self, limit: int) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        ConnectionBroken
            If the body is truncated or exceeds `limit` bytes.
        """
        # A list of the pieces would take many times their size if they are small.
        body = bytearray()
        while (piece := await self.read_piece()) is not None:
            body += piece
            if len(body) > limit:
                raise ConnectionBroken(f"a body of more than {limit} bytes", self.sent)
        return bytes(body)

    # Implementation

    def _limit_unacknowledged(self, timeout_ms: int) -> None:
        """Set for how many milliseconds sent bytes may stay unacknowledged."""
        if timeout_ms == self.user_timeout_ms:
            return
        assert self.transport is not None
        self.user_timeout_ms = timeout_ms
        own_socket = self.transport.get_extra_info("socket")
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    async def _next_event(self) -> Event:
        while True:
            try:
                event = self.parser.take()
            except InvalidResponse as error:
                raise ConnectionBroken(str(error), self.sent) from error
            if event is not None:
                return event
            size = await self._feed()
            if not self.parser.events:
                self._count_overhead(size)

    def _count_overhead(self, size: int) -> None:
        """Count bytes that are no part of the awaited response; raise if they are too many."""
        overhead = self.overhead
        overhead.add(size, monotonic())
        if overhead.exceeds_limits:
            raise ConnectionBroken(
                f"{overhead.size} bytes in {overhead.seconds:.2f} s without a part of the response",
                self.sent,
            )

    def _end_overhead(self) -> None:
        if self.overhead.received:
            self.overhead.reset()

    async def _feed(self) -> int:
        """Pass further bytes, or the end of the connection, to the parser; return their number."""
        while not self.chunks:
            if isinstance(self.error, Unresponsive):
                raise self.error
            if self.error is not None:
                raise ConnectionBroken(f"reset: {self.error}", self.sent)
            if self.ended:
                self.parser.end()
                return 0
            self.read_waiter = self.loop.create_future()
            await self.read_waiter
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
        self.parser.feed(data)
        return len(data)

    async def _skip_response(self) -> None:
        """Skip a response to an earlier request; the expected one may follow."""
        self.close_after_response = True
        self.skipped_responses += 1
        self._count_overhead(0)
        if self.skipped_responses > MAX_SKIPPED_RESPONSES:
            raise ConnectionBroken(
                f"{self.skipped_responses} responses to other requests", self.sent
            )
        size = 0
        while not isinstance(event := await self._next_event(), ResponseEnd):
            if isinstance(event, bytes):
                size += len(event)
                self.overhead.size = 0
                self._count_overhead(0)
            if size > MAX_SKIPPED_BYTES:
                raise ConnectionBroken(
                    f"a response to another request of more than {MAX_SKIPPED_BYTES} bytes",
                    self.sent,
                )
        if event is not ResponseEnd.KEEP_ALIVE:
            raise ConnectionBroken("closed after a response to another request", self.sent)

    def _has_no_body(self) -> bool:
        return self.request is not None and self.request.method.upper() == "HEAD"

    def _finish_response(self, end: ResponseEnd) -> None:
        """Prepare for another request, if the connection can be reused."""
        self.in_use = False
        self.sent = False
        self.unframed = end is ResponseEnd.UNFRAMED
        self.idle_since = monotonic()
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        more = self.parser.has_more or self.chunks
        # Bytes after a complete response belong to no request.  A target that answers before it has
        # read the request's body must not find another request in place of the rest.
        self.must_close = bool(
            more or unsent or self.close_after_response or end is not ResponseEnd.KEEP_ALIVE
        )


def _announces_close(head: HttpResponse) -> bool:
    value = head.header("Connection")
    return value is not None and "close" in value.lower()


async def open_connection(address: str, timeout_s: float) -> Http1Connection:
    """Open a connection to ``IP:PORT``.

    Raises
    ------
    NotConnected
        If that fails or takes too long.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Http1Connection(address), host, int(port)
            )
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
