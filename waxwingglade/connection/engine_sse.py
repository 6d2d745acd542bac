"""Decoder of the server-sent events of model engines."""

import codecs
import io

from waxwingglade.base import FormatError

DATA_FIELD = "data"
MAX_LINE_CHARS = 1_000_000


class EventDecoder:
    """Splits a byte stream into the data of its events.

    Bytes may arrive in arbitrary pieces, which may split characters, line ends and events.  Fields
    other than ``data`` are ignored, since engines send no other relevant fields.
    """

    def __init__(self) -> None:
        utf8 = codecs.getincrementaldecoder("utf-8")("replace")
        self.decoder = io.IncrementalNewlineDecoder(utf8, translate=True)
        self.rest = ""
        self.data: list[str] = []

    def feed(self, piece: bytes) -> list[str]:
        """Return the data of the events that `piece` completes.

        Raises
        ------
        FormatError
            A line is longer than `MAX_LINE_CHARS` characters.
        """
        lines = (self.rest + self.decoder.decode(piece)).split("\n")
        self.rest = lines.pop()
        if len(self.rest) > MAX_LINE_CHARS:
            raise FormatError("event is too long")
        events: list[str] = []
        for line in lines:
            self._process_line(line, events)
        return events

    def _process_line(self, line: str, events: list[str]) -> None:
        if line:
            name, _, value = line.partition(":")
            if name == DATA_FIELD:
                self.data.append(value.removeprefix(" "))
            return
        if self.data:
            events.append("\n".join(self.data))
            self.data = []


__all__ = ["EventDecoder"]
