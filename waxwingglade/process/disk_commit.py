"""Group commits: a worker thread writes the changes that are queued on the event loop.

While one group is written, the next one is collected.  A large new copy is written concurrently
with the groups, to a file of its own; only the rename of that file is part of a group.
"""

import asyncio
import contextlib
from concurrent.futures import ThreadPoolExecutor

import msgspec
from loguru import logger

from waxwingglade.base import LogId, WaxwinggladeError
from waxwingglade.base.tasks import start_task
from waxwingglade.process.disk_files import DiskFiles, LogChange
from waxwingglade.process.disk_format import Appended, Promised

LARGE_BYTES = 1 << 20
"""Total size of records from which on a new copy is written concurrently with the groups."""


class DiskError(WaxwinggladeError):
    """The disk failed; changes that were not durable may be lost, and nothing more is written."""


class StagedLog(msgspec.Struct):
    """A large copy that is being written.

    Parameters
    ----------
    change : LogChange
        The copy.
    done : asyncio.Future
        Done once the file is queued for the next group, or is no longer needed.
    frames : list
        Frames added to the log meanwhile.
    """

    change: LogChange
    done: asyncio.Future[None]
    frames: list[Appended | Promised] = []


class GroupCommits:
    """The queue of changes, and the tasks that write them.

    Parameters
    ----------
    files : DiskFiles
        Files of the folder; nothing else may write to them.
    """

    def __init__(self, files: DiskFiles) -> None:
        self.files = files
        self.failure: DiskError | None = None
        self.changes: dict[LogId, LogChange] = {}
        self.staged: dict[LogId, StagedLog] = {}
        self.staging: set[asyncio.Task] = set()
        self.next_group: asyncio.Future[DiskError | None] | None = None
        self.running_group: asyncio.Future[DiskError | None] | None = None
        self.flush_task: asyncio.Task | None = None
        self.worker = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self.stager = ThreadPoolExecutor(1, thread_name_prefix="disk-stager")

    def raise_failure(self) -> None:
        """Raise `DiskError` if the disk has failed or was closed."""
        if self.failure is not None:
            raise DiskError(str(self.failure))

    # --- queue --------------------------------------------------------------------------------

    def replace(self, log: LogId, change: LogChange) -> None:
        """Queue a change that supersedes all changes queued for the log before."""
        self._unstage(log)
        change.generation = next(self.files.generations)
        size = sum(len(record) for frame in change.frames for record in frame.records)
        if change.opened is None or size < LARGE_BYTES:
            self.changes[log] = change
            return
        # Earlier changes of the log stay queued, because a caller may wait for their group.
        done = asyncio.get_running_loop().create_future()
        staged = StagedLog(change, done)
        self.staged[log] = staged
        task = start_task(self._stage(log, staged))
        self.staging.add(task)
        task.add_done_callback(self.staging.discard)

    def add(self, log: LogId, frame: Appended | Promised) -> None:
        """Queue a frame for the end of a log."""
        staged = self.staged.get(log)
        frames = staged.frames if staged else self.changes.setdefault(log, LogChange()).frames
        frames.append(frame)

    # --- large copies -------------------------------------------------------------------------

    async def _stage(self, log: LogId, staged: StagedLog) -> None:
        """Write a large copy to a file, and queue that file to replace the log's file."""
        loop = asyncio.get_running_loop()
        try:
            prepared = await loop.run_in_executor(
                self.stager, self.files.prepare, log, staged.change
            )
            if self.staged.get(log) is not staged:
                await loop.run_in_executor(self.stager, self.files.operations.remove, prepared.path)
                return
        except Exception as error:
            self._fail(error)
            return
        self.changes[log] = LogChange(prepared=prepared, frames=staged.frames)
        self._unstage(log)

    def _unstage(self, log: LogId) -> None:
        staged = self.staged.pop(log, None)
        if staged is not None:
            staged.done.set_result(None)

    # --- durability ---------------------------------------------------------------------------

    async def sync(self, log: LogId | None) -> None:
        """Return once every change queued so far is durable; see `Disk.sync`."""
        for name in list(self.staged) if log is None else [log]:
            # A copy that was replaced while it was written is superseded by its replacement.
            while name in self.staged:
                await asyncio.shield(self.staged[name].done)
        self.raise_failure()
        group = self._group_of_queued() if self.changes else self.running_group
        if group is None:
            return
        failure = await asyncio.shield(group)
        if failure is not None:
            raise DiskError(str(failure))

    def _group_of_queued(self) -> asyncio.Future[DiskError | None]:
        if self.next_group is None:
            self.next_group = asyncio.get_running_loop().create_future()
        if self.flush_task is None:
            # The task starts after this iteration of the event loop, so the group includes all
            # changes that are queued in the iteration.
            self.flush_task = start_task(self._flush_groups())
        return self.next_group

    async def _flush_groups(self) -> None:
        try:
            while self.next_group is not None:
                await self._commit_group(self.next_group)
        finally:
            self.flush_task = None

    async def _commit_group(self, group: asyncio.Future[DiskError | None]) -> None:
        changes, self.changes = self.changes, {}
        self.running_group, self.next_group = group, None
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.worker, self.files.commit, changes)
            group.set_result(None)
        except Exception as error:
            self._fail(error)
        finally:
            self.running_group = None
            if not group.done():
                if self.failure is None:
                    # Cancelled: the commit continues, and its outcome is not received.
                    self._fail(DiskError("a commit was cancelled"))
                group.set_result(self.failure)

    def _fail(self, error: Exception) -> None:
        """Write nothing more: after any error the state of the files is unknown."""
        if self.failure is None:
            logger.opt(exception=error).error("the disk failed; this entry holds no copies now")
        self._end(DiskError(f"{self.files.folder}: {error}"))

    def _end(self, failure: DiskError) -> None:
        self.failure = self.failure or failure
        self.changes = {}
        for log in list(self.staged):
            self._unstage(log)
        if self.next_group is not None:
            self.next_group.set_result(self.failure)
            self.next_group = None

    async def close(self) -> None:
        """Make queued changes durable, unless the disk has failed, and end the threads."""
        with contextlib.suppress(DiskError):
            await self.sync(None)
        self._end(DiskError(f"{self.files.folder}: closed"))
        await asyncio.gather(*self.staging)
        await asyncio.to_thread(self.stager.shutdown)
        await asyncio.to_thread(self.worker.shutdown)
        self.files.close()
