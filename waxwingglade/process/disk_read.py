"""Reading of a data folder, and checks of which parts of it can be relied on.

Nothing is changed here, so a folder of a newer format is not modified.
"""

import errno
from pathlib import Path

import msgspec
from loguru import logger

from waxwingglade.base import Incarnation, LogId
from waxwingglade.process.disk_files import (
    IDENTITY_NAME,
    INDEX_NAME,
    LOG_SUFFIX,
    LOGS_NAME,
    log_of_path,
)
from waxwingglade.process.disk_format import (
    Appended,
    FileContent,
    FileKind,
    FrameBody,
    Identity,
    IndexOpened,
    LogMark,
    Marked,
    Opened,
    Promised,
    read_file,
)
from waxwingglade.process.log_copy import LogCopy


class ParsedLog(msgspec.Struct):
    """A parsed log file; `copy` contains its records up to byte `end`."""

    generation: int
    copy: LogCopy
    record_count: int
    complete: bool
    end: int
    size: int
    sequence: int


class ParsedIndex(msgspec.Struct):
    """The parsed index, up to the last complete frame."""

    incarnation: Incarnation
    sequence: int
    marks: dict[LogId, LogMark]


class ParsedFolder(msgspec.Struct):
    """A parsed folder; files that are missing or damaged are None."""

    identity: Identity | None
    index: ParsedIndex | None
    logs: dict[LogId, ParsedLog | None]


# --- reading ------------------------------------------------------------------------------------


def read_folder(folder: Path) -> ParsedFolder:
    """Read all files without changing them.

    Raises
    ------
    FormatError
        A file has a newer format version.
    """
    identity = _read_file_content(folder / IDENTITY_NAME, FileKind.IDENTITY)
    index = _read_file_content(folder / INDEX_NAME, FileKind.INDEX)
    paths = sorted((folder / LOGS_NAME).glob(f"*{LOG_SUFFIX}"))
    logs = {log_of_path(path): _parse_log(path) for path in paths}
    return ParsedFolder(_parse_identity(identity), _parse_index(index), logs)


def _read_file_content(path: Path, kind: FileKind) -> FileContent | None:
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        if error.errno != errno.EIO:
            raise
        logger.error("{} cannot be read: {}", path, error)
        return None
    return read_file(data, kind, path)


def _parse_identity(content: FileContent | None) -> Identity | None:
    if content is None or not content.frames:
        return None
    body = content.frames[0].body
    return body if isinstance(body, Identity) else None


def _parse_index(content: FileContent | None) -> ParsedIndex | None:
    if content is None or not content.frames:
        return None
    first, *others = content.frames
    if not isinstance(first.body, IndexOpened):
        return None
    marks = {mark.log: mark for mark in first.body.marks}
    index = ParsedIndex(first.body.incarnation, first.sequence, marks)
    for frame in others:
        if not isinstance(frame.body, Marked):
            return None
        index.sequence = frame.sequence
        index.marks.update((mark.log, mark) for mark in frame.body.marks)
    return index


def _parse_log(path: Path) -> ParsedLog | None:
    content = _read_file_content(path, FileKind.LOG)
    if content is None or not content.frames:
        return None
    first, *others = content.frames
    opened = first.body
    if not isinstance(opened, Opened) or opened.log != log_of_path(path):
        return None
    copy = LogCopy(
        opened.promised, opened.epoch, opened.owner, opened.copies, [], opened.registered
    )
    parsed = ParsedLog(
        generation=content.generation,
        copy=copy,
        record_count=opened.record_count,
        complete=opened.whole,
        end=first.end,
        size=content.size,
        sequence=first.sequence,
    )
    for frame in others:
        if not _apply_frame(copy, frame.body):
            break
        parsed.end = frame.end
        parsed.sequence = frame.sequence
    return parsed


def _apply_frame(copy: LogCopy, body: FrameBody) -> bool:
    """Add a frame to a copy; return whether it continues the frames before it."""
    if isinstance(body, Promised):
        copy.promised = max(copy.promised, body.epoch)
        return True
    if not isinstance(body, Appended) or body.first != len(copy.records):
        return False
    copy.records.extend(body.records)
    copy.registered = body.registered
    copy.copies = copy.copies if body.copies is None else body.copies
    return True


# --- checks -------------------------------------------------------------------------------------


def is_reliable(content: ParsedFolder) -> bool:
    """Return whether the index covers everything that the folder contained."""
    if content.identity is None or content.index is None:
        return False
    if content.identity.incarnation != content.index.incarnation:
        return False
    # Logs are written at most one group ahead of the index.
    newest = max(
        (parsed.sequence for parsed in content.logs.values() if parsed is not None), default=0
    )
    return newest <= content.index.sequence + 1


def is_dropped(content: ParsedFolder, log: LogId) -> bool:
    """Return whether a log was dropped, and has no file that may be newer."""
    assert content.index is not None
    mark = content.index.marks.get(log)
    if mark is None or not mark.dropped:
        return False
    if log not in content.logs:
        return True
    parsed = content.logs[log]
    return parsed is not None and parsed.generation < mark.generation


def is_complete(parsed: ParsedLog | None, mark: LogMark | None) -> bool:
    """Return whether a log's file contains every acknowledged record."""
    if parsed is None or not parsed.complete or len(parsed.copy.records) < parsed.record_count:
        return False
    if mark is None or parsed.generation > mark.generation:
        # The file was flushed before it was renamed, and nothing added to it was acknowledged yet.
        return True
    return parsed.generation == mark.generation and parsed.end >= mark.length


def ends_at_mark(parsed: ParsedLog | None, mark: LogMark | None) -> bool:
    """Return whether a file ends exactly at its mark in the index, so that it can be extended."""
    if parsed is None or mark is None or parsed.generation != mark.generation:
        return False
    return parsed.end == parsed.size == mark.length
