"""Read the log files of daemons."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from waxwingglade.base import FormatError

COMMON_FIELDS = ("time", "level", "process", "event")
"""Fields that every line has."""

_decode = msgspec.json.Decoder(dict[str, Any]).decode


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Parameters
    ----------
    time : float
        When it was written, in seconds since 1970.
    source : str
        Log file with its parent folder, which distinguishes processes of the same kind.
    process : str
        Kind of process.
    event : str
        Name of the logged event.
    fields : dict
        All other fields of the line.
    """

    time: float
    source: str
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def seconds(self) -> float:
        """Duration of the event in seconds; zero if the line has none."""
        seconds = self.fields.get("seconds")
        return float(seconds) if isinstance(seconds, int | float) else 0.0

    @property
    def began_at(self) -> float:
        """Time at which the event began, in seconds since 1970."""
        return self.time - self.seconds

    def has_value(self, field: str, value: str) -> bool:
        """Return whether a field has the given value."""
        return self.fields.get(field) == value


def read_files(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of log files; anything that is not a daemon's log line is skipped.

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
    """Return a log line, or None for other text, such as a line of a traceback."""
    try:
        fields = _decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    time, event = fields.get("time"), fields.get("event")
    if not isinstance(time, int | float) or not isinstance(event, str):
        return None
    rest = {name: value for name, value in fields.items() if name not in COMMON_FIELDS}
    return LogLine(float(time), source, str(fields.get("process", "")), event, rest)


__all__ = ["LogLine", "read_files"]
