"""A ledger process under overload, and one that stops."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import zmq

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.base.tests.daemon_loop import OnDaemonLoop
from waxwingglade.decisions.load_sums import LEARNING_S
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.model import IncarnationName
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ledger.messages import (
    BeginTurn,
    Busy,
    EndTurn,
    MergeLoads,
    ReportLoad,
    SharedLoads,
    TurnBegun,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.node import (
    FINISH_TIMEOUT_S,
    MAX_BEGINNING,
    UPDATE_INTERVAL_S,
    LedgerNode,
    LedgerSettings,
)
from waxwingglade.transport.links import Link, Links

BEGIN = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
LATE_S = 2.0
"""Most seconds by which a busy machine may be late."""

ANSWER_TIMEOUT_S = 10.0
"""Timeout for an answer in seconds; only a lost answer exceeds it."""


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A ledger process that delays the begin of turns until a test allows it."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = LedgerSettings(
            "vm", ZoneId("z"), "tcp://127.0.0.1:*", Path(folder.name), 3, 3, ""
        )
        with mock.patch("waxwingglade.ledger.node.LedgerMetrics"):
            self.node = LedgerNode(settings, MemoryStore(), KEYS)
        self.addCleanup(self.node.context.term)
        self.go_on = asyncio.Event()
        self.node.handlers[BeginTurn] = self._begin
        self.node.handlers[EndTurn] = self._end

    async def _begin(self, _: Any) -> TurnBegun:
        await self.go_on.wait()
        return TurnBegun()

    async def _end(self, _: Any) -> TurnEnded:
        return TurnEnded(True, True)


class SheddingTest(NodeTest):
    async def test_turns_beyond_the_limit_are_refused_and_others_still_end(self) -> None:
        begun = [asyncio.create_task(self.node.answer(BEGIN)) for _ in range(MAX_BEGINNING)]
        await asyncio.sleep(0)
        self.assertEqual(await self.node.answer(BEGIN), Busy())
        end = EndTurn(TurnId("t"), ProgramId("p"), 40)
        self.assertEqual(await self.node.answer(end), TurnEnded(True, True))
        self.go_on.set()
        self.assertEqual(await asyncio.gather(*begun), [TurnBegun()] * MAX_BEGINNING)
        self.assertEqual(await self.node.answer(BEGIN), TurnBegun())


class SharedLoadsTest(NodeTest):
    async def test_loads_of_members_and_entries_are_told_to_an_entry(self) -> None:
        target = IncarnationName("a@1")
        self.assertIsNone(await self.node.answer(MergeLoads("disk", {target: EntryLoad(2)})))
        self.assertIsNone(await self.node.answer(ReportLoad("e1")))
        await asyncio.sleep(LEARNING_S)
        answer = await self.node.answer(ReportLoad("e1", {target: EntryLoad(3)}, asks=True))
        self.assertEqual(SharedLoads({target: TargetLoad(2)}), answer)


class StoppingTest(NodeTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.node.start()
        self.links = Links(self.node.context, self.node.codec)
        self.addCleanup(self.links.close)
        link_socket = self.node.server.link_socket
        assert link_socket is not None
        self.address = link_socket.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.stopped: asyncio.Task[None] | None = None
        self.addAsyncCleanup(self.end)

    async def end(self) -> None:
        """Stop the process, unless a test has done so."""
        await self.stop()

    def stop(self) -> "asyncio.Task[None]":
        """Start to stop the process."""
        if self.stopped is None:
            self.stopped = asyncio.create_task(self._stop())
        return self.stopped

    async def _stop(self) -> None:
        # Ending the context waits for all sockets, and those of the test are closed later.
        with mock.patch.object(self.node, "context"):
            await self.node.stop()

    @property
    def link(self) -> Link:
        """The link of an entry."""
        return self.links.to(self.address)

    async def under_way(self, message: Any) -> "asyncio.Future[Any]":
        """Send a request; return the future of its answer once the process handles it."""
        asking = self.link.post(message, ANSWER_TIMEOUT_S)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not self.node.server.running:
                await asyncio.sleep(0.005)
        return asking

    async def test_requests_in_progress_are_answered_and_new_ones_are_refused(self) -> None:
        begun = await self.under_way(BEGIN)
        with mock.patch("waxwingglade.ledger.node.FINISH_TIMEOUT_S", 2 * ANSWER_TIMEOUT_S):
            stopped = self.stop()
            await asyncio.sleep(0.05)
            self.assertIsInstance(await self.link.request(BEGIN, ANSWER_TIMEOUT_S), Unavailable)
            self.go_on.set()
            self.assertEqual(await begun, TurnBegun())
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await stopped

    async def test_a_request_that_does_not_end_delays_no_stop(self) -> None:
        begun = await self.under_way(BEGIN)
        began_at = time.monotonic()
        await self.stop()
        self.assertLess(time.monotonic() - began_at, FINISH_TIMEOUT_S + LATE_S)
        begun.cancel()

    async def until_up_to_date(self) -> None:
        """Wait until the process has sent its followers the current content of the store."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not (
                self.node.replica.replicas.settled and self.node.cached_view.view.targets.revision
            ):
                await asyncio.sleep(0.005)
        await asyncio.sleep(3 * UPDATE_INTERVAL_S)

    async def test_a_follower_is_answered_at_once_when_the_process_stops(self) -> None:
        await self.until_up_to_date()
        view = self.node.cached_view.view
        follow = Follow(view.version, view.targets.revision, view.replicas.epoch, ANSWER_TIMEOUT_S)
        reported = await self.under_way(follow)
        await asyncio.sleep(3 * UPDATE_INTERVAL_S)
        self.assertFalse(reported.done(), "there was an update")
        # An answer at the end of the wait of the follower, or of `FINISH_TIMEOUT_S`, is too late.
        with mock.patch("waxwingglade.ledger.node.FINISH_TIMEOUT_S", 2 * ANSWER_TIMEOUT_S):
            stopped = self.stop()
            async with asyncio.timeout(LATE_S):
                self.assertIsInstance(await reported, Followed)
                await stopped


class StoppingOnDaemonLoopTest(OnDaemonLoop, StoppingTest):
    """The same tests on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
