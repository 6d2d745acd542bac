"""Conversations whose turns were stored while the ledger processes were restarted one by one.

Guards against conversations that can't go on after planned restarts, as a process that was away
while a turn was stored stays without it.  The entry's log then has ``the ledger did not decide``
for each turn of such a conversation while one of the other processes is away.
"""

import asyncio
import signal
import unittest

from tests.platform_cluster import Node, PlatformCluster

TURNS = 'waxwingglade_ledger_state{name="turns"}'
PROGRAMS = ("p1", "p2", "p3")
REPAIRED_S = 10.0
"""Seconds within which a process must have all turns after its restart."""


class RolledLedger(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = PlatformCluster(entries=2)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def take_turns(self, number: int) -> None:
        """Take the next turn of each conversation; each must be answered."""
        for index, program in enumerate(PROGRAMS):
            entry = self.cluster.entries[(number + index) % 2]
            headers = {"program_id": program, "session_id": program}
            if number > 1:
                headers["previous_turn"] = f"{program}-{number - 1}"
            answer = await self.cluster.turn(entry, f"{program}-{number}", b"asks", **headers)
            self.assertEqual(answer.status, 200, answer.body)

    async def terminate(self, node: Node) -> None:
        """Stop a process as the platform does before a restart."""
        node.signal(signal.SIGTERM)
        assert node.process is not None
        await asyncio.to_thread(node.process.wait)

    async def turns(self, node: Node) -> str:
        """Return how many turns a process has, by its metrics page."""
        page = await self.cluster.page(node)
        return next(line for line in page.splitlines() if line.startswith(TURNS))

    async def until_complete(self) -> None:
        """Wait until all ledger processes have the same number of turns."""
        counts = set()
        try:
            async with asyncio.timeout(REPAIRED_S):
                while len(counts) != 1:
                    await asyncio.sleep(0.1)
                    counts = {await self.turns(node) for node in self.cluster.ledgers}
        except TimeoutError:
            self.fail(f"a process stays without some turns: {counts}")

    async def test_conversations_go_on_while_any_process_is_away_later(self) -> None:
        await self.take_turns(1)
        for number, node in enumerate(self.cluster.ledgers, 2):
            await self.terminate(node)
            await self.take_turns(number)
            node.start()
            await self.cluster.until(lambda node=node: node.has_started)
            await self.until_complete()


if __name__ == "__main__":
    unittest.main()
