"""The next turn of a program after one of its turns was refused.

Guards against a refused turn that uses up the program's budget.  The ledger processes stall, and an
entry refuses a turn as not run since they did not answer in time.  When they resume, they still
reserve the turn's tokens, and deny the caller's next turn through another entry.  This happens if
the end of the turn is sent to one replica after the other, and each replica ignores it until a
majority has committed it.  The log then shows ``turn not begun`` or ``replica not asked`` for a
turn, ``budget spent`` with ``reserved`` 40 for the next one, and later ``turn not settled`` for the
first.
"""

import asyncio
import signal
import unittest

from tests.platform_cluster import Node, PlatformCluster

BUDGET = 80
"""Tokens, enough for two turns of 40."""

ROUNDS = 3
MAX_ATTEMPTS = 40
NOT_RUN = 503


class RefusedTurn(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=2)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    def signal_ledgers(self, number: signal.Signals, except_for: str = "") -> None:
        """Stop or resume all ledger processes except one."""
        for node in self.cluster.ledgers:
            if node.name != except_for:
                node.signal(number)

    def first_replica(self, entry: Node, turn: str) -> str:
        """Return the ledger process that receives a turn, and later its end, first."""
        lines = [line for line in entry.logs() if line.get("turn") == turn]
        return next(line["replica"] for line in lines if line["event"] == "replica not asked")

    async def test_the_next_turn_succeeds_through_another_entry(self) -> None:
        first, second = self.cluster.entries
        for number in range(ROUNDS):
            program = {"program_id": f"p{number}", "token_budget": BUDGET}
            answer = await self.cluster.turn(first, f"whole-{number}", b"asks", **program)
            self.assertEqual(200, answer.status, answer.body)
            self.signal_ledgers(signal.SIGSTOP)
            refused = await self.cluster.turn(first, f"refused-{number}", b"asks", **program)
            self.assertEqual(NOT_RUN, refused.status)
            still_stopped = self.first_replica(first, f"refused-{number}")
            self.signal_ledgers(signal.SIGCONT, except_for=still_stopped)
            self.assertEqual(200, await self.next_turn_status(second, number, program))
            self.signal_ledgers(signal.SIGCONT)
            await self.cluster.until_ready(first)

    async def next_turn_status(self, entry: Node, number: int, program: dict) -> int:
        """Repeat the next turn until it is not refused as not run; return its status."""
        for attempt in range(MAX_ATTEMPTS):
            name = f"next-{number}-{attempt}"
            answer = await self.cluster.turn(entry, name, b"goes on", **program)
            if answer.status != NOT_RUN:
                return answer.status
            await asyncio.sleep(0.02)
        return NOT_RUN


if __name__ == "__main__":
    unittest.main()
