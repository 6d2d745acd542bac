"""The HTTP client that all adapters share.

This module builds the client, so that its limits are the same everywhere, and decides from the kind
of failure of an exchange whether the request may have run.

Notes
-----
libcurl reports success with an empty body if the connection is closed in order within the head of
an answer, unless the part that arrived states a length.  `Exchange` therefore checks that the empty
line after the final head was received.

libcurl also reports success if a connection is closed in order while the request is still being
written.  A success without a length that ends so is truncated.

libcurl retries a request by itself, even a POST, if a reused connection is closed before the first
byte of the answer.  `Exchange` allows this only for requests that are marked as repeatable; for all
others the second attempt is stopped before its first byte.
"""

import asyncio
import os
import socket
from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from waxwingglade.base import (
    Err,
    ErrorCode,
    Failure,
    Ok,
    Outcome,
    Verdict,
    WaxwinggladeError,
    monotonic,
)

RETRY_AFTER_HEADER = "retry-after"
END_OF_BODY = b""
EMPTY_LINES = ("\r\n", "\n")
READ_GRACE_S = 0.05
CLOSE_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 65_536
ERROR_TIMEOUT_S = 5.0
"""Size in bytes of an error answer's body, and seconds for which its rest is awaited."""

UPLOAD_BYTES = 32 * 1024
"""Size in bytes of a body from which on the written part is recorded.  Smaller ones fit into the
buffers of a connection."""

FINAL_STATUSES = range(200, 600)
TURN_S = 0.01
"""Seconds for which pieces that already arrived are read before other tasks get a turn."""


class HttpClientSettings(msgspec.Struct, frozen=True):
    """Limits of the shared client.

    Parameters
    ----------
    max_clients : int
        Maximum number of simultaneous exchanges.  Further requests are rejected as not run, since
        tornado would queue them without notice.
    connect_timeout_s : float
        Timeout of connecting to a target, in seconds.
    header_bytes, answer_bytes : int
        Maximum sizes in bytes of the headers and the body of an answer.
    """

    max_clients: int = 1000
    connect_timeout_s: float = 2.0
    header_bytes: int = 65_536
    answer_bytes: int = 16_000_000


class HttpRequest(msgspec.Struct, frozen=True):
    """One request.

    Parameters
    ----------
    method, url : str
        Method and URL.
    headers : dict
        Headers in addition to those of the client.
    body : bytes or None
        Body, if any; it is JSON unless `headers` states another Content-Type.
    timeout_s : float
        Timeout of the complete exchange, in seconds.
    repeatable : bool
        Whether the client may retry the request by itself; see the notes of the module.
    """

    method: str
    url: str
    headers: dict[str, str] = {}
    body: bytes | None = None
    timeout_s: float = 10.0
    repeatable: bool = False


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete answer of any status; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def retry_after_s(self) -> float | None:
        """Return the seconds after which the server asks for a retry, or None."""
        value = self.headers.get(RETRY_AFTER_HEADER, "")
        return float(value) if value.isdecimal() else None


class HttpClient:
    """A tornado client on libcurl, and the tasks that outlive the calls which started them."""

    def __init__(self, settings: HttpClientSettings | None = None) -> None:
        self.settings = settings or HttpClientSettings()
        self.tasks: set[asyncio.Task] = set()
        self.exchanges: set[Exchange] = set()
        self.curl_client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=self.settings.max_clients,
            max_body_size=self.settings.answer_bytes,
        )

    def track(self, task: asyncio.Task) -> None:
        """Hold a reference to `task` until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Wait for running tasks for at most `CLOSE_TIMEOUT_S`, then close all connections."""
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=CLOSE_TIMEOUT_S)
        for exchange in self.exchanges:
            exchange.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.curl_client.close()


class ClientFullError(WaxwinggladeError):
    """The client has reached its maximum number of simultaneous exchanges."""


class Exchange:
    """A running request, which can be aborted.

    `status` and `headers` are valid once the first piece of the body, or its end, was received.
    """

    def __init__(self, client: HttpClient, request: HttpRequest) -> None:
        self.client = client
        self.request = request
        self.curl: pycurl.Curl | None = None
        self.aborted = False
        self.attempts = 0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.head_complete = False
        self.written = len(request.body or b"")
        self.used_grace = False
        self.turn_ends_at = 0.0
        self.pieces: asyncio.Queue[bytes] = asyncio.Queue()
        self.future = self._start()
        self.future.add_done_callback(self._on_done)

    def _start(self) -> asyncio.Future:
        client = self.client
        if len(client.exchanges) >= client.settings.max_clients:
            refused = asyncio.get_running_loop().create_future()
            refused.set_exception(ClientFullError("too many exchanges under way"))
            return refused
        client.exchanges.add(self)
        return client.curl_client.fetch(self._tornado_request(client.settings), raise_error=False)

    def _tornado_request(self, settings: HttpClientSettings) -> HTTPRequest:
        request = self.request
        return HTTPRequest(
            request.url,
            method=request.method,
            headers={"Content-Type": "application/json", **request.headers},
            body=request.body,
            connect_timeout=min(settings.connect_timeout_s, request.timeout_s),
            request_timeout=request.timeout_s,
            header_callback=self._on_header,
            streaming_callback=self.pieces.put_nowait,
            prepare_curl_callback=self._on_prepare,
            follow_redirects=False,
            decompress_response=False,
        )

    def _on_prepare(self, curl: pycurl.Curl) -> None:
        if self.aborted:
            raise ConnectionAbortedError("aborted before it was sent")
        self.curl = curl
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        is_upload = len(self.request.body or b"") >= UPLOAD_BYTES
        # The handle may have been used for another request before.
        curl.setopt(pycurl.NOPROGRESS, not is_upload)
        if is_upload:
            self.written = 0
            curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def _on_progress(self, _to_read: int, _read: int, _to_write: int, written: int) -> None:
        """Record how many bytes of the body were written."""
        self.written = max(self.written, written)

    def _on_connected(self, *_addresses: object) -> int:
        """Allow or abort the request just before its first byte is sent."""
        if self.aborted:
            return pycurl.PREREQFUNC_ABORT
        if self.attempts and not self.request.repeatable:
            return pycurl.PREREQFUNC_ABORT
        self.attempts += 1
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: str) -> None:
        self.header_bytes += len(line)
        if self.header_bytes > self.client.settings.header_bytes:
            self.abort()
            return
        if line.startswith("HTTP/"):
            self.status = int(line.split()[1])
            return
        # libcurl also passes on an unfinished line at the end of the connection.
        if line in EMPTY_LINES:
            # Interim answers, which have lower statuses, are followed by the final one.
            self.head_complete = self.status in FINAL_STATUSES
            return
        name, colon, value = line.partition(":")
        if colon:
            self.headers[name.strip().lower()] = value.strip()

    def _on_done(self, future: asyncio.Future) -> None:
        # Reading the exception prevents a warning of asyncio, since nothing else reads an aborted
        # exchange.
        future.exception()
        self.client.exchanges.discard(self)
        self.pieces.put_nowait(END_OF_BODY)

    def abort(self) -> None:
        """Close the connection now if the exchange is still running."""
        self.aborted = True
        # The handle of an ended exchange may already be in use for another one.
        if self.future.done() or self.curl is None:
            return
        _shut_down_socket(self.curl)

    async def next_piece(self, timeout_s: float) -> bytes:
        """Return a piece of the body, or `END_OF_BODY`; raises TimeoutError after `timeout_s`."""
        if timeout_s > 0.0:
            self.used_grace = False
        if not self.pieces.empty():
            return await self.piece_or_end()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.piece_or_end()
        except TimeoutError:
            if self.used_grace:
                raise
            # After a stall of this process the timer expires before bytes that already arrived are
            # read.
            self.used_grace = True
            async with asyncio.timeout(READ_GRACE_S):
                return await self.piece_or_end()

    async def piece_or_end(self) -> bytes:
        """Wait for a piece; other tasks run at least every `TURN_S` seconds."""
        if not self.pieces.empty():
            if monotonic() < self.turn_ends_at:
                return self.pieces.get_nowait()
            await asyncio.sleep(0)
        piece = await self.pieces.get()
        self.turn_ends_at = monotonic() + TURN_S
        return piece

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; `failure` is valid afterwards."""
        while piece := await self.piece_or_end():
            yield piece

    async def answer(self) -> Outcome[HttpAnswer]:
        """Wait for the complete answer and return it, whatever its status."""
        return self._answer_with(await self._collect_body())

    async def answer_or_error_start(self) -> Outcome[HttpAnswer]:
        """Wait for the complete answer, or for the start of an error answer that goes on."""
        first = await self.piece_or_end()
        if not first:
            return self._answer_with(b"")
        if self.status < HTTPStatus.BAD_REQUEST:
            return self._answer_with(await self._collect_body(first))
        body = await self.error_body(first)
        if self.future.done():
            return self._answer_with(body)
        return Ok(HttpAnswer(self.status, self.headers, body))

    async def error_body(self, first: bytes) -> bytes:
        """Return the body of an error answer after its first piece, as far as it arrives in time.

        Its rest is awaited for `ERROR_TIMEOUT_S` and up to `MAX_ERROR_BYTES`.
        """
        body, piece = bytearray(), first
        end_at = monotonic() + ERROR_TIMEOUT_S
        try:
            while piece and len(body) < MAX_ERROR_BYTES:
                body += piece
                piece = await self.next_piece(max(0.0, end_at - monotonic()))
        except TimeoutError:
            pass
        return bytes(body)

    async def _collect_body(self, first: bytes = b"") -> bytes:
        """Return the body after its first piece."""
        # Pieces may have a few bytes each, and a list of them would take many times their size.
        body = bytearray(first)
        async for piece in self.body():
            body += piece
        return bytes(body)

    def _answer_with(self, body: bytes) -> Outcome[HttpAnswer]:
        """Return the answer with a body, or its failure."""
        failure = self.failure()
        if failure is not None:
            return Err(failure)
        return Ok(HttpAnswer(self.status, self.headers, body))

    def failure(self) -> Failure | None:
        """Return the failure of a finished exchange without a complete answer, or None."""
        error = self.future.exception()
        if error is None and self.head_complete and not self._is_truncated:
            return None
        code = ErrorCode.UNAVAILABLE if error is None else _error_code(error)
        reason = error or self._why_invalid()
        message = f"{self.request.method} {self.request.url}: {reason}"
        return Failure(self.verdict(), code, message)

    @property
    def _is_truncated(self) -> bool:
        """Whether the end of the connection ended the body before the request was written."""
        return (
            HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
            and self.written < len(self.request.body or b"")
            and "content-length" not in self.headers
            and "chunked" not in self.headers.get("transfer-encoding", "").lower()
        )

    def _why_invalid(self) -> str:
        """Return why the bytes that arrived are no complete answer."""
        if self.head_complete:
            return "the connection was closed before the request was written"
        if self.status not in FINAL_STATUSES and self.status >= HTTPStatus.OK:
            return f"status {self.status} is not defined"
        return "the connection was closed within the head of the answer"

    def verdict(self) -> Verdict:
        """Return whether any byte of the request may have been sent.

        The verdict is final once the exchange is aborted or ended.
        """
        return Verdict.MAY_HAVE_RUN if self.attempts else Verdict.NOT_RUN


def _error_code(error: BaseException) -> ErrorCode:
    if isinstance(error, ClientFullError):
        return ErrorCode.OVERLOADED
    if not isinstance(error, CurlError):
        return ErrorCode.INTERNAL
    if error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return ErrorCode.TIMEOUT
    return ErrorCode.UNAVAILABLE


async def send(client: HttpClient, request: HttpRequest) -> Outcome[HttpAnswer]:
    """Send a request and return the complete answer, whatever its status.

    An error answer whose body does not end in time is returned as far as it has arrived.
    Cancelling the caller closes the connection.
    """
    exchange = Exchange(client, request)
    try:
        return await exchange.answer_or_error_start()
    finally:
        exchange.abort()


def _shut_down_socket(curl: pycurl.Curl) -> None:
    """Shut down the socket of a transfer, so that libcurl ends it immediately."""
    descriptor = curl.getinfo(pycurl.ACTIVESOCKET)
    if descriptor < 0:
        return
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        try:
            duplicate.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


__all__ = [
    "END_OF_BODY",
    "Exchange",
    "HttpAnswer",
    "HttpClient",
    "HttpClientSettings",
    "HttpRequest",
    "send",
]
