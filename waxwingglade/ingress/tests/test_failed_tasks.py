"""An entry in which a task or a callback fails once, in a way that nobody foresaw."""

import asyncio
import time
import unittest
from unittest import mock

import msgspec

from waxwingglade.base import ConfigVersion
from waxwingglade.follow.feed import LISTENER_RETRY_S
from waxwingglade.follow.model import Revision, TargetList, View
from waxwingglade.ingress.tests.builders import configuration
from waxwingglade.ingress.tests.entry_builders import EntryUnderTest, FakeTarget


class FailedListener(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = EntryUnderTest(FakeTarget())
        self.ingress = self.entry.ingress
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()

    async def test_targets_leave_although_the_new_configuration_can_not_be_used(self) -> None:
        self.assertEqual(1, len(self.ingress.balancer.states))
        newer = msgspec.structs.replace(configuration(), version=ConfigVersion(2))
        with mock.patch("waxwingglade.ingress.entry.RouteTable", side_effect=RecursionError):
            self.ingress.cached_view.merge(View(newer, TargetList(Revision(9))), time.monotonic())
        self.assertEqual({}, self.ingress.balancer.states)
        await asyncio.sleep(LISTENER_RETRY_S)
        self.ingress.cached_view.drop_expired()
        self.assertIs(newer, self.ingress.table.configuration)
