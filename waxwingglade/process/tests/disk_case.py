"""Common parts of the tests of data folders: a temporary folder, and how to read one."""

import tempfile
import unittest
from pathlib import Path

from loguru import logger

from waxwingglade.base import Epoch
from waxwingglade.process.disk import Disk, open_disk
from waxwingglade.process.disk_load import LoadedLogs
from waxwingglade.process.tests.disk_builders import (
    COPY_A,
    COPY_B,
    LOG_A,
    LOG_B,
    LOG_C,
    UNFLUSHED,
    make_folder,
)

FILE_A = "logs/z.e.i.0.log"
FILE_B = "logs/z.e.i.1.log"


async def reopen(folder: Path) -> tuple[str, LoadedLogs]:
    """Return the incarnation and the content of a folder."""
    disk = open_disk(folder, UNFLUSHED)
    loaded = disk.load()
    await disk.close()
    return disk.incarnation, loaded


class DiskTest(unittest.IsolatedAsyncioTestCase):
    """A test with temporary folders."""

    def setUp(self) -> None:
        logger.disable("waxwingglade.process")
        self.addCleanup(logger.enable, "waxwingglade.process")
        self.top = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.folder = self.top / "data"
        self.image = self.top / "image"

    async def make(self) -> Disk:
        disk = await make_folder(self.folder)
        await disk.close()
        return disk

    def check_complete(self, loaded: LoadedLogs) -> None:
        self.assertEqual(loaded, LoadedLogs({LOG_A: COPY_A, LOG_B: COPY_B}, {}, {LOG_C: Epoch(4)}))
