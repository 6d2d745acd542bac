"""Parse the bytes of a connection into heads, pieces of bodies, and ends of responses.

The parser is llhttp, written in C.  This module adds the order of its events, and decides when a
response without a length is complete.
"""

from collections import deque
from enum import Enum

import httptools

from waxwingglade.transport.messages import HttpResponse

MAX_HEADER_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200
"""Lower statuses are those of interim responses, which are followed by the final one."""

STATUSES = range(100, 600)
"""Statuses that HTTP defines.  The parser takes any number below 200 for an interim response."""

SWITCHED = 101


class InvalidResponse(Exception):
    """The bytes are not an HTTP response, or end within one."""


class ResponseEnd(Enum):
    """How a response ended."""

    KEEP_ALIVE = "another may follow on its connection"
    CLOSING = "it is the last one of its connection"
    UNFRAMED = "only the end of its connection ended it"


Event = HttpResponse | bytes | ResponseEnd


class ResponseParser:
    """Parses the consecutive responses on one connection.

    Attributes
    ----------
    events : deque
        Parsed events that were not taken yet.
    in_response : bool
        Whether a response has begun and not ended.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.events: deque[Event] = deque()
        self.in_response = False
        self.error: str | None = None
        self.head: HttpResponse | None = None
        self.headers: list[tuple[str, str]] = []
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse further bytes.  `take` reports an error after all events that precede it."""
        if self.error is not None:
            return
        if self.head is None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.error = self.error or f"not HTTP: {error}"
            return
        if self.in_response and self.head is None and self.head_bytes > MAX_HEADER_BYTES:
            self.error = f"not HTTP: a head of more than {MAX_HEADER_BYTES} bytes"

    def end(self) -> None:
        """Record the orderly end of the connection, which also ends a body without a length."""
        if self.error is not None:
            return
        if self.head is not None and _ends_with_connection(self.head):
            self._record_end(ResponseEnd.UNFRAMED)
        self.error = "the connection has ended"

    def take(self) -> Event | None:
        """Return the next event, or None if more bytes are needed.

        Raises
        ------
        InvalidResponse
            If no further event is possible.
        """
        if self.events:
            return self.events.popleft()
        if self.error is not None:
            raise InvalidResponse(self.error)
        return None

    @property
    def has_more(self) -> bool:
        """Whether anything was received that was not taken."""
        return bool(self.events) or self.in_response or self.error is not None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.in_response = True
        self.head = None
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers, which follow a body, are ignored."""
        if self.head is None:
            self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Append the head of a final response to the events."""
        self.head_bytes = 0
        status = self.parser.get_status_code()
        if status not in STATUSES:
            self.error = f"not HTTP: status {status:03}"
            raise InvalidResponse(self.error)
        self.head = HttpResponse(status, self.headers)
        if not self._is_interim:
            self.events.append(self.head)

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body to the events."""
        self.events.append(piece)

    def on_message_complete(self) -> None:
        """Append the end of a final response to the events."""
        if self._is_interim:
            self.in_response = False
            self.head = None
            return
        self._record_end(
            ResponseEnd.KEEP_ALIVE if self.parser.should_keep_alive() else ResponseEnd.CLOSING
        )

    @property
    def _is_interim(self) -> bool:
        return self.head is not None and self.head.status < FIRST_FINAL_STATUS

    def _record_end(self, end: ResponseEnd) -> None:
        self.events.append(end)
        self.in_response = False
        self.head = None


def _ends_with_connection(head: HttpResponse) -> bool:
    """Return whether only the end of its connection ends the body of a response."""
    if head.header("Content-Length") is not None:
        return False
    return "chunked" not in (head.header("Transfer-Encoding") or "").lower()


__all__ = ["Event", "InvalidResponse", "ResponseEnd", "ResponseParser"]
