"""Lookup of owners without unnecessary reads of the store."""

import asyncio
import unittest

from waxwingglade.base import ErrorCode, LogId
from waxwingglade.process.locate import find_owner
from waxwingglade.process.tests.one_entry import one_entry

UNKNOWN = LogId("zone-9.gone.i.home0")


class OwnerLookups(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_lookups_of_a_log_share_one_read_of_the_store(self):
        async with one_entry() as running:
            reads = 0
            read = running.entry.directory.read

            async def counted_read(log, *more):
                nonlocal reads
                reads += 1
                return await read(log, *more)

            running.entry.directory.read = counted_read
            found = await asyncio.gather(
                *(find_owner(running.entry, UNKNOWN, refresh=True) for _ in range(20))
            )
        self.assertEqual({ErrorCode.NOT_FOUND}, {each.err_value.code for each in found})
        self.assertEqual(1, reads)
