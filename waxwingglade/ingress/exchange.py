"""One request of a caller: read it completely, and answer it completely or visibly truncated."""

import asyncio
import time
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from waxwingglade.follow.model import ClientLimits
from waxwingglade.transport.messages import HeaderList

PER_CONNECTION = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
}


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class Exchange(HTTPMessageDelegate):
    """One request of a caller, and its answer.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    serve : callable
        Starts the task that serves the request, once it is complete.
    closing : callable
        Returns whether connections are to be closed after their answer.
    limits : callable
        Returns the limits in force for callers.

    Attributes
    ----------
    arrived_at : float
        Monotonic time in seconds at which the head arrived; until then, the time at which the wait
        for it began.
    received_at : float
        Monotonic time in seconds at which a part of the request last arrived.
    received : bool
        Whether the request is complete.
    answered : bool
        Whether the head of an answer was written.
    status : int
        Status of the answer; 0 before.
    aborted : bool
        Whether the connection was closed instead of a complete answer.
    close_after : bool
        Whether the connection is closed after the answer.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        serve: Callable[["Exchange"], asyncio.Task],
        closing: Callable[[], bool],
        limits: Callable[[], ClientLimits] = ClientLimits,
    ) -> None:
        self.connection = connection
        self.serve = serve
        self.closing = closing
        self.limits = limits
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        # A list of the pieces would take many times their size if they are small.
        self.received_body = bytearray()
        self.arrived_at = self.received_at = time.monotonic()
        self.received = False
        self.task: asyncio.Task | None = None
        self.answered = False
        self.done = False
        self.disconnected = False
        self.status = 0
        self.aborted = False
        self.close_after = False

    # Called by the server

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.arrived_at = self.received_at = time.monotonic()
        # The server applied its limit when the connection began to wait for this request.
        self.connection.set_max_body_size(self.limits().max_body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body."""
        self.received_at = time.monotonic()
        self.received_body += chunk

    def finish(self) -> None:
        """Serve the request, which is complete.

        A request whose connection was closed while it was read is not sent to a target.
        """
        self.received = True
        if self.connection.stream.closed():
            self.disconnected = True
            return
        # The server itself calls `on_connection_close` only while it receives a request.
        self.connection.set_close_callback(self.on_connection_close)
        self.task = self.serve(self)

    def on_connection_close(self) -> None:
        """Cancel all work for a caller that has disconnected."""
        self.disconnected = True
        if self.task is not None and not self.done:
            self.task.cancel()

    # For the task that serves

    async def caller_has_disconnected(self) -> bool:
        """Return whether the caller closed its connection before the request was read.

        An entry that was stalled reads the request and the close together, and must not send the
        request to a target.  The close is read in the next iteration of the event loop.
        """
        await asyncio.sleep(0)
        return self.connection.stream.closed()

    @property
    def method(self) -> str:
        """Method of the request."""
        assert self.start_line is not None
        return self.start_line.method

    @property
    def path(self) -> str:
        """Path of the request, with its query."""
        assert self.start_line is not None
        return self.start_line.path

    @property
    def body(self) -> bytes:
        """The complete body."""
        return bytes(self.received_body)

    def header_list(self) -> HeaderList:
        """Return the headers in order."""
        return list(self.headers.get_all())

    async def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Write a complete answer."""
        self._write_head(status, headers, body, len(body))
        await self._finish()

    def begin_stream(self, status: int, headers: HeaderList) -> None:
        """Write the head of an answer of unknown length."""
        self._write_head(status, headers, b"", None)

    async def write(self, data: bytes) -> None:
        """Write a piece of a stream; returns once it was handed to the kernel."""
        try:
            await self.connection.write(data)
        except StreamClosedError as error:
            raise CallerDisconnected from error

    async def end_stream(self) -> None:
        """End a stream as complete."""
        await self._finish()

    def abort(self) -> None:
        """Close the connection, so that the caller detects a truncated answer."""
        self.done = True
        self.aborted = True
        self.connection.stream.close()

    def close_when_idle(self) -> None:
        """Close the connection now if it is idle, else after the answer.

        If the head of the answer is already written, it lacks the header ``Connection: close``.
        """
        self.close_after = True
        if self.idle:
            self.connection.stream.close()

    def close_if_stalled(self, since: float) -> None:
        """Close the connection if the rest of its request is missing, without a part since then."""
        if not self.idle and not self.received and self.received_at < since:
            self.connection.stream.close()

    @property
    def idle(self) -> bool:
        """Whether no request has arrived."""
        return self.start_line is None

    def _write_head(
        self, status: int, headers: HeaderList, body: bytes, length: int | None
    ) -> None:
        if self.answered:
            raise RuntimeError(f"request already answered with status {self.status}")
        self.answered = True
        self.status = status
        head = HTTPHeaders()
        for name, value in headers:
            if name.lower() not in PER_CONNECTION:
                head.add(name, value)
        if length is not None:
            head["Content-Length"] = str(length)
        self.close_after = self.close_after or self.closing()
        if self.close_after:
            head["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self.connection.write_headers(line, head, body or None)

    async def _finish(self) -> None:
        self.done = True
        stream = self.connection.stream
        disconnected = stream.closed()
        try:
            self.connection.finish()
            if stream.writing():
                # This empty write completes once all earlier data was passed to the kernel.
                await stream.write(b"")
        except StreamClosedError as error:
            raise CallerDisconnected from error
        if disconnected:
            raise CallerDisconnected
        if self.close_after:
            stream.close()


__all__ = ["CallerDisconnected", "Exchange"]
