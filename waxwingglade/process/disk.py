"""Copies of logs on the disk of an entry that has a data folder.

Changes are queued by plain calls on the event loop and made durable by `Disk.sync`, which writes
whatever was queued meanwhile as one group in a worker thread.

Notes
-----
What a caller can rely on:

- When `sync` has returned, every change queued before it was called is durable.  Only then may a
  peer be told of it.
- Changes of one log become durable in the order in which they were queued.  After a crash a log
  is as it was after one of them, at least the last that `sync` has covered.
- Changes of different logs are in no order to each other before `sync` has returned.
- `open_epoch` replaces a copy in one step: there is the old content or the new one.  A large copy
  is written beside the groups, so that other logs need not wait for it if they are synced by name.
- After a `DiskError` nothing more is written, and nothing may be acknowledged: a flush that failed
  cannot be repeated, as the system may already have thrown the data away.
"""

import fcntl
import os
from pathlib import Path

import msgspec

from waxwingglade.base import EntryRef, Epoch, Incarnation, LogId, SettingsError
from waxwingglade.process.disk_commit import DiskError, GroupCommits
from waxwingglade.process.disk_files import (
    FILE_MODE,
    FOLDER_MODE,
    LOCK_NAME,
    REAL_OPERATIONS,
    DiskFiles,
    FileOperations,
    LogChange,
    log_path,
)
from waxwingglade.process.disk_format import Appended, Promised
from waxwingglade.process.disk_load import LoadedLogs, change_to_open, open_files
from waxwingglade.process.log_copy import LogCopy

LONGEST_NAME = 200
"""Bytes that the name of a log's file may have; file systems allow 255, suffixes included."""


class QueuedLogState(msgspec.Struct):
    """What the file of a log will say once all queued changes are durable."""

    length: int
    copies: list[EntryRef]
    registered: bool
    promised: Epoch
    whole: bool = True


def open_disk(folder: Path, operations: FileOperations = REAL_OPERATIONS) -> "Disk":
    """Open a data folder, and make it if it is not there.

    Parameters
    ----------
    folder : Path
        The data folder.
    operations : FileOperations
        Functions that change the folder.

    Returns
    -------
    Disk
        The folder, locked for this process until `Disk.close`.

    Raises
    ------
    SettingsError
        The folder cannot be used, or another process uses it.
    FormatError
        The folder is of a newer format version; it was left as it is.
    DiskError
        Reading it or bringing it in order failed.
    """
    lock = _lock(folder)
    try:
        return Disk(*open_files(folder, operations), lock)
    except OSError as error:
        os.close(lock)
        raise DiskError(f"{folder}: {error}") from error
    except BaseException:
        os.close(lock)
        raise


def _lock(folder: Path) -> int:
    """Return the descriptor that holds the lock; the system gives it back if the process dies."""
    try:
        folder.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
        descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
    except OSError as error:
        raise SettingsError(f"data folder {folder} cannot be used: {error.strerror}") from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise SettingsError(f"data folder {folder} is in use by another process") from error
    return descriptor


class Disk:
    """An open data folder; see the module for what a caller can rely on.

    Attributes
    ----------
    incarnation : Incarnation
        Member of the fleet that the folder stands for, the same at every start.  It is a new one
        after the folder could not vouch for its content.
    starts : int
        How often this incarnation was started.  Two processes that name the same number, or one
        that names a lower number than was seen before, show a folder that was copied or restored.
    """

    def __init__(self, files: DiskFiles, starts: int, loaded: LoadedLogs, lock: int) -> None:
        self.incarnation: Incarnation = files.incarnation
        self.starts = starts
        self.folder = files.folder
        self.commits = GroupCommits(files)
        self.lock = lock
        self.loaded = loaded
        self.queued_states = {log: _held(copy) for log, copy in loaded.copies.items()}
        for log, promised in loaded.unknown.items():
            self.queued_states[log] = QueuedLogState(0, [], False, promised, whole=False)

    @property
    def failure(self) -> DiskError | None:
        """Why nothing more is written."""
        return self.commits.failure

    def load(self) -> LoadedLogs:
        """Hand over what the folder held when it was opened; a second call finds nothing."""
        loaded, self.loaded = self.loaded, LoadedLogs()
        return loaded

    # --- changes ------------------------------------------------------------------------------

    def open_epoch(self, log: LogId, copy: LogCopy) -> None:
        """Replace a log's copy as a whole, or begin one.

        The content is taken as it is now; later changes of `copy` have no effect.  A promise made
        before stays in force.  An unknown log is known from then on.
        """
        self._check(log)
        before = self.queued_states.get(log)
        promised = max(copy.promised, before.promised) if before else copy.promised
        self.queued_states[log] = _held(copy)
        self.queued_states[log].promised = promised
        promising = msgspec.structs.replace(copy, promised=promised)
        self.commits.replace(log, change_to_open(log, promising))

    def append(
        self,
        log: LogId,
        first: int,
        records: list[bytes],
        copies: list[EntryRef],
        registered: bool,
    ) -> None:
        """Add records to a log, from position `first` on, and note what else its owner said.

        Raises
        ------
        ValueError
            The log was not opened, is unknown, or `first` is not its length.
        """
        self._check(log)
        held = self.queued_states.get(log)
        if held is None or not held.whole:
            raise ValueError(f"log {log} has to be opened before records are added")
        if first != held.length:
            raise ValueError(f"log {log} has {held.length} records, not {first}")
        moved = copies != held.copies
        if not records and not moved and registered == held.registered:
            return
        held.length += len(records)
        held.copies = list(copies)
        held.registered = registered
        appended = Appended(first, list(records), registered, held.copies if moved else None)
        self.commits.add(log, appended)

    def promise(self, log: LogId, epoch: Epoch) -> None:
        """Accept no epoch of a log below `epoch` from now on.

        Also where there is no copy, which makes an empty one, and where the log is unknown, which
        it stays.
        """
        self._check(log)
        held = self.queued_states.get(log)
        if held is None:
            self.open_epoch(log, LogCopy(epoch))
            return
        if epoch <= held.promised:
            return
        held.promised = epoch
        self.commits.add(log, Promised(epoch))

    def drop(self, log: LogId, epoch: Epoch) -> None:
        """Remove a log's copy, and remember the epoch that dropped it."""
        self._check(log)
        self.queued_states.pop(log, None)
        self.commits.replace(log, LogChange(dropped=epoch))

    def _check(self, log: LogId) -> None:
        self.commits.raise_failure()
        if len(log_path(self.folder, log).name) > LONGEST_NAME:
            raise ValueError(f"log name {log[:LONGEST_NAME]} is too long for a file")

    # --- durability ---------------------------------------------------------------------------

    async def sync(self, log: LogId | None = None) -> None:
        """Return once every change queued so far is durable.

        Calls of one turn of the event loop share a group commit, as do all that are made while
        another group is written.  A caller that is cancelled does not stop the commit.

        Parameters
        ----------
        log : LogId or None
            The log that matters to the caller, who then does not wait for large copies of others.

        Raises
        ------
        DiskError
            The changes may be durable or not; nothing may be acknowledged any more.
        """
        await self.commits.sync(log)

    async def close(self) -> None:
        """Make what is queued durable, if the disk has not failed, and unlock the folder."""
        await self.commits.close()
        os.close(self.lock)


def _held(copy: LogCopy) -> QueuedLogState:
    return QueuedLogState(len(copy.records), list(copy.copies), copy.registered, copy.promised)
