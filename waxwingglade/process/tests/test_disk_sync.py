"""Data folders: which changes wait for the disk, and for which writes."""

import asyncio
import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

import msgspec

from waxwingglade.base import Epoch, LogId
from waxwingglade.process import disk_commit, disk_files
from waxwingglade.process.disk import Disk, DiskError, open_disk
from waxwingglade.process.disk_files import REAL_OPERATIONS
from waxwingglade.process.tests.disk_builders import (
    COPY_A,
    COPY_B,
    LOG_A,
    LOG_B,
    LOGS,
    add_records,
    copy_folder,
    make_copy,
    make_folder,
)
from waxwingglade.process.tests.disk_case import FILE_A, DiskTest, reopen


class SyncTest(DiskTest):
    """Group commits and disk errors."""

    def recording_operations(self, written: list[str]) -> disk_files.FileOperations:
        def write(path, offset, parts):
            written.append(path.name)
            REAL_OPERATIONS.write(path, offset, parts)

        return msgspec.structs.replace(REAL_OPERATIONS, write=write)

    async def test_changes_in_one_loop_iteration_share_a_group(self):
        written: list[str] = []
        disk = open_disk(self.folder, self.recording_operations(written))

        async def add(log: LogId, record: bytes) -> None:
            add_records(disk, log, record)
            await disk.sync()

        for log in LOGS:
            disk.open_epoch(log, make_copy(1))
        await disk.sync()
        written.clear()
        await asyncio.gather(*(add(log, record) for log in LOGS for record in (b"1", b"2")))
        self.assertEqual(sorted(written), ["index", *(f"{log}.log" for log in LOGS)])
        await disk.sync()
        self.assertEqual(len(written), len(LOGS) + 1)
        await disk.close()

    def block_writes(
        self, disk: Disk, is_blocked: Callable[[Path], bool], error: OSError | None = None
    ) -> threading.Event:
        """Block writes to some files; return the event that lets them continue, or fail."""
        resume = threading.Event()
        self.addCleanup(resume.set)

        def write(path, offset, parts):
            if is_blocked(path):
                resume.wait()
                if error is not None:
                    raise error
            REAL_OPERATIONS.write(path, offset, parts)

        files = disk.commits.files
        files.operations = msgspec.structs.replace(REAL_OPERATIONS, write=write)
        return resume

    async def start_group(self, disk: Disk) -> asyncio.Task:
        task = asyncio.create_task(disk.sync())
        while disk.commits.running_group is None:
            await asyncio.sleep(0)
        return task

    async def test_sync_waits_for_the_disk_without_blocking_the_event_loop(self):
        await self.make()
        disk = open_disk(self.folder)
        resume = self.block_writes(disk, lambda path: True)
        add_records(disk, LOG_A, b"four")
        first = await self.start_group(disk)
        again = asyncio.create_task(disk.sync())
        await asyncio.sleep(0)
        add_records(disk, LOG_A, b"five")
        second, cancelled = (asyncio.create_task(disk.sync()) for _ in range(2))
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.wait([cancelled])
        self.assertFalse(first.done() or again.done() or second.done())
        resume.set()
        await asyncio.gather(first, again, second)
        await disk.close()
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.copies[LOG_A].records, [*COPY_A.records, b"four", b"five"])

    async def test_other_logs_do_not_wait_for_a_large_copy(self):
        await self.make()
        disk = open_disk(self.folder)
        resume = self.block_writes(
            disk, lambda path: path.name.startswith(LOG_A) and "tmp" in path.name
        )
        with patch.object(disk_commit, "LARGE_BYTES", 4):
            disk.open_epoch(LOG_A, make_copy(6, b"large", b"copy"))
        add_records(disk, LOG_A, b"more")
        add_records(disk, LOG_B, b"next")
        waiting = [asyncio.create_task(disk.sync(log)) for log in (LOG_A, None)]
        await disk.sync(LOG_B)
        killed = copy_folder(self.folder, self.image)
        _, loaded = await reopen(killed)
        self.assertEqual(loaded.copies[LOG_A], COPY_A)
        self.assertEqual(loaded.copies[LOG_B].records, [*COPY_B.records, b"next"])
        self.assertEqual([path.name for path in killed.rglob("*.tmp")], [])
        self.assertFalse(any(task.done() for task in waiting))
        resume.set()
        await asyncio.gather(*waiting)
        await disk.close()
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.copies[LOG_A].records, [b"large", b"copy", b"more"])

    async def test_a_replaced_large_copy_does_not_reappear(self):
        disk = open_disk(self.folder)
        resume = self.block_writes(disk, lambda path: "tmp" in path.name)
        with patch.object(disk_commit, "LARGE_BYTES", 4):
            disk.open_epoch(LOG_A, make_copy(1, b"first"))
            first = asyncio.create_task(disk.sync(LOG_A))
            disk.open_epoch(LOG_B, make_copy(1, b"first"))
            await asyncio.sleep(0)
            disk.open_epoch(LOG_A, make_copy(2, b"second"))
            disk.drop(LOG_B, Epoch(3))
            await disk.sync(LOG_B)
        await asyncio.sleep(0)
        self.assertFalse(first.done())
        resume.set()
        await first
        _, loaded = await reopen(copy_folder(self.folder, self.image))
        self.assertEqual(loaded.copies, {LOG_A: make_copy(2, b"second")})
        await disk.close()
        self.assertEqual([path.name for path in self.folder.rglob("*.tmp")], [])
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.dropped, {LOG_B: Epoch(3)})

    async def test_after_an_error_nothing_is_acknowledged(self):
        await self.make()
        disk = open_disk(self.folder)
        disk_full = OSError(errno.ENOSPC, "no space left")
        resume = self.block_writes(disk, lambda path: True, disk_full)
        add_records(disk, LOG_A, b"lost")
        waiting = [await self.start_group(disk)]
        add_records(disk, LOG_B, b"next")
        waiting.append(asyncio.create_task(disk.sync()))
        await asyncio.sleep(0)
        resume.set()
        for result in await asyncio.gather(*waiting, return_exceptions=True):
            self.assertIsInstance(result, DiskError)
        self.assertIn("no space left", str(disk.failure))
        for change in (
            lambda: disk.open_epoch(LOG_B, make_copy(3)),
            lambda: add_records(disk, LOG_B, b"more"),
            lambda: disk.promise(LOG_B, Epoch(9)),
            lambda: disk.drop(LOG_B, Epoch(9)),
        ):
            self.assertRaises(DiskError, change)
        with self.assertRaises(DiskError):
            await disk.sync()
        await disk.close()
        self.check_complete((await reopen(self.folder))[1])

    async def test_a_file_changed_by_another_process_fails_the_disk(self):
        disk = await make_folder(self.folder)
        os.truncate(self.folder / FILE_A, 60)
        add_records(disk, LOG_A, b"four")
        with self.assertRaises(DiskError):
            await disk.sync()
        await disk.close()

    async def test_records_at_a_wrong_position_are_refused(self):
        disk = open_disk(self.folder)
        disk.open_epoch(LOG_A, make_copy(1, b"one"))
        for log, first in ((LOG_A, 0), (LOG_A, 2), (LOG_B, 0)):
            with self.assertRaises(ValueError):
                disk.append(log, first, [b"x"], [], True)
        with self.assertRaises(ValueError):
            disk.open_epoch(LogId("x" * 300), make_copy(1))
        await disk.close()
