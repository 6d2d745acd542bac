"""The caller's side of one request: read it whole, answer it whole or visibly not at all."""

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
        Starts the task that serves the request, once it was read whole.
    closing : callable
        Whether connections are to be closed after their answer.
    limits : callable
        What a caller may send at present.

    Attributes
    ----------
    arrived_at : float
        Monotonic time at which the head was read, in seconds; before, that from which on it is
        awaited.
    answered : bool
        Whether the head of an answer was written.
    status : int
        Status of the answer; 0 before.
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
        self.pieces: list[bytes] = []
        self.arrived_at = time.monotonic()
        self.task: asyncio.Task | None = None
        self.answered = False
        self.done = False
        self.disconnected = False
        self.status = 0
        self.close_after = False

    # Called by the server

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.arrived_at = time.monotonic()
        # The server took its own limit when the connection began to wait for this request.
        self.connection.set_max_body_size(self.limits().max_body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self.pieces.append(chunk)

    def finish(self) -> None:
        """Serve the request: it was read whole.

        One whose connection was closed while it was being read is not passed on to a target.
        """
        if self.connection.stream.closed():
            self.disconnected = True
            return
        # The server tells of a close by `on_connection_close` only while a request is being
        # received.
        self.connection.set_close_callback(self.on_connection_close)
        self.task = self.serve(self)

    def on_connection_close(self) -> None:
        """Stop everything that is done for a caller who has left."""
        self.disconnected = True
        if self.task is not None and not self.done:
            self.task.cancel()

    # For the task that serves

    async def caller_has_disconnected(self) -> bool:
        """Return whether the caller closed its connection before the request was read.

        An entry that stood still finds both at once, and must not send the request to a target.
        The close is read in the next turn of the loop.
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
        """The whole body."""
        return b"".join(self.pieces)

    def header_list(self) -> HeaderList:
        """Return the headers in order."""
        return list(self.headers.get_all())

    async def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Write a whole answer."""
        self._write_head(status, headers, body, len(body))
        await self._finish()

    def begin_stream(self, status: int, headers: HeaderList) -> None:
        """Write the head of an answer whose length is not known."""
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
        """Close the connection so that the answer can be seen to be incomplete."""
        self.done = True
        self.connection.stream.close()

    def close_when_idle(self) -> None:
        """Close the connection, after the answer if a request has begun on it.

        Where the head of the answer is written the caller can't be told any more.
        """
        self.close_after = True
        if self.idle:
            self.connection.stream.close()

    @property
    def idle(self) -> bool:
        """Whether no request has begun."""
        return self.start_line is None

    def _write_head(
        self, status: int, headers: HeaderList, body: bytes, length: int | None
    ) -> None:
        if self.answered:
            raise RuntimeError("a request is answered once")
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
                # Nothing, but written behind all the rest: done once that was handed to the kernel.
                await stream.write(b"")
        except StreamClosedError as error:
            raise CallerDisconnected from error
        if disconnected:
            raise CallerDisconnected
        if self.close_after:
            stream.close()


__all__ = ["CallerDisconnected", "Exchange"]
