"""Data folders: acknowledged changes survive a crash, and damaged copies are never served."""

import asyncio
import errno
import shutil
import tempfile
from pathlib import Path
from unittest.mock import patch

from hypothesis import example, given, settings
from hypothesis import strategies as st

from waxwingglade.base import Epoch
from waxwingglade.process import disk_commit, disk_files
from waxwingglade.process.disk import Disk, DiskError, open_disk
from waxwingglade.process.disk_format import (
    HEADER_BYTES,
    Appended,
    FileKind,
    Opened,
    encode_frames,
    encode_header,
)
from waxwingglade.process.disk_load import LoadedLogs
from waxwingglade.process.tests.disk_builders import (
    COPY_A,
    COPY_B,
    LOG_A,
    LOG_B,
    LOG_C,
    LOGS,
    UNFLUSHED,
    History,
    Recorder,
    add_records,
    copy_folder,
    failing_write,
    make_copy,
    make_folder,
    overwrite,
)
from waxwingglade.process.tests.disk_case import FILE_A, FILE_B, DiskTest, reopen

CHANGES = st.tuples(st.sampled_from(["open", "append", "promise", "drop"]), st.sampled_from(LOGS))
GROUPS = st.lists(st.lists(CHANGES, min_size=1, max_size=4), min_size=1, max_size=4)


class CrashTest(DiskTest):
    """A crash at any moment loses no acknowledged change and damages no copy."""

    @settings(max_examples=40, derandomize=True, deadline=None)
    @example([[("promise", LOG_B), ("open", LOG_A), ("open", LOG_A)]], 1 << 20, 20)
    @given(GROUPS, st.sampled_from([1, 1 << 20]), st.sampled_from([0, 20, 1 << 20]))
    def test_every_step_of_random_changes(self, groups, index_limit, large):
        with (
            tempfile.TemporaryDirectory() as top,
            patch.object(disk_files, "INDEX_LIMIT_BYTES", index_limit),
            patch.object(disk_commit, "LARGE_BYTES", large),
            patch.object(disk_files, "WRITERS", 1),
        ):
            asyncio.run(self._check_groups(Path(top), groups))

    async def _check_groups(self, top: Path, groups) -> None:
        recorder = Recorder(top / "data")
        disk = open_disk(recorder.folder, recorder.operations)
        history = History(disk, recorder)
        opened = len(recorder.steps)
        await history.run(groups)
        await disk.close()
        for count in range(opened, len(recorder.steps) + 1):
            for image in recorder.crashes(count, top / "image"):
                incarnation, loaded = await reopen(image)
                self.assertEqual(incarnation, disk.incarnation)
                self.assertEqual(loaded.damaged, {})
                for log in LOGS:
                    state = loaded.copies.get(log, loaded.dropped.get(log))
                    self.assertIn(state, history.possible_states(log, count))

    async def test_every_step_of_opening_a_damaged_folder(self):
        disk = await make_folder(self.folder)
        await disk.close()
        self._damage(FILE_B, 40)
        with (self.folder / FILE_A).open("ab") as file:
            file.write(b"torn")
        damaged = (self.folder / FILE_B).read_bytes()
        recorder = Recorder(self.folder, base=copy_folder(self.folder, self.top / "base"))
        await open_disk(self.folder, recorder.operations).close()
        for count in range(len(recorder.steps) + 1):
            for image in recorder.crashes(count, self.image):
                incarnation, loaded = await reopen(image)
                self.assertEqual(incarnation, disk.incarnation)
                self.assertEqual(loaded.copies, {LOG_A: COPY_A})
                self.assertEqual(loaded.damaged, {LOG_B: Epoch(1)})
                self.assertEqual(loaded.dropped, {LOG_C: Epoch(4)})
                self.assertEqual((image / f"{FILE_B}.corrupt").read_bytes(), damaged)

    def _damage(self, name: str, offset: int) -> None:
        path = self.folder / name
        data = bytearray(path.read_bytes())
        data[offset] ^= 1
        path.write_bytes(data)

    async def test_a_file_truncated_at_every_byte(self):
        await self.make()
        synced = (self.folder / FILE_A).stat().st_size
        disk = open_disk(self.folder, failing_write("index", OSError(errno.EIO, "planted")))
        for record in (b"four", b"five"):
            add_records(disk, LOG_A, record)
        disk.promise(LOG_A, Epoch(9))
        with self.assertRaises(DiskError):
            await disk.sync()
        await disk.close()
        data = (self.folder / FILE_A).read_bytes()
        after = [*COPY_A.records, b"four", b"five"]
        seen = set()
        for size in range(len(data) + 1):
            image = copy_folder(self.folder, self.image)
            overwrite(image / FILE_A, data[:size])
            _, loaded = await reopen(image)
            if size < synced:
                self.assertEqual(loaded.damaged, {LOG_A: Epoch(5)})
                self.assertNotIn(LOG_A, loaded.copies)
                continue
            copy = loaded.copies[LOG_A]
            self.assertEqual(copy.records, after[: len(copy.records)])
            seen.add((len(copy.records), copy.promised))
            disk_after = open_disk(image, UNFLUSHED)
            add_records(disk_after, LOG_A, b"six")
            await disk_after.close()
            copy.records.append(b"six")
            self.assertEqual(await reopen(image), (disk.incarnation, loaded))
        self.assertEqual(seen, {(3, 5), (4, 5), (5, 5), (5, 9)})


class DamageTest(DiskTest):
    """Damage to acknowledged records is detected, and the copy is not served."""

    async def test_a_flipped_bit_in_any_byte(self):
        disk = await self.make()
        for name in ("identity", "index", FILE_A, FILE_B):
            data = (self.folder / name).read_bytes()
            for offset in range(len(data)):
                image = copy_folder(self.folder, self.image)
                flipped = bytearray(data)
                flipped[offset] ^= 1 << offset % 8
                overwrite(image / name, flipped)
                with self.subTest(name=name, offset=offset):
                    await self._check_flipped(name, disk, image)

    async def _check_flipped(self, name: str, disk: Disk, image: Path) -> None:
        incarnation, loaded = await reopen(image)
        if incarnation != disk.incarnation:
            self.assertIn(name, ("identity", "index"))
            self.assertEqual(loaded, LoadedLogs())
            return
        for log, file, copy in ((LOG_A, FILE_A, COPY_A), (LOG_B, FILE_B, COPY_B)):
            if file == name:
                self.assertEqual(loaded.damaged, {log: copy.promised})
                self.assertNotIn(log, loaded.copies)
            else:
                self.assertEqual(loaded.copies[log], copy)
        self.assertTrue(LOG_C in loaded.dropped or LOG_C in loaded.damaged)

    async def test_a_damaged_copy_stays_damaged_until_an_owner_replaces_it(self):
        await self.make()
        (self.folder / FILE_A).unlink()
        await reopen(self.folder)
        disk = open_disk(self.folder)
        self.assertEqual(disk.load().damaged, {LOG_A: Epoch(5)})
        with self.assertRaises(ValueError):
            disk.append(LOG_A, 0, [b"late"], [], True)
        disk.promise(LOG_A, Epoch(8))
        await disk.close()
        disk = open_disk(self.folder)
        self.assertEqual(disk.load().damaged, {LOG_A: Epoch(8)})
        disk.open_epoch(LOG_A, make_copy(9, b"new"))
        await disk.close()
        _, loaded = await reopen(self.folder)
        self.assertEqual((loaded.damaged, loaded.copies[LOG_A]), ({}, make_copy(9, b"new")))

    async def test_an_older_file_of_a_log_is_not_served(self):
        disk = await make_folder(self.folder)
        older = (self.folder / FILE_A).read_bytes()
        disk.open_epoch(LOG_A, make_copy(6, b"one"))
        await disk.close()
        (self.folder / FILE_A).write_bytes(older)
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.damaged, {LOG_A: Epoch(6)})
        self.assertEqual((self.folder / f"{FILE_A}.corrupt").read_bytes(), older)

    async def test_bytes_of_an_older_file_are_not_read_as_records(self):
        disk = open_disk(self.folder)
        disk.open_epoch(LOG_A, make_copy(1, b"old"))
        await disk.sync()
        add_records(disk, LOG_A, b"older")
        await disk.sync()
        older = (self.folder / FILE_A).read_bytes()
        disk.open_epoch(LOG_A, make_copy(2, b"new"))
        await disk.close()
        data = (self.folder / FILE_A).read_bytes()
        overwrite(self.folder / FILE_A, data + older[len(data) :])
        _, loaded = await reopen(self.folder)
        self.assertEqual(loaded.copies, {LOG_A: make_copy(2, b"new")})

    async def test_frames_that_do_not_continue_the_file_are_not_served(self):
        opened = Opened(LOG_A, Epoch(1), Epoch(1), None, [], False, record_count=1)
        record = Appended(0, [b"one"], False)
        expected = {1: None, 2: [b"one"], 3: [b"one"]}
        for count, records in expected.items():
            await reopen(self.image)
            frames = encode_frames([opened, record, record][:count], 1, 1, HEADER_BYTES)
            data = b"".join([encode_header(FileKind.LOG, 1), *frames])
            (self.image / FILE_A).write_bytes(data)
            _, loaded = await reopen(self.image)
            copy = loaded.copies.get(LOG_A)
            self.assertEqual(copy.records if copy else None, records)
            self.assertEqual(loaded.damaged, {} if copy else {LOG_A: Epoch(1)})
            shutil.rmtree(self.image)

    async def test_an_unreliable_folder_starts_a_new_incarnation(self):
        disk = open_disk(self.folder)
        disk.open_epoch(LOG_A, make_copy(1, b"one"))
        await disk.sync()
        size = (self.folder / "index").stat().st_size
        for record in (b"two", b"three"):
            add_records(disk, LOG_A, record)
            await disk.sync()
        await disk.close()
        complete = (self.folder / "index").read_bytes()
        other = await make_folder(self.top / "other")
        await other.close()
        foreign = (self.top / "other" / "index").read_bytes()
        damages = [
            ("index", complete[:size]),
            ("index", b""),
            ("index", foreign),
            ("identity", b""),
        ]
        for name, data in damages:
            image = copy_folder(self.folder, self.image)
            overwrite(image / name, data)
            incarnation, loaded = await reopen(image)
            self.assertNotIn(incarnation, (disk.incarnation, other.incarnation))
            self.assertEqual(loaded, LoadedLogs())
            self.assertTrue((image / "set-aside" / FILE_A).exists())
            self.assertEqual(await reopen(image), (incarnation, LoadedLogs()))

    async def test_an_unreadable_file_is_a_damaged_copy(self):
        await self.make()
        read = Path.read_bytes

        def fail(path: Path) -> bytes:
            if path.name == Path(FILE_A).name:
                raise OSError(errno.EIO, "planted")
            return read(path)

        with patch.object(Path, "read_bytes", fail):
            _, loaded = await reopen(self.folder)
        self.assertEqual((loaded.damaged, loaded.copies), ({LOG_A: Epoch(5)}, {LOG_B: COPY_B}))
