"""Opening of a data folder at the start of a process.

Everything is read before anything is changed, so a folder of a newer format is not changed.

A crash can cause the first of these states, but not the other two:

- A log is longer than its mark in the index.  The end was never acknowledged: the log is read up to
  the last complete frame, and the rest is truncated.
- A log is shorter than its mark, or damaged before it.  Acknowledged records are missing: the copy
  is set aside and counts as damaged; only its promise remains valid.
- The index lacks marks although a log was written after them.  No mark can be relied on, so it is
  not known what the folder contained.  All of it is set aside, and a new incarnation begins.
"""

import shutil
from pathlib import Path

import msgspec
from loguru import logger

from waxwingglade.base import Epoch, Incarnation, LogId, new_nonce
from waxwingglade.process.disk_files import (
    CORRUPT_SUFFIX,
    FOLDER_MODE,
    IDENTITY_NAME,
    INDEX_NAME,
    LOGS_NAME,
    SET_ASIDE_NAME,
    TEMPORARY_SUFFIX,
    DiskFiles,
    FileOperations,
    LogChange,
    log_path,
    replace_file,
)
from waxwingglade.process.disk_format import (
    HEADER_BYTES,
    Appended,
    FileKind,
    Identity,
    LogMark,
    Opened,
    encode_frames,
    encode_header,
)
from waxwingglade.process.disk_read import (
    ParsedFolder,
    ParsedLog,
    ends_at_mark,
    is_complete,
    is_dropped,
    is_reliable,
    read_folder,
)
from waxwingglade.process.log_copy import MAX_DROPPED_LOGS, LogCopy


class LoadedLogs(msgspec.Struct):
    """Content of a folder when it was opened.

    Parameters
    ----------
    copies : dict of LogId to LogCopy
        Copies that contain every acknowledged record.
    damaged : dict of LogId to Epoch
        Logs whose copies may lack acknowledged records, with the promise that remains in force.
    dropped : dict of LogId to Epoch
        Logs that were dropped, oldest first, with the epoch that dropped them.
    """

    copies: dict[LogId, LogCopy] = {}
    damaged: dict[LogId, Epoch] = {}
    dropped: dict[LogId, Epoch] = {}


def open_files(folder: Path, operations: FileOperations) -> tuple[DiskFiles, int, LoadedLogs]:
    """Open a folder, and repair it if necessary.

    Returns
    -------
    files, starts, loaded : DiskFiles, int, LoadedLogs
        The files, how often the folder was opened, and its content.
    """
    content = read_folder(folder)
    if not is_reliable(content):
        return _create(folder, operations), 1, LoadedLogs()
    assert content.identity is not None
    assert content.index is not None
    identity = Identity(content.identity.incarnation, content.identity.starts + 1)
    # Before any other change, because generations of files are derived from the number of starts.
    _write_identity(folder, identity, operations)
    files = DiskFiles(
        folder=folder,
        incarnation=identity.incarnation,
        starts=identity.starts,
        sequence=content.index.sequence,
        marks=dict(content.index.marks),
        operations=operations,
        max_dropped=MAX_DROPPED_LOGS,
    )
    (folder / LOGS_NAME).mkdir(FOLDER_MODE, exist_ok=True)
    _remove_temporary_files(folder, operations)
    loaded = LoadedLogs()
    changes: dict[LogId, LogChange] = {}
    marks = sorted(content.index.marks.values(), key=lambda mark: mark.generation)
    for log in dict.fromkeys([*(mark.log for mark in marks), *content.logs]):
        _load_log(files, log, content, loaded, changes)
    for change in changes.values():
        change.generation = next(files.generations)
    files.commit(changes)
    return files, identity.starts, loaded


def _load_log(
    files: DiskFiles,
    log: LogId,
    content: ParsedFolder,
    loaded: LoadedLogs,
    changes: dict[LogId, LogChange],
) -> None:
    assert content.index is not None
    parsed = content.logs.get(log)
    mark = content.index.marks.get(log)
    if is_dropped(content, log):
        assert mark is not None
        loaded.dropped[log] = mark.promised
        files.operations.remove(log_path(files.folder, log))
        return
    promised = max(
        parsed.copy.promised if parsed else Epoch(0), mark.promised if mark else Epoch(0)
    )
    if is_complete(parsed, mark):
        assert parsed is not None
        parsed.copy.promised = promised
        loaded.copies[log] = parsed.copy
        if not ends_at_mark(parsed, mark):
            _report_truncation(log, parsed)
            changes[log] = change_to_open(log, parsed.copy)
        return
    loaded.damaged[log] = promised
    placeholder = parsed is not None and not parsed.complete
    if placeholder and ends_at_mark(parsed, mark):
        return
    if not placeholder:
        _set_log_aside(files, log, parsed, mark)
    changes[log] = change_to_open(log, LogCopy(promised), complete=False)


def change_to_open(log: LogId, copy: LogCopy, complete: bool = True) -> LogChange:
    """Return the change that writes a new file with the content of a copy."""
    opened = Opened(
        log=log,
        promised=copy.promised,
        epoch=copy.epoch,
        owner=copy.owner,
        copies=list(copy.copies),
        registered=copy.registered,
        record_count=len(copy.records),
        whole=complete,
    )
    records = Appended(0, list(copy.records), copy.registered)
    return LogChange(opened=opened, frames=[records] if copy.records else [])


def _report_truncation(log: LogId, parsed: ParsedLog) -> None:
    if parsed.size > parsed.end:
        logger.warning(
            "log {}: truncated {} bytes of a write that was interrupted by the end of the process",
            log,
            parsed.size - parsed.end,
        )


def _set_log_aside(
    files: DiskFiles, log: LogId, parsed: ParsedLog | None, mark: LogMark | None
) -> None:
    path = log_path(files.folder, log)
    logger.error(
        "log {}: the copy in {} is damaged and not used: {} records and {} bytes can be read,"
        " {} bytes were acknowledged",
        log,
        path,
        len(parsed.copy.records) if parsed else 0,
        parsed.end if parsed else 0,
        mark.length if mark else 0,
    )
    if path.exists():
        files.operations.rename(path, path.with_name(path.name + CORRUPT_SUFFIX))
        # Flushed before another file takes the name, so that a crash does not lose the file that
        # was set aside.
        files.operations.flush_folder(path.parent)


def _create(folder: Path, operations: FileOperations) -> DiskFiles:
    """Create an empty folder for a new incarnation."""
    _set_folder_aside(folder, operations)
    (folder / LOGS_NAME).mkdir(FOLDER_MODE)
    identity = Identity(Incarnation(new_nonce()), 1)
    files = DiskFiles(folder, identity.incarnation, 1, 0, {}, operations, MAX_DROPPED_LOGS)
    files.commit({})
    # Written last, so that a folder with an identity has an index.
    _write_identity(folder, identity, operations)
    return files


def _set_folder_aside(folder: Path, operations: FileOperations) -> None:
    # The identity is moved first: without it the rest of the folder is ignored.
    existing = [name for name in (IDENTITY_NAME, INDEX_NAME, LOGS_NAME) if (folder / name).exists()]
    if not existing:
        return
    aside = folder / SET_ASIDE_NAME
    # An interrupted first start leaves an index and no log, which is no error.
    level = "ERROR" if any((folder / LOGS_NAME).glob("*")) else "INFO"
    logger.log(level, "the content of {} cannot be relied on and is now in {}", folder, aside)
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir(FOLDER_MODE)
    for name in existing:
        operations.rename(folder / name, aside / name)
        operations.flush_folder(folder)


def _write_identity(folder: Path, identity: Identity, operations: FileOperations) -> None:
    frames = encode_frames([identity], identity.starts, 0, HEADER_BYTES)
    parts = [encode_header(FileKind.IDENTITY, identity.starts), *frames]
    replace_file(operations, folder / IDENTITY_NAME, parts)
    operations.flush_folder(folder)


def _remove_temporary_files(folder: Path, operations: FileOperations) -> None:
    for path in (folder / LOGS_NAME).glob(f"*{TEMPORARY_SUFFIX}"):
        operations.remove(path)
