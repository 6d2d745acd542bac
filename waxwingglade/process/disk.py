"""Copies of logs on the disk of an entry that has a data folder.

Synchronous calls on the event loop queue changes.  `Disk.sync` makes them durable: a worker thread
writes all changes that are queued by then as one group.

Notes
-----
Guarantees to callers:

- When `sync` has returned, every change queued before the call is durable.  Only then may it be
  acknowledged to a peer.
- Changes of one log become durable in the order in which they were queued.  After a crash, a log
  is in the state after the last change that a returned `sync` covers, or after a later change.
- Before `sync` has returned, changes of different logs may become durable in any order.
- `open_epoch` replaces a copy atomically: a crash leaves the old content or the new one.  A large
  copy is written concurrently with the groups, so other logs do not wait for it if they are synced
  by name.
- After a `DiskError` nothing more is written, and nothing may be acknowledged: a failed flush
  cannot be repeated, as the system may already have discarded the data.
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

MAX_NAME_BYTES = 200
"""Maximum length of the name of a log file in bytes; file systems allow 255 with suffixes."""


class QueuedLogState(msgspec.Struct):
    """State of a log's file once all queued changes are durable.

    `whole` is False if the copy is damaged and may lack acknowledged records.
    """

    length: int
    copies: list[EntryRef]
    registered: bool
    promised: Epoch
    whole: bool = True


def open_disk(folder: Path, operations: FileOperations = REAL_OPERATIONS) -> "Disk":
    """Open a data folder, and create it if it does not exist.

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
        The folder has a newer format version; it was not changed.
    DiskError
        Reading or repairing the folder failed.
    """
    lock = _lock_folder(folder)
    try:
        return Disk(*open_files(folder, operations), lock)
    except OSError as error:
        os.close(lock)
        raise DiskError(f"{folder}: {error}") from error
    except BaseException:
        os.close(lock)
        raise


def _lock_folder(folder: Path) -> int:
    """Return the descriptor that holds the lock; the system releases it if the process dies."""
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
    """An open data folder; the documentation of the module lists its guarantees.

    Attributes
    ----------
    incarnation : Incarnation
        Member of the fleet that the folder belongs to, the same at every start.  It is a new one if
        the content of the folder could not be relied on.
    starts : int
        How often this incarnation was started.  If two processes report the same number, or one
        reports a lower number than an earlier one, the folder was copied or restored.
    """

    def __init__(self, files: DiskFiles, starts: int, loaded: LoadedLogs, lock: int) -> None:
        self.incarnation: Incarnation = files.incarnation
        self.starts = starts
        self.folder = files.folder
        self.commits = GroupCommits(files)
        self.lock = lock
        self.loaded = loaded
        self.queued_states = {log: _queued_state(copy) for log, copy in loaded.copies.items()}
        for log, promised in loaded.damaged.items():
            self.queued_states[log] = QueuedLogState(0, [], False, promised, whole=False)

    @property
    def failure(self) -> DiskError | None:
        """Reason why nothing more is written, if the disk failed or was closed."""
        return self.commits.failure

    def load(self) -> LoadedLogs:
        """Return what the folder contained when it was opened; a second call returns nothing."""
        loaded, self.loaded = self.loaded, LoadedLogs()
        return loaded

    # --- changes ------------------------------------------------------------------------------

    def open_epoch(self, log: LogId, copy: LogCopy) -> None:
        """Replace a log's whole copy, or create one.

        The present content of `copy` is stored; later changes of it have no effect.  An earlier,
        higher promise remains in force.  A damaged copy is replaced by a complete one.
        """
        self._check_usable(log)
        previous = self.queued_states.get(log)
        promised = max(copy.promised, previous.promised) if previous else copy.promised
        self.queued_states[log] = _queued_state(copy)
        self.queued_states[log].promised = promised
        stored = msgspec.structs.replace(copy, promised=promised)
        self.commits.replace(log, change_to_open(log, stored))

    def append(
        self,
        log: LogId,
        first: int,
        records: list[bytes],
        copies: list[EntryRef],
        registered: bool,
    ) -> None:
        """Add records to a log, from position `first` on, and store its holders and registration.

        Raises
        ------
        ValueError
            The log was not opened, its copy is damaged, or `first` is not its length.
        """
        self._check_usable(log)
        state = self.queued_states.get(log)
        if state is None or not state.whole:
            raise ValueError(f"log {log} has to be opened before records are added")
        if first != state.length:
            raise ValueError(f"log {log} has {state.length} records, not {first}")
        holders_changed = copies != state.copies
        if not records and not holders_changed and registered == state.registered:
            return
        state.length += len(records)
        state.copies = list(copies)
        state.registered = registered
        appended = Appended(
            first, list(records), registered, state.copies if holders_changed else None
        )
        self.commits.add(log, appended)

    def promise(self, log: LogId, epoch: Epoch) -> None:
        """Accept no epoch of a log below `epoch` from now on.

        If there is no copy, an empty one is created.  A damaged copy remains damaged.
        """
        self._check_usable(log)
        state = self.queued_states.get(log)
        if state is None:
            self.open_epoch(log, LogCopy(epoch))
            return
        if epoch <= state.promised:
            return
        state.promised = epoch
        self.commits.add(log, Promised(epoch))

    def drop(self, log: LogId, epoch: Epoch) -> None:
        """Remove a log's copy, and store the epoch that dropped it."""
        self._check_usable(log)
        self.queued_states.pop(log, None)
        self.commits.replace(log, LogChange(dropped=epoch))

    def _check_usable(self, log: LogId) -> None:
        self.commits.raise_failure()
        if len(log_path(self.folder, log).name) > MAX_NAME_BYTES:
            raise ValueError(f"log name {log[:MAX_NAME_BYTES]} is too long for a file")

    # --- durability ---------------------------------------------------------------------------

    async def sync(self, log: LogId | None = None) -> None:
        """Return once every change queued so far is durable.

        Calls in the same iteration of the event loop share a group commit, as do all calls made
        while another group is written.  Cancelling a caller does not stop the commit.

        Parameters
        ----------
        log : LogId or None
            The log to wait for, without large copies of other logs; None waits for all logs.

        Raises
        ------
        DiskError
            The changes may or may not be durable; nothing may be acknowledged any more.
        """
        await self.commits.sync(log)

    async def close(self) -> None:
        """Make queued changes durable, unless the disk has failed, and unlock the folder."""
        await self.commits.close()
        os.close(self.lock)


def _queued_state(copy: LogCopy) -> QueuedLogState:
    return QueuedLogState(len(copy.records), list(copy.copies), copy.registered, copy.promised)
