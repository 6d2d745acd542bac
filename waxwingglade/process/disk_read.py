"""Reading a data folder, and judging what in it can be relied on.

Nothing is changed here, so a folder of a newer format stays as it is.
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
    """A log's file as it was read; `copy` contains its records up to byte `end`."""

    generation: int
    copy: LogCopy
    record_count: int
    whole: bool
    end: int
    size: int
    sequence: int


class ParsedIndex(msgspec.Struct):
    """The index as it was read, up to the last whole frame."""

    incarnation: Incarnation
    sequence: int
    marks: dict[LogId, LogMark]


class ParsedFolder(msgspec.Struct):
    """A folder as it was read; None stands for what is missing or damaged."""

    identity: Identity | None
    index: ParsedIndex | None
    logs: dict[LogId, ParsedLog | None]


# --- reading ------------------------------------------------------------------------------------


def read_folder(folder: Path) -> ParsedFolder:
    """Read all files and change none.

    Raises
    ------
    FormatError
        One of them is of a newer format version.
    """
    identity = _read_content(folder / IDENTITY_NAME, FileKind.IDENTITY)
    index = _read_content(folder / INDEX_NAME, FileKind.INDEX)
    paths = sorted((folder / LOGS_NAME).glob(f"*{LOG_SUFFIX}"))
    logs = {log_of_path(path): _read_log(path) for path in paths}
    return ParsedFolder(_as_identity(identity), _as_index(index), logs)


def _read_content(path: Path, kind: FileKind) -> FileContent | None:
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


def _as_identity(content: FileContent | None) -> Identity | None:
    if content is None or not content.frames:
        return None
    body = content.frames[0].body
    return body if isinstance(body, Identity) else None


def _as_index(content: FileContent | None) -> ParsedIndex | None:
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


def _read_log(path: Path) -> ParsedLog | None:
    content = _read_content(path, FileKind.LOG)
    if content is None or not content.frames:
        return None
    first, *others = content.frames
    opened = first.body
    if not isinstance(opened, Opened) or opened.log != log_of_path(path):
        return None
    copy = LogCopy(
        opened.promised, opened.epoch, opened.owner, opened.copies, [], opened.registered
    )
    read = ParsedLog(
        generation=content.generation,
        copy=copy,
        record_count=opened.record_count,
        whole=opened.whole,
        end=first.end,
        size=content.size,
        sequence=first.sequence,
    )
    for frame in others:
        if not _apply(copy, frame.body):
            break
        read.end = frame.end
        read.sequence = frame.sequence
    return read


def _apply(copy: LogCopy, body: FrameBody) -> bool:
    """Add a frame to a copy; return whether it fits what comes before."""
    if isinstance(body, Promised):
        copy.promised = max(copy.promised, body.epoch)
        return True
    if not isinstance(body, Appended) or body.first != len(copy.records):
        return False
    copy.records.extend(body.records)
    copy.registered = body.registered
    copy.copies = copy.copies if body.copies is None else body.copies
    return True


# --- judging ------------------------------------------------------------------------------------


def is_reliable(found: ParsedFolder) -> bool:
    """Return whether the index can vouch for what the folder held."""
    if found.identity is None or found.index is None:
        return False
    if found.identity.incarnation != found.index.incarnation:
        return False
    # Logs are written one group ahead of the index and never further.
    newest = max((read.sequence for read in found.logs.values() if read is not None), default=0)
    return newest <= found.index.sequence + 1


def is_dropped(found: ParsedFolder, log: LogId) -> bool:
    """Return whether a log was dropped, and no file of it is there that may be newer."""
    assert found.index is not None
    mark = found.index.marks.get(log)
    if mark is None or not mark.dropped:
        return False
    if log not in found.logs:
        return True
    read = found.logs[log]
    return read is not None and read.generation < mark.generation


def is_complete(read: ParsedLog | None, mark: LogMark | None) -> bool:
    """Return whether a log's file contains every record that was acknowledged."""
    if read is None or not read.whole or len(read.copy.records) < read.record_count:
        return False
    if mark is None or read.generation > mark.generation:
        # A new file was flushed before it took its name, and then nothing of it was acknowledged.
        return True
    return read.generation == mark.generation and read.end >= mark.length


def ends_at_mark(read: ParsedLog | None, mark: LogMark | None) -> bool:
    """Return whether a file ends just where the index says, so that it can be written on."""
    if read is None or mark is None or read.generation != mark.generation:
        return False
    return read.end == read.size == mark.length
