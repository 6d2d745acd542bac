"""A ledger process whose tasks fail once, in a way that nobody foresaw."""

import asyncio
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.base.tests.failing import failing_once
from waxwingglade.follow.model import ReplicaSet
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ledger.membership import Membership
from waxwingglade.ledger.messages import BeginTurn, Ping, TurnId, Unavailable
from waxwingglade.ledger.node import LedgerNode, LedgerSettings

IN_STEP_S = 2.0
"""Seconds after which a process must be in step again."""


class FailedTasks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        for name in ("replica.SWEEP_INTERVAL_S", "node.LINK_IDLE_S"):
            self.enterContext(mock.patch(f"waxwingglade.ledger.{name}", 0.05))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = LedgerSettings(
            "vm", ZoneId("z"), "tcp://127.0.0.1:*", Path(folder.name), 3, 3, ""
        )
        self.store = MemoryStore()
        self.store.put("op/config", b'{"version": 4}')
        self.node = LedgerNode(settings, self.store, KEYS)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)
        await self.in_step(lambda: self.node.cached_view.view.version == 4)
        await self.in_step(lambda: self.node.replica.replicas.settled)

    async def in_step(self, condition: Callable[[], Any]) -> None:
        """Wait until a condition holds, for as long as a process may be out of step."""
        end_at = time.monotonic() + IN_STEP_S
        while not condition():
            self.assertLess(time.monotonic(), end_at, "the process is still out of step")
            await asyncio.sleep(0.01)

    async def test_each_task_goes_on_after_a_failure(self) -> None:
        node = self.node
        steps = [
            (node.watcher, "_step"),
            (node.quotas, "record_state"),
            (node.load_board, "update"),
            (node.membership, "_check"),
            (node.replica, "forget_expired"),
            (node.links, "close_idle_except"),
        ]
        for owner, name in steps:
            with self.subTest(name), failing_once(owner, name) as called:
                await self.in_step(lambda: called.call_count >= 3)

    async def test_a_step_that_fails_each_time_keeps_no_other_from_running(self) -> None:
        """Guards against followers that hear nothing of the quorum, as an earlier step fails."""
        node = self.node
        failing = mock.patch.object(node.quotas, "record_state", side_effect=RecursionError)
        updating = mock.patch.object(node.load_board, "update", return_value=None)
        with failing as failed, updating as updated:
            await self.in_step(lambda: failed.call_count >= 2 and updated.call_count >= 5)
            node.replica.journal.failure = OSError("no space")
            await self.in_step(lambda: not node.reported_quorum)
            self.assertLess(failed.call_count, updated.call_count)

    async def test_a_change_is_in_force_in_time_although_taking_it_over_failed(self) -> None:
        with failing_once(self.node.watcher.targets, "apply") as applied:
            self.store.put("op/config", b'{"version": 5}')
            self.store.put("targets/a", b"leaving")
            await self.in_step(lambda: applied.call_count > 1)
        await self.in_step(lambda: self.node.cached_view.view.version == 5)
        await self.in_step(lambda: self.node.cached_view.view.targets.targets)

    async def test_a_process_whose_journal_failed_rejects_at_once_and_is_no_member_to_others(
        self,
    ) -> None:
        node = self.node
        begin = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
        ping = Ping(node.replica.replicas.epoch, "other")
        with mock.patch.object(node.replica.journal, "_flush", side_effect=ZeroDivisionError):
            async with asyncio.timeout(IN_STEP_S):
                self.assertIsInstance(await node.answer(begin), Unavailable)
        self.assertIsInstance(await node.answer(begin), Unavailable)
        self.assertIsInstance(node.answer_at_once(ping), Unavailable)
        self.assertFalse(node.membership.quorum)
        await self.in_step(lambda: sum(task.done() for task in node.tasks) == 3)

    async def test_the_metrics_page_counts_failures_by_task(self) -> None:
        with failing_once(self.node.quotas, "record_state") as called:
            await self.in_step(lambda: called.call_count > 1)
        page = str(self.node.metrics.text(self.node))
        self.assertIn('task_failures_total{task="LedgerNode._update_forever: quotas"}', page)


class FailedJoin(unittest.IsolatedAsyncioTestCase):
    async def test_a_candidate_that_fails_while_it_reads_counts_as_failed(self) -> None:
        """Guards against a candidate that keeps all others of its zone from joining."""
        candidacy = mock.Mock(renew_forever=asyncio.Event().wait)
        membership = mock.Mock(candidacy=candidacy)
        failing = mock.AsyncMock(side_effect=RecursionError)
        self.enterContext(mock.patch("waxwingglade.ledger.membership.catch_up", failing))
        with self.assertRaises(RecursionError):
            await Membership._read_from_members(membership, ReplicaSet())
        candidacy.record_failure.assert_called_once()
        candidacy.record_success.assert_not_called()
