"""A ledger process that has more to do than it can answer in time, and one that stops."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import zmq

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.base.tests.loops import OnDaemonLoop
from waxwingglade.follow.messages import Follow, Followed
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ledger.messages import (
    BeginTurn,
    Busy,
    EndTurn,
    TurnBegun,
    TurnEnded,
    TurnId,
    Unavailable,
)
from waxwingglade.ledger.node import FINISH_S, MOST_BEGINNING, LedgerNode, LedgerSettings
from waxwingglade.transport.links import Link, Links

BEGIN = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
AT_ONCE_S = 0.2
"""Seconds for an answer that waits for nothing, on a busy machine."""

ASK_S = 5.0


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A ledger process whose turns begin when a test lets them."""

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
    async def test_turns_beyond_a_bound_are_refused_at_once_and_others_still_end(self) -> None:
        begun = [asyncio.create_task(self.node.answer(BEGIN)) for _ in range(MOST_BEGINNING)]
        await asyncio.sleep(0)
        self.assertEqual(await self.node.answer(BEGIN), Busy())
        end = EndTurn(TurnId("t"), ProgramId("p"), 40)
        self.assertEqual(await self.node.answer(end), TurnEnded(True, True))
        self.go_on.set()
        self.assertEqual(await asyncio.gather(*begun), [TurnBegun()] * MOST_BEGINNING)
        self.assertEqual(await self.node.answer(BEGIN), TurnBegun())


class StoppingTest(NodeTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.node.start()
        self.links = Links(self.node.context, self.node.codec)
        self.addCleanup(self.links.close)
        port = self.node.server.port
        assert port is not None
        self.address = port.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.stopped: asyncio.Task[None] | None = None
        self.addAsyncCleanup(self.end)

    async def end(self) -> None:
        """Stop, where a test has not."""
        await self.stop()

    def stop(self) -> "asyncio.Task[None]":
        """Begin to stop."""
        if self.stopped is None:
            self.stopped = asyncio.create_task(self._stop())
        return self.stopped

    async def _stop(self) -> None:
        # The last step waits for all sockets, and those of the test are closed after it.
        with mock.patch.object(self.node, "context"):
            await self.node.stop()

    @property
    def link(self) -> Link:
        """The link of an entry."""
        return self.links.to(self.address)

    async def under_way(self, message: Any) -> "asyncio.Future[Any]":
        """Send a request, and return the future of its answer once the process works on it."""
        asking = self.link.post(message, ASK_S)
        async with asyncio.timeout(ASK_S):
            while not self.node.server.running:
                await asyncio.sleep(0.005)
        return asking

    async def test_what_is_under_way_is_answered_and_what_comes_is_refused(self) -> None:
        begun = await self.under_way(BEGIN)
        stopped = self.stop()
        await asyncio.sleep(0.05)
        self.assertIsInstance(await self.link.request(BEGIN, AT_ONCE_S), Unavailable)
        self.go_on.set()
        self.assertEqual(await begun, TurnBegun())
        async with asyncio.timeout(FINISH_S):
            await stopped

    async def test_what_does_not_end_holds_up_no_stop(self) -> None:
        begun = await self.under_way(BEGIN)
        began_at = time.monotonic()
        await self.stop()
        self.assertLess(time.monotonic() - began_at, FINISH_S + AT_ONCE_S)
        begun.cancel()

    async def test_a_follower_is_answered_at_once_and_sent_elsewhere(self) -> None:
        view = self.node.beliefs.view
        follow = Follow(view.version, view.targets.revision, view.replicas.epoch + 1, ASK_S)
        told = await self.under_way(follow)
        stopped = self.stop()
        async with asyncio.timeout(AT_ONCE_S):
            self.assertIsInstance(await told, Followed)
            await stopped


class StoppingOnDaemonLoopTest(OnDaemonLoop, StoppingTest):
    """The same on the event loop of the daemons."""


if __name__ == "__main__":
    unittest.main()
