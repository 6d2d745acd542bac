"""Split a stream of server-sent events without changing its bytes."""

import re

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
MAX_COMMENT_BYTES = 64 * 1024
"""Size in bytes of consecutive events without id and data, such as comments."""

_DATA = b"data:"
_ID = b"id:"
_END_OF_EVENT = re.compile(rb"\n\n|\r\n\r\n")
_MAX_END_BYTES = 4


class StreamError(Exception):
    """The bytes of a stream are not valid events."""


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    Parameters
    ----------
    raw : bytes
        Bytes of the event, with the empty line that ends it.
    number : int or None
        Id of the event, if it has one.
    data : bytes or None
        Data of the event, lines joined by line feeds; None for an event without data.
    """

    raw: bytes
    number: int | None
    data: bytes | None


class EventSplitter:
    """Buffers bytes until events are complete.

    Attributes
    ----------
    comment_bytes : int
        Size of the events since the last one that has an id or data.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.comment_bytes = 0

    @property
    def rest(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are complete now."""
        # The rest of earlier data may end with a part of an end, and has no complete one.
        searched = max(0, len(self.buffer) - _MAX_END_BYTES + 1)
        self.buffer += data
        events = []
        while (end := _end_of_event(self.buffer, searched)) > 0:
            event = parse_event(bytes(self.buffer[:end]))
            if event.number is None and event.data is None:
                self._count_comment(event)
            else:
                self.comment_bytes = 0
            events.append(event)
            del self.buffer[:end]
            searched = 0
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise StreamError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events

    def _count_comment(self, event: Event) -> None:
        self.comment_bytes += len(event.raw)
        if self.comment_bytes > MAX_COMMENT_BYTES:
            raise StreamError(f"{self.comment_bytes} bytes of events without id and data")


def _end_of_event(buffer: bytearray, start: int) -> int:
    """Return the length of the first event that ends after `start`, or 0 if it is incomplete."""
    found = _END_OF_EVENT.search(buffer, start)
    return found.end() if found else 0


def parse_event(raw: bytes) -> Event:
    """Parse id and data of an event."""
    number: int | None = None
    data: list[bytes] = []
    for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
        if line.startswith(_DATA):
            data.append(line[len(_DATA) :].removeprefix(b" "))
        elif line.startswith(_ID):
            number = _number(line[len(_ID) :])
    return Event(raw, number, b"\n".join(data) if data else None)


def _number(value: bytes) -> int:
    try:
        return int(value)
    except ValueError as error:
        raise StreamError(f"event id {value!r}") from error


__all__ = ["Event", "EventSplitter", "StreamError", "parse_event"]
