"""The files of a data folder, and the group commits that write them.

======================  ========================================================================
``lock``                locked by the process that uses the folder
``identity``            member of the fleet that the folder belongs to
``index``               durable length and promise of each log, and the dropped logs
``logs/*.log``          one copy of a log each
``logs/*.log.corrupt``  a damaged copy, retained for inspection
``set-aside/``          the content of a folder that could not be relied on, retained for inspection
======================  ========================================================================

A group commit first makes the logs durable and then the index.  So the index never refers to bytes
that are not durable, and it covers everything that was acknowledged.
"""

import errno
import itertools
import os
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from urllib.parse import quote, unquote

import msgspec

from waxwingglade.base import Epoch, Incarnation, LogId
from waxwingglade.process.disk_format import (
    HEADER_BYTES,
    Appended,
    FileKind,
    FrameBody,
    IndexOpened,
    LogMark,
    Marked,
    Opened,
    Promised,
    encode_frames,
    encode_header,
)

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
INDEX_NAME = "index"
LOGS_NAME = "logs"
SET_ASIDE_NAME = "set-aside"
LOG_SUFFIX = ".log"
CORRUPT_SUFFIX = ".corrupt"
TEMPORARY_SUFFIX = ".tmp"
INDEX_LIMIT_BYTES = 4 << 20
"""Size from which on the index is rewritten."""

WRITERS = 4
"""Logs of a group that are written concurrently, so that the disk can merge their flushes."""

FLUSH_BYTES = 1 << 20
"""Bytes after which a file is flushed while it is written.

A file system may flush all pending data when one file is flushed, so a large file that is flushed
only at its end would delay all others.
"""

STARTS_SHIFT = 32
FILE_MODE = 0o600
FOLDER_MODE = 0o700


# --- operations ---------------------------------------------------------------------------------


class FileOperations(msgspec.Struct, frozen=True):
    """All operations that change a data folder, as functions that tests can replace.

    Parameters
    ----------
    write : callable
        Writes parts to a file from an offset on, and flushes the file.  The offset must be the end
        of the file; 0 truncates or creates the file.
    rename : callable
        Atomically renames a file or folder, replacing a file of the new name.
    remove : callable
        Removes a file; a missing file is no error.
    flush_folder : callable
        Makes the names in a folder durable.
    """

    write: Callable[[Path, int, Iterable[bytes]], None]
    rename: Callable[[Path, Path], None]
    remove: Callable[[Path], None]
    flush_folder: Callable[[Path], None]


def write_and_flush(path: Path, offset: int, parts: Iterable[bytes]) -> None:
    """Write to the end of a file and return once the data are durable."""
    flags = os.O_WRONLY if offset else os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(path, flags, FILE_MODE)
    try:
        size = os.fstat(descriptor).st_size
        if size != offset:
            raise OSError(errno.EIO, f"size is {size} and should be {offset}", str(path))
        unflushed = 0
        for part in parts:
            _write_all(descriptor, part, offset)
            offset += len(part)
            unflushed += len(part)
            if unflushed >= FLUSH_BYTES:
                os.fdatasync(descriptor)
                unflushed = 0
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(descriptor, remaining, offset)
        remaining = remaining[written:]
        offset += written


def remove_file(path: Path) -> None:
    """Remove a file if it exists."""
    path.unlink(missing_ok=True)


def flush_folder(path: Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


REAL_OPERATIONS = FileOperations(write_and_flush, os.replace, remove_file, flush_folder)


def replace_file(operations: FileOperations, path: Path, parts: Iterable[bytes]) -> None:
    """Write a file under another name and rename it to `path`.

    At every moment `path` has the old content or the new one.  The new content is durable, but the
    rename is durable only after `flush_folder`.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    operations.write(temporary, 0, parts)
    operations.rename(temporary, path)


# --- names --------------------------------------------------------------------------------------


def log_path(folder: Path, log: LogId) -> Path:
    """Return the path of a log's file."""
    return folder / LOGS_NAME / (quote(log, safe="") + LOG_SUFFIX)


def log_of_path(path: Path) -> LogId:
    """Return the log that a file belongs to."""
    return LogId(unquote(path.name.removesuffix(LOG_SUFFIX)))


# --- group commits ------------------------------------------------------------------------------


class PreparedLog(msgspec.Struct, frozen=True):
    """A durable file that replaces a log's file in the next group commit."""

    path: Path
    mark: LogMark


class LogChange(msgspec.Struct):
    """The changes of one log in one group commit.

    Parameters
    ----------
    generation : int
        Generation of the file that begins with `opened`, or of the drop; 0 for other changes.
        Generations increase in the order in which the changes are queued.
    opened : Opened or None
        First frame of a new file; None if the present file is extended or `prepared` replaces it.
    prepared : PreparedLog or None
        The new file, if it was written earlier; `frames` are added to it.
    frames : list
        Frames to add, in order.
    dropped : Epoch or None
        Epoch at which the copy was dropped; None if it is retained.
    """

    generation: int = 0
    opened: Opened | None = None
    prepared: PreparedLog | None = None
    frames: list[Appended | Promised] = []
    dropped: Epoch | None = None


class DiskFiles:
    """Writes group commits, one at a time.  `prepare` may run concurrently.

    Parameters
    ----------
    folder : Path
        The data folder.
    incarnation : Incarnation
        Member of the fleet that the folder belongs to.
    starts : int
        How often the folder was opened, this time included.
    sequence : int
        Number of the last group commit.
    marks : dict of LogId to LogMark
        Content of the index.
    operations : FileOperations
        Functions that change the folder.
    max_dropped : int
        Maximum number of dropped logs in the index.
    """

    def __init__(
        self,
        folder: Path,
        incarnation: Incarnation,
        starts: int,
        sequence: int,
        marks: dict[LogId, LogMark],
        operations: FileOperations,
        max_dropped: int,
    ) -> None:
        self.folder = folder
        self.incarnation = incarnation
        self.sequence = sequence
        self.marks = marks
        self.operations = operations
        self.max_dropped = max_dropped
        self.generations = itertools.count((starts << STARTS_SHIFT) + 1)
        self.index_generation = 0
        self.index_size = 0
        self.index_limit = 0
        self.writers = ThreadPoolExecutor(WRITERS, thread_name_prefix="disk-writer")

    def close(self) -> None:
        """End the threads."""
        self.writers.shutdown()

    def commit(self, changes: dict[LogId, LogChange]) -> None:
        """Make changes durable; those of one log in their order.

        The first commit rewrites the index, which also removes an incomplete frame at its end.

        Raises
        ------
        OSError
            Any part of the changes may be durable.  No further commit may follow: after a failed
            flush the system can report success for data that it has discarded.
        """
        sequence = self.sequence + 1
        marks = self._write_logs(changes, sequence)
        if any(change.opened or change.prepared for change in changes.values()):
            self.operations.flush_folder(self.folder / LOGS_NAME)
        self.sequence = sequence
        self.marks.update((mark.log, mark) for mark in marks)
        if self.index_size >= self.index_limit:
            self._rewrite_index()
        else:
            self._write_index([Marked(marks)])
        # Files are removed only now: after a crash before this point, the mark shows that the file
        # is obsolete.
        for mark in marks:
            if mark.dropped:
                self.operations.remove(log_path(self.folder, mark.log))

    def _rewrite_index(self) -> None:
        """Rewrite the index with the current marks only."""
        # The mark of a dropped log may be removed only when its file cannot reappear after a crash.
        self.operations.flush_folder(self.folder / LOGS_NAME)
        self._forget_oldest_dropped()
        self.index_generation = next(self.generations)
        header = encode_header(FileKind.INDEX, self.index_generation)
        opened = IndexOpened(self.incarnation, list(self.marks.values()))
        frames = encode_frames([opened], self.index_generation, self.sequence, HEADER_BYTES)
        data = header + b"".join(frames)
        replace_file(self.operations, self.folder / INDEX_NAME, [data])
        self.operations.flush_folder(self.folder)
        self.index_size = len(data)
        self.index_limit = max(INDEX_LIMIT_BYTES, 2 * len(data))

    def _forget_oldest_dropped(self) -> None:
        dropped = sorted(mark.generation for mark in self.marks.values() if mark.dropped)
        if len(dropped) <= self.max_dropped:
            return
        oldest_retained = dropped[-self.max_dropped]
        for mark in list(self.marks.values()):
            if mark.dropped and mark.generation < oldest_retained:
                del self.marks[mark.log]

    def _write_index(self, bodies: list[FrameBody]) -> None:
        frames = encode_frames(bodies, self.index_generation, self.sequence, self.index_size)
        data = b"".join(frames)
        self.operations.write(self.folder / INDEX_NAME, self.index_size, [data])
        self.index_size += len(data)

    def _write_logs(self, changes: dict[LogId, LogChange], sequence: int) -> list[LogMark]:
        def write(item: tuple[LogId, LogChange]) -> LogMark:
            return self._write_log(*item, sequence)

        if len(changes) == 1:
            return [write(item) for item in changes.items()]
        return list(self.writers.map(write, changes.items()))

    def _write_log(self, log: LogId, change: LogChange, sequence: int) -> LogMark:
        if change.dropped is not None:
            return LogMark(log, change.generation, 0, change.dropped, dropped=True)
        path = log_path(self.folder, log)
        if change.opened is not None:
            prepared = self.prepare(log, change, sequence)
            self.operations.rename(prepared.path, path)
            return prepared.mark
        if change.prepared is None:
            return self._append_frames(path, self.marks[log], change.frames, sequence)
        # Complete before the rename, so that the name never refers to an incomplete file.
        mark = self._append_frames(
            change.prepared.path, change.prepared.mark, change.frames, sequence
        )
        self.operations.rename(change.prepared.path, path)
        return mark

    def prepare(self, log: LogId, change: LogChange, sequence: int | None = None) -> PreparedLog:
        """Write a new file for a log under a temporary name.

        Parameters
        ----------
        log : LogId
            The log.
        change : LogChange
            First frame of the file, and the frames that follow.
        sequence : int or None
            Number of the group commit that the file is part of; None if it will be part of a later
            commit, in which case the file gets the number of the last one.
        """
        generation = change.generation
        bodies = [change.opened, *change.frames]
        sequence = self.sequence if sequence is None else sequence
        encoded = encode_frames(bodies, generation, sequence, HEADER_BYTES)
        parts = _CountedParts(itertools.chain([encode_header(FileKind.LOG, generation)], encoded))
        path = log_path(self.folder, log)
        temporary = path.with_name(f"{path.name}.{generation}{TEMPORARY_SUFFIX}")
        self.operations.write(temporary, 0, parts)
        mark = LogMark(log, generation, parts.size, _highest_promise(bodies))
        return PreparedLog(temporary, mark)

    def _append_frames(
        self, path: Path, mark: LogMark, frames: list[Appended | Promised], sequence: int
    ) -> LogMark:
        if not frames:
            return mark
        parts = _CountedParts(encode_frames(frames, mark.generation, sequence, mark.length))
        self.operations.write(path, mark.length, parts)
        return msgspec.structs.replace(
            mark,
            length=mark.length + parts.size,
            promised=max(mark.promised, _highest_promise(frames)),
        )


class _CountedParts:
    """Counts bytes of parts during iteration, so that a large log is not held in memory twice."""

    def __init__(self, parts: Iterable[bytes]) -> None:
        self.parts = parts
        self.size = 0

    def __iter__(self):
        for part in self.parts:
            self.size += len(part)
            yield part


def _highest_promise(bodies: Iterable[FrameBody]) -> Epoch:
    promises = [body.promised for body in bodies if isinstance(body, Opened)]
    promises += [body.epoch for body in bodies if isinstance(body, Promised)]
    return max(promises, default=Epoch(0))
