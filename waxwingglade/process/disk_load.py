"""Reading a data folder at the start of a process.

Everything is read before anything is changed, so a folder of a newer format stays as it is.

What a crash may leave and what it may not:

- A log longer than its mark in the index: the end was never acknowledged.  It is read up to the
  last whole frame, and the rest is cut off.
- A log shorter than its mark, or damaged before it: acknowledged records are missing.  The copy is
  set aside and the log is unknown; of the copy only its promise counts.
- An index that lacks marks which a log was written after: no mark can be relied on, so the folder
  cannot say what it ever held.  All of it is set aside, and a new incarnation begins.
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
    """What a folder held when it was opened.

    Parameters
    ----------
    copies : dict of LogId to LogCopy
        Copies that contain every record that was acknowledged.
    unknown : dict of LogId to Epoch
        Logs of which acknowledged records may be missing, with the promise that still binds.
    dropped : dict of LogId to Epoch
        Logs that were dropped, oldest first, with the epoch that dropped them.
    """

    copies: dict[LogId, LogCopy] = {}
    unknown: dict[LogId, Epoch] = {}
    dropped: dict[LogId, Epoch] = {}


def open_files(folder: Path, operations: FileOperations) -> tuple[DiskFiles, int, LoadedLogs]:
    """Bring a folder in order.

    Returns
    -------
    files, starts, loaded : DiskFiles, int, LoadedLogs
        The files, how often the folder was opened, and what it holds.
    """
    found = read_folder(folder)
    if not is_reliable(found):
        return _begin(folder, operations), 1, LoadedLogs()
    assert found.identity is not None
    assert found.index is not None
    identity = Identity(found.identity.incarnation, found.identity.starts + 1)
    # Before anything else, for the generations of files are numbered by starts.
    _write_identity(folder, identity, operations)
    files = DiskFiles(
        folder=folder,
        incarnation=identity.incarnation,
        starts=identity.starts,
        sequence=found.index.sequence,
        marks=dict(found.index.marks),
        operations=operations,
        max_dropped=MAX_DROPPED_LOGS,
    )
    (folder / LOGS_NAME).mkdir(FOLDER_MODE, exist_ok=True)
    _remove_temporary_files(folder, operations)
    loaded = LoadedLogs()
    changes: dict[LogId, LogChange] = {}
    marks = sorted(found.index.marks.values(), key=lambda mark: mark.generation)
    for log in dict.fromkeys([*(mark.log for mark in marks), *found.logs]):
        _load_log(files, log, found, loaded, changes)
    for change in changes.values():
        change.generation = next(files.generations)
    files.commit(changes)
    return files, identity.starts, loaded


def _load_log(
    files: DiskFiles,
    log: LogId,
    found: ParsedFolder,
    loaded: LoadedLogs,
    changes: dict[LogId, LogChange],
) -> None:
    assert found.index is not None
    read = found.logs.get(log)
    mark = found.index.marks.get(log)
    if is_dropped(found, log):
        assert mark is not None
        loaded.dropped[log] = mark.promised
        files.operations.remove(log_path(files.folder, log))
        return
    promised = max(read.copy.promised if read else Epoch(0), mark.promised if mark else Epoch(0))
    if is_complete(read, mark):
        assert read is not None
        read.copy.promised = promised
        loaded.copies[log] = read.copy
        if not ends_at_mark(read, mark):
            _report_cut(log, read)
            changes[log] = change_to_open(log, read.copy)
        return
    loaded.unknown[log] = promised
    placeholder = read is not None and not read.whole
    if placeholder and ends_at_mark(read, mark):
        return
    if not placeholder:
        _set_log_aside(files, log, read, mark)
    changes[log] = change_to_open(log, LogCopy(promised), whole=False)


def change_to_open(log: LogId, copy: LogCopy, whole: bool = True) -> LogChange:
    """Return the change that gives a log a new file with the content of a copy."""
    opened = Opened(
        log=log,
        promised=copy.promised,
        epoch=copy.epoch,
        owner=copy.owner,
        copies=list(copy.copies),
        registered=copy.registered,
        record_count=len(copy.records),
        whole=whole,
    )
    records = Appended(0, list(copy.records), copy.registered)
    return LogChange(opened=opened, frames=[records] if copy.records else [])


def _report_cut(log: LogId, read: ParsedLog) -> None:
    if read.size > read.end:
        logger.warning(
            "log {}: cut {} bytes of a write that did not end before the process did",
            log,
            read.size - read.end,
        )


def _set_log_aside(
    files: DiskFiles, log: LogId, read: ParsedLog | None, mark: LogMark | None
) -> None:
    path = log_path(files.folder, log)
    logger.error(
        "log {}: the copy in {} is damaged and does not count: {} records and {} bytes can be read,"
        " {} bytes were acknowledged",
        log,
        path,
        len(read.copy.records) if read else 0,
        read.end if read else 0,
        mark.length if mark else 0,
    )
    if path.exists():
        files.operations.rename(path, path.with_name(path.name + CORRUPT_SUFFIX))
        # Before another file takes the name: what was set aside must not be lost to a crash.
        files.operations.flush_folder(path.parent)


def _begin(folder: Path, operations: FileOperations) -> DiskFiles:
    """Make a folder that stands for a new incarnation and holds nothing."""
    _set_folder_aside(folder, operations)
    (folder / LOGS_NAME).mkdir(FOLDER_MODE)
    identity = Identity(Incarnation(new_nonce()), 1)
    files = DiskFiles(folder, identity.incarnation, 1, 0, {}, operations, MAX_DROPPED_LOGS)
    files.commit({})
    # Last, so that a folder with an identity has an index.
    _write_identity(folder, identity, operations)
    return files


def _set_folder_aside(folder: Path, operations: FileOperations) -> None:
    # The identity first: without it nothing else counts.
    present = [name for name in (IDENTITY_NAME, INDEX_NAME, LOGS_NAME) if (folder / name).exists()]
    if not present:
        return
    aside = folder / SET_ASIDE_NAME
    # A first start that did not end leaves an index and no log.
    level = "ERROR" if any((folder / LOGS_NAME).glob("*")) else "INFO"
    logger.log(level, "{} cannot vouch for its content, which is now in {}", folder, aside)
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir(FOLDER_MODE)
    for name in present:
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
