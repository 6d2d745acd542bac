"""Data folders: acknowledged changes survive a restart, and invalid folders are refused."""

import asyncio
import struct
import subprocess
import sys
from unittest.mock import patch

from waxwingglade.base import Epoch, FormatError, LogId, SettingsError
from waxwingglade.process import disk_format, disk_load
from waxwingglade.process.disk import open_disk
from waxwingglade.process.disk_format import (
    FileKind,
    encode_header,
)
from waxwingglade.process.log_copy import LogCopy
from waxwingglade.process.tests.disk_builders import (
    LOG_A,
    contents,
    copy_folder,
    make_copy,
    make_folder,
)
from waxwingglade.process.tests.disk_case import FILE_A, FILE_B, DiskTest, reopen


class RestartTest(DiskTest):
    """All acknowledged changes survive a restart."""

    async def test_content_promises_and_drops_survive(self):
        first = await self.make()
        for start in (2, 3):
            disk = open_disk(self.folder)
            self.check_complete(disk.load())
            self.assertEqual((disk.incarnation, disk.starts), (first.incarnation, start))
            await disk.close()

    async def test_acknowledged_changes_survive_a_kill(self):
        disk = await make_folder(self.folder)
        # The copy is made before the folder is closed.
        _, loaded = await reopen(copy_folder(self.folder, self.image))
        self.check_complete(loaded)
        await disk.close()

    async def test_a_promise_is_never_lowered(self):
        disk = open_disk(self.folder)
        disk.promise(LOG_A, Epoch(7))
        disk.promise(LOG_A, Epoch(3))
        await disk.sync()
        self.assertEqual(
            (await reopen(copy_folder(self.folder, self.image)))[1].copies,
            {LOG_A: LogCopy(Epoch(7))},
        )
        disk.open_epoch(LOG_A, make_copy(2, b"one"))
        await disk.close()
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.copies, {LOG_A: make_copy(2, b"one", promised=7)})

    async def test_large_logs_take_several_frames(self):
        copy = make_copy(1, *(bytes([n]) * 400 for n in range(20)))
        with patch.object(disk_format, "CHUNK_BYTES", 1000):
            disk = open_disk(self.folder)
            disk.open_epoch(LOG_A, copy)
            copy.records.append(b"later")
            await disk.close()
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.copies[LOG_A].records, copy.records[:-1])

    async def test_the_oldest_dropped_logs_are_forgotten(self):
        names = [LogId(f"z.e.i.{n}") for n in range(5)]
        with patch.object(disk_load, "MAX_DROPPED_LOGS", 2):
            disk = open_disk(self.folder)
            for name in names:
                disk.drop(name, Epoch(1))
                await disk.sync()
            await disk.close()
            await reopen(self.folder)
        _, loaded = await reopen(self.folder)
        self.assertEqual(list(loaded.dropped), names[-2:])


class FolderTest(DiskTest):
    """A folder is used by one process at a time, and a newer format is refused."""

    async def test_a_second_process_is_refused(self):
        disk = open_disk(self.folder)
        code = "import sys, pathlib; from waxwingglade.process.disk import open_disk;"
        code += "open_disk(pathlib.Path(sys.argv[1]))"
        second = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, str(self.folder), stderr=subprocess.PIPE
        )
        _, errors = await second.communicate()
        self.assertIn(b"SettingsError", errors)
        self.assertNotEqual(second.returncode, 0)
        with self.assertRaises(SettingsError):
            open_disk(self.folder)
        await disk.close()
        await reopen(self.folder)

    async def test_a_folder_that_cannot_be_created_is_a_settings_error(self):
        (self.top / "file").write_text("")
        with self.assertRaises(SettingsError):
            open_disk(self.top / "file")

    async def test_a_newer_format_is_left_untouched(self):
        await self.make()
        generation = struct.Struct(">12xQ")
        for name, kind in zip(("identity", "index", FILE_B), FileKind, strict=True):
            image = copy_folder(self.folder, self.image)
            data = (image / name).read_bytes()
            with patch.object(disk_format, "FORMAT_VERSION", disk_format.FORMAT_VERSION + 1):
                header = encode_header(kind, *generation.unpack_from(data))
            (image / name).write_bytes(header + data[len(header) :])
            # Nothing is changed even if a damaged file would otherwise be replaced.
            (image / FILE_A).write_bytes(b"damaged")
            before = contents(image)
            with self.assertRaises(FormatError):
                open_disk(image)
            self.assertEqual(contents(image), before)
