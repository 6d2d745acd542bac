"""A ledger process that has more to do than it can answer in time."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from waxwingglade.base import ProgramId, ZoneId
from waxwingglade.follow.tests.builders import KEYS, MemoryStore
from waxwingglade.ledger.messages import BeginTurn, Busy, EndTurn, TurnBegun, TurnEnded, TurnId
from waxwingglade.ledger.node import MOST_BEGINNING, LedgerNode, LedgerSettings


class SheddingTest(unittest.IsolatedAsyncioTestCase):
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

    async def test_turns_beyond_a_bound_are_refused_at_once_and_others_still_end(self) -> None:
        begin = BeginTurn(TurnId("t"), ProgramId("p"), 40, 100)
        begun = [asyncio.create_task(self.node.answer(begin)) for _ in range(MOST_BEGINNING)]
        await asyncio.sleep(0)
        self.assertEqual(await self.node.answer(begin), Busy())
        end = EndTurn(TurnId("t"), ProgramId("p"), 40)
        self.assertEqual(await self.node.answer(end), TurnEnded(True, True))
        self.go_on.set()
        self.assertEqual(await asyncio.gather(*begun), [TurnBegun()] * MOST_BEGINNING)
        self.assertEqual(await self.node.answer(begin), TurnBegun())


if __name__ == "__main__":
    unittest.main()
