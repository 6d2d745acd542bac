"""Tests of the copy of the configuration in the data folder."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from waxwingglade.settings import ProcessSettings
from waxwingglade.version import (
    ActiveConfig,
    ConfigSnapshot,
    Source,
    Tree,
    load_copy,
    maintain_copy,
    open_active,
    save_copy,
)
from waxwingglade.version.record import FORMAT
from waxwingglade.version.saved_copy import COPY_NAME
from waxwingglade.version.snapshot import encode_snapshot
from waxwingglade.version.tests.builders import (
    NESTED_TREE,
    PATH,
    make_tree,
    next_record,
    set_value,
    with_timeout,
)
from waxwingglade.version.tests.test_record import with_format


class TestSavedCopy(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / COPY_NAME
        self.settings = ProcessSettings(
            "entry-1", "helsinki-1", data_folder=folder.name, config=NESTED_TREE
        )

    def test_a_process_starts_from_the_copy_or_else_from_its_settings(self):
        active = open_active(self.settings)
        self.assertEqual((active.current.version, active.source), (0, Source.SETTINGS))
        self.assertEqual(active.current.resolve(PATH).queue_limit, 800)
        save_copy(self.folder, ConfigSnapshot(7, make_tree()))
        active = open_active(self.settings)
        self.assertEqual((active.current.version, active.source), (7, Source.COPY))
        self.assertFalse(active.confirmed)

    def test_an_older_version_neither_replaces_a_newer_copy_nor_reverts_a_process(self):
        save_copy(self.folder, ConfigSnapshot(7, make_tree()))
        for version in (6, 7):
            self.assertFalse(save_copy(self.folder, ConfigSnapshot(version, Tree())))
        self.assertEqual(load_copy(self.folder).version, 7)
        active = ActiveConfig(ConfigSnapshot(9, Tree()))
        self.assertFalse(active.offer(load_copy(self.folder), Source.COPY))
        self.assertEqual(active.current.version, 9)

    def test_a_truncated_or_corrupt_copy_is_not_used_and_may_be_replaced(self):
        encoded = encode_snapshot(ConfigSnapshot(7, make_tree()))
        middle = len(encoded) // 2
        for data in (encoded[:-1], b"", encoded[:middle] + b"\0" + encoded[middle + 1 :]):
            self.path.write_bytes(data)
            self.assertIsNone(load_copy(self.folder))
            self.assertEqual(open_active(self.settings).current.version, 0)
            self.assertTrue(save_copy(self.folder, ConfigSnapshot(3, make_tree())))

    def test_a_partial_write_leaves_the_previous_copy(self):
        save_copy(self.folder, ConfigSnapshot(7, make_tree()))
        (self.folder / (COPY_NAME + ".partial")).write_bytes(b"cut off by a crash")
        self.assertEqual(load_copy(self.folder).version, 7)
        self.assertTrue(save_copy(self.folder, ConfigSnapshot(8, make_tree())))
        self.assertEqual([each.name for each in self.folder.iterdir()], [COPY_NAME])

    def test_a_copy_of_a_newer_format_is_not_modified(self):
        newer = with_format(encode_snapshot(ConfigSnapshot(7, make_tree())), FORMAT + 1)
        self.path.write_bytes(newer)
        self.assertIsNone(load_copy(self.folder))
        self.assertFalse(save_copy(self.folder, ConfigSnapshot(9, make_tree())))
        self.assertEqual(self.path.read_bytes(), newer)

    async def wait_for_copy(self, version):
        while (copy := load_copy(self.folder)) is None or copy.version < version:
            await asyncio.sleep(0.001)

    async def test_each_version_is_copied(self):
        active = ActiveConfig(ConfigSnapshot(1, make_tree()))
        keeping = asyncio.create_task(maintain_copy(active, self.folder, period_s=0.001))
        active.offer_records([next_record(active.current, set_value(3))])
        await with_timeout(self.wait_for_copy(2))
        active.offer_records([next_record(active.current, set_value(4))])
        await with_timeout(self.wait_for_copy(3))
        keeping.cancel()


if __name__ == "__main__":
    unittest.main()
