"""An entry in which a task or a callback fails once, in a way that nobody foresaw."""

import asyncio
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from tests.ports import ReservedPorts
from waxwingglade.base import ConfigVersion, TargetId, ZoneId
from waxwingglade.base.tests.failing import failing_once
from waxwingglade.follow.feed import LISTENER_RETRY_S
from waxwingglade.follow.model import Revision, TargetList, View
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ingress import balance
from waxwingglade.ingress.entry import Ingress
from waxwingglade.ingress.settings import IngressSettings
from waxwingglade.ingress.tests.builders import configuration
from waxwingglade.ingress.tests.entry_builders import EntryUnderTest, FakeTarget, until
from waxwingglade.ledger.node import LedgerNode, LedgerSettings
from waxwingglade.platform.headers import DIALECT

IN_STEP_S = 2.0
"""Seconds after which an entry must be in step again."""


class FailedTasks(unittest.IsolatedAsyncioTestCase):
    """An entry that follows a ledger process over a link, and a store in memory."""

    async def asyncSetUp(self) -> None:
        ports = ReservedPorts()
        self.addCleanup(ports.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        callers, ready, ledger = (f"127.0.0.1:{ports.reserve()}" for _ in range(3))
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        zone = ZoneId("zone-a")
        self.node = LedgerNode(
            LedgerSettings("vm-1", zone, f"tcp://{ledger}", Path(folder.name), 1, 1, ""),
            self.store,
            KEYS,
        )
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)
        self.ingress = Ingress(
            IngressSettings("vm-2", zone, callers, ready), self.store, KEYS, DIALECT
        )
        await self.ingress.start()
        self.addAsyncCleanup(self.ingress.stop)
        await self.in_step(lambda: self.ingress.cached_view.view.version == 4)
        await self.in_step(lambda: self.ingress.ready)

    async def in_step(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition holds, for as long as an entry may be out of step."""
        self.assertTrue(await until(condition, IN_STEP_S), "the entry is still out of step")

    async def test_each_task_goes_on_after_a_failure(self) -> None:
        steps = [
            (self.ingress.follower, "_ask"),
            (self.ingress.suspect_follower, "sources"),
            (self.ingress.pool, "close_expired"),
            (self.ingress.cached_view, "drop_expired"),
        ]
        for owner, name in steps:
            with self.subTest(name), failing_once(owner, name) as called:
                await self.in_step(lambda: called.call_count >= 3)

    async def test_a_change_is_in_force_in_time_although_taking_it_over_failed(self) -> None:
        with failing_once(self.ingress.cached_view, "merge") as merged:
            self.store.put("op/config", b'{"version": 5}')
            await self.in_step(lambda: merged.call_count > 1)
        await self.in_step(lambda: self.ingress.table.configuration.version == 5)

    async def test_the_store_is_followed_although_other_checks_fail(self) -> None:
        closing = mock.patch.object(self.ingress.pool, "close_expired", side_effect=RecursionError)
        with closing, failing_once(self.ingress.follower, "_ask"):
            await self.node.server.stop()
            self.assertTrue(await until(lambda: self.ingress.watcher, 3 * IN_STEP_S))

    async def test_a_check_that_fails_each_time_keeps_no_other_from_running(self) -> None:
        """Guards against connections that stay open, as an earlier check fails each time."""
        ingress = self.ingress
        names = [
            (ingress, "_check_quorum"),
            (ingress.cached_view, "drop_expired"),
            (ingress.quarantine, "suspect_silent"),
            (ingress.pool, "close_expired"),
            (ingress.balancer, "check_slow"),
        ]
        for owner, name in names:
            with (
                self.subTest(name),
                mock.patch.object(owner, name, side_effect=RecursionError) as failed,
                mock.patch.object(ingress.links, "close_idle_except", return_value=None) as closed,
            ):
                await self.in_step(lambda f=failed, c=closed: f.called and c.call_count >= 3)

    async def test_the_metrics_page_counts_failures_by_task(self) -> None:
        with failing_once(self.ingress.pool, "close_expired") as called:
            await self.in_step(lambda: called.call_count > 1)
        page = str(self.ingress.metrics.text(self.ingress))
        self.assertIn(
            'task_failures_total{task="Ingress._check_forever: pooled connections"}', page
        )


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

    async def test_targets_are_used_although_taking_the_list_over_failed_once(self) -> None:
        """Guards against sound targets that get no request until the next change of the list."""
        ingress = self.ingress
        known = ingress.cached_view.view.targets.targets[0]
        added = [msgspec.structs.replace(known, target=TargetId(name)) for name in ("b", "c")]
        targets = TargetList(Revision(9), (added[0], known, added[1]))
        with failing_once(balance, "TargetState"):
            ingress.cached_view.merge(View(targets=targets), time.monotonic())
            self.assertEqual([known.target], list(ingress.balancer.states))
            self.assertEqual(1, len(ingress.balancer.by_service[known.service]))
            await asyncio.sleep(LISTENER_RETRY_S)
            ingress.cached_view.drop_expired()
        self.assertEqual({"b", "c", known.target}, set(ingress.balancer.states))
        self.assertEqual(3, len(ingress.balancer.by_service[known.service]))
