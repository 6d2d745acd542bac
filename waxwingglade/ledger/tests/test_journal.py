"""The journal: recovery after a loss of power, flushes, segments and failing disks."""

import asyncio
import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from waxwingglade.ledger.journal import SLOW_FLUSH_S, Journal, JournalFailed
from waxwingglade.ledger.tests.log_capture import logged_lines


class JournalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def _opened(self) -> tuple[Journal, list[bytes]]:
        journal = Journal(self.folder)
        contents = [content for _, content in journal.replay()]
        journal.start()
        self.addAsyncCleanup(journal.stop)
        return journal, contents

    async def _written(self, *contents: bytes) -> Journal:
        journal, _ = await self._opened()
        await asyncio.gather(*(journal.append(content) for content in contents))
        return journal

    async def test_records_are_replayed_in_order_and_can_be_read_by_location(self) -> None:
        journal, _ = await self._opened()
        place = await journal.append(b"first")
        await journal.append(b"second")
        await journal.stop()
        again, contents = await self._opened()
        self.assertEqual(contents, [b"first", b"second"])
        self.assertEqual(again.read(place), b"first")
        self.assertEqual(again.disk, journal.disk)

    async def test_a_truncated_tail_is_discarded_and_overwritten(self) -> None:
        journal = await self._written(b"whole", b"torn")
        await journal.stop()
        segment = next(self.folder.glob("*.ledger"))
        data = segment.read_bytes()
        segment.write_bytes(data[:-2] + b"\0\0")
        journal, contents = await self._opened()
        self.assertEqual(contents, [b"whole"])
        await journal.append(b"later")
        await journal.stop()
        _, contents = await self._opened()
        self.assertEqual(contents, [b"whole", b"later"])

    async def test_records_after_a_damaged_frame_are_discarded(self) -> None:
        journal = await self._written(b"one" * 10, b"two" * 10, b"three" * 10)
        await journal.stop()
        segment = next(self.folder.glob("*.ledger"))
        segment.write_bytes(segment.read_bytes().replace(b"two" * 10, b"owt" * 10))
        _, contents = await self._opened()
        self.assertEqual(contents, [b"one" * 10])

    async def test_an_empty_or_wiped_folder_gets_a_new_name(self) -> None:
        journal = await self._written(b"record")
        await journal.stop()
        (self.folder / "identity").unlink()
        again, contents = await self._opened()
        self.assertNotEqual(again.disk, journal.disk)
        self.assertEqual(contents, [])

    async def test_a_full_segment_is_followed_by_another_and_old_ones_are_removed(self) -> None:
        with mock.patch("waxwingglade.ledger.journal.SEGMENT_BYTES", 1000):
            journal = await self._written(*(b"x" * 400 for _ in range(3)))
            place = await journal.append(b"last")
            self.assertGreater(place.segment, 1)
            await journal.drop(place.segment)
            await journal.stop()
        _, contents = await self._opened()
        self.assertEqual(contents, [b"last"])

    async def test_a_delayed_record_is_flushed_with_others_or_after_its_delay(self) -> None:
        journal, _ = await self._opened()
        before = journal.flushes
        delayed = journal.append(b"patient", 5.0)
        await journal.append(b"urgent")
        self.assertTrue(delayed.done())
        self.assertEqual(before + 1, journal.flushes)
        async with asyncio.timeout(2.0):
            await journal.append(b"alone", 0.05)
        self.assertEqual(before + 2, journal.flushes)
        await journal.stop()
        _, contents = await self._opened()
        self.assertEqual(contents, [b"patient", b"urgent", b"alone"])

    async def test_a_slow_flush_is_logged(self) -> None:
        """Without the log line, a disk that stalls for seconds looks like a lost majority."""
        journal, _ = await self._opened()

        def flush(_file: int) -> None:
            time.sleep(SLOW_FLUSH_S)

        with logged_lines("slow flush") as lines:
            await journal.append(b"quick")
            with mock.patch("waxwingglade.ledger.journal.os.fdatasync", flush):
                await journal.append(b"slow")
        self.assertEqual(1, len(lines))
        self.assertGreaterEqual(lines[0]["seconds"], SLOW_FLUSH_S)
        self.assertGreaterEqual(journal.longest_flush_s, SLOW_FLUSH_S)

    async def test_an_unforeseen_failure_refuses_all_records_and_acknowledges_none(self) -> None:
        """Guards against callers that wait for ever, and against memory that is not durable."""
        journal = await self._written(b"before")
        with mock.patch.object(journal, "_flush", side_effect=ZeroDivisionError):
            writing = journal.append(b"failed")
            while not journal.writing:
                await asyncio.sleep(0)
            waiting = journal.append(b"waiting")
            async with asyncio.timeout(2.0):
                outcomes = await asyncio.gather(writing, waiting, return_exceptions=True)
        outcomes += await asyncio.gather(journal.append(b"later"), return_exceptions=True)
        self.assertEqual([JournalFailed] * 3, [type(each) for each in outcomes])

    async def test_a_failed_write_is_retried(self) -> None:
        journal, _ = await self._opened()
        real = os.fdatasync
        refusals = iter([OSError(28, "no space left"), OSError(5, "input/output error")])

        def refuse(file: int) -> None:
            for refusal in refusals:
                raise refusal
            real(file)

        with (
            mock.patch("waxwingglade.ledger.journal.os.fdatasync", refuse),
            mock.patch("waxwingglade.ledger.journal.RETRY_DELAY_S", 0.01),
        ):
            await journal.append(b"late but whole")
        await journal.stop()
        _, contents = await self._opened()
        self.assertEqual(contents, [b"late but whole"])
