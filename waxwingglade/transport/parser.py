"""What the bytes of a connection say: heads, pieces of bodies, and ends of responses.

The parser is llhttp's, written in C.  What is added is the order of what it tells, and when a
response without a length is whole.
"""

from collections import deque
from enum import Enum

import httptools

from waxwingglade.transport.messages import HttpResponse

MAX_HEADER_BYTES = 64 * 1024
FIRST_FINAL_STATUS = 200
"""Statuses below are of interim responses, which the final one follows."""

SWITCHED = 101


class NotHttp(Exception):
    """Bytes are no response, or end in the middle of one."""


class End(Enum):
    """How a response ended."""

    KEPT = "another may follow on its connection"
    CLOSING = "it is the last one of its connection"


Event = HttpResponse | bytes | End


class ResponseParser:
    """Reads the responses on one connection, one after the other.

    Attributes
    ----------
    events : deque
        What was read and not taken yet.
    within : bool
        Whether a response has begun that has not ended.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.events: deque[Event] = deque()
        self.within = False
        self.error: str | None = None
        self.head: HttpResponse | None = None
        self.headers: list[tuple[str, str]] = []
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Read further bytes.  What is wrong with them is said once all before it was taken."""
        if self.error is not None:
            return
        if self.head is None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.error = f"not HTTP: {error}"
            return
        if self.within and self.head is None and self.head_bytes > MAX_HEADER_BYTES:
            self.error = f"not HTTP: a head of more than {MAX_HEADER_BYTES} bytes"

    def end(self) -> None:
        """Note the orderly end of the connection, which is also that of a body without a length."""
        if self.error is not None:
            return
        if self.head is not None and _ends_with_connection(self.head):
            self._note_end(End.CLOSING)
        self.error = "the connection has ended"

    def take(self) -> Event | None:
        """Return what comes next; None if more bytes are needed.

        Raises
        ------
        NotHttp
            If nothing can come any more.
        """
        if self.events:
            return self.events.popleft()
        if self.error is not None:
            raise NotHttp(self.error)
        return None

    @property
    def has_more(self) -> bool:
        """Whether anything came that was not taken."""
        return bool(self.events) or self.within or self.error is not None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin with a response."""
        self.within = True
        self.head = None
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header; those after a body belong to no head."""
        if self.head is None:
            self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Tell the head of a final response."""
        self.head_bytes = 0
        self.head = HttpResponse(self.parser.get_status_code(), self.headers)
        if not self._is_interim:
            self.events.append(self.head)

    def on_body(self, piece: bytes) -> None:
        """Tell a piece of the body."""
        self.events.append(piece)

    def on_message_complete(self) -> None:
        """Tell the end of a final response."""
        if self._is_interim:
            self.within = False
            self.head = None
            return
        self._note_end(End.KEPT if self.parser.should_keep_alive() else End.CLOSING)

    @property
    def _is_interim(self) -> bool:
        return self.head is not None and self.head.status < FIRST_FINAL_STATUS

    def _note_end(self, end: End) -> None:
        self.events.append(end)
        self.within = False
        self.head = None


def _ends_with_connection(head: HttpResponse) -> bool:
    """Return whether nothing but the end of its connection ends a response's body."""
    if head.header("Content-Length") is not None:
        return False
    return "chunked" not in (head.header("Transfer-Encoding") or "").lower()


__all__ = ["End", "Event", "NotHttp", "ResponseParser"]
