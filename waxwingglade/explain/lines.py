"""Read the lines that daemons log."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from waxwingglade.base import FormatError

FIXED = ("time", "level", "process", "event")
"""Fields that every line has."""

_decode = msgspec.json.Decoder(dict[str, Any]).decode


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Parameters
    ----------
    time : float
        When it was written, in seconds since 1970.
    source : str
        File that it stands in, with its folder, which tells apart processes of one kind.
    process : str
        Kind of process.
    event : str
        What it says.
    fields : dict
        What it says it of.
    """

    time: float
    source: str
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def seconds(self) -> float:
        """For how long what it says had lasted; zero where it does not say."""
        seconds = self.fields.get("seconds")
        return float(seconds) if isinstance(seconds, int | float) else 0.0

    @property
    def began_at(self) -> float:
        """When what it says began."""
        return self.time - self.seconds

    def names(self, field: str, value: str) -> bool:
        """Return whether a field has a value."""
        return self.fields.get(field) == value


def read_files(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of log files; what is no line of a daemon is passed over.

    Raises
    ------
    FormatError
        If a file cannot be read.
    """
    for path in paths:
        try:
            with path.open("rb") as file:
                yield from _read_lines(file, str(Path(*path.parts[-2:])))
        except OSError as error:
            raise FormatError(f"{path}: {error.strerror}") from error


def _read_lines(file: Iterable[bytes], source: str) -> Iterator[LogLine]:
    for text in file:
        line = _read_line(text, source)
        if line is not None:
            yield line


def _read_line(text: bytes, source: str) -> LogLine | None:
    """Return a line, or None if it is none of a daemon's, such as a traceback's."""
    try:
        fields = _decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    time, event = fields.get("time"), fields.get("event")
    if not isinstance(time, int | float) or not isinstance(event, str):
        return None
    rest = {name: value for name, value in fields.items() if name not in FIXED}
    return LogLine(float(time), source, str(fields.get("process", "")), event, rest)


__all__ = ["LogLine", "read_files"]
