"""A program goes on after one of its turns was refused, as far as its budget reaches.

What happened: the ledger's processes stood still for moments, and an entry refused a turn as not
run because they did not decide in time.  When they went on, they reserved the turn's tokens all the
same, and told the caller's next turn, through another entry, that the budget was spent.

Why: the turn's end was told to one replica after the other, and each kept it to itself until a
majority had settled it.

What showed it: ``turn not begun`` or ``replica not asked`` for a turn, then ``budget spent`` with
``reserved`` 40 for the next one, and only after that ``turn not settled`` for the first.
"""

import asyncio
import signal
import unittest

from tests.platform_cluster import Node, PlatformCluster

BUDGET = 80
"""Tokens: enough for two turns of forty."""

ROUNDS = 3
TRIES = 40
NOT_RUN = 503


class RefusedTurn(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=2)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    def signal_ledgers(self, number: signal.Signals, but: str = "") -> None:
        """Let all ledger processes but one stand still or go on."""
        for node in self.cluster.ledgers:
            if node.name != but:
                node.signal(number)

    def first_asked(self, entry: Node, turn: str) -> str:
        """Return the ledger process that an entry asked first, and asks first to settle a turn."""
        lines = [line for line in entry.logs() if line.get("turn") == turn]
        return next(line["replica"] for line in lines if line["event"] == "replica not asked")

    async def test_the_next_turn_is_served_through_another_entry(self) -> None:
        first, second = self.cluster.entries
        for number in range(ROUNDS):
            program = {"program_id": f"p{number}", "token_budget": BUDGET}
            answer = await self.cluster.turn(first, f"whole-{number}", b"asks", **program)
            self.assertEqual(200, answer.status, answer.body)
            self.signal_ledgers(signal.SIGSTOP)
            refused = await self.cluster.turn(first, f"refused-{number}", b"asks", **program)
            self.assertEqual(NOT_RUN, refused.status)
            still = self.first_asked(first, f"refused-{number}")
            self.signal_ledgers(signal.SIGCONT, but=still)
            self.assertEqual(200, await self.go_on(second, number, program))
            self.signal_ledgers(signal.SIGCONT)
            await self.cluster.until_ready(first)

    async def go_on(self, entry: Node, number: int, program: dict) -> int:
        """Send the next turn until it is not refused as not run; return its status."""
        for attempt in range(TRIES):
            name = f"next-{number}-{attempt}"
            answer = await self.cluster.turn(entry, name, b"goes on", **program)
            if answer.status != NOT_RUN:
                return answer.status
            await asyncio.sleep(0.02)
        return NOT_RUN


if __name__ == "__main__":
    unittest.main()
