"""Reservations of a refused turn, if every process that knew of the refusal is killed.

Guards against a reservation that is counted forever.  An entry stalls while the ledger reserves a
turn's tokens for it, then refuses the turn as not run.  It is killed together with all ledger
processes before any of them has stored the end of the turn.  If a reservation counts as soon as a
majority has accepted it, whether or not its entry learns of it, the program's next turn is denied
with 402, although the budget covers one more turn.  The log then shows ``budget spent`` with
``reserved`` 40, long after ``request`` with 503 for the turn that holds the reservation, and no
``reservations of ended turns``.
"""

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable

from tests.platform_cluster import Node
from tests.soak.cluster import SoakCluster

BUDGET = 80
"""Tokens, enough for two turns of 40."""

FLUSH_S = 0.1
"""Seconds that a ledger process takes to flush a reservation to disk."""

FLUSHED_S = 0.5
"""Seconds after which all ledger processes have flushed it."""

BEGIN_TIMEOUT_S = 1.0
"""Seconds after which an entry stops waiting for a turn to begin."""

ROUNDS = 3
MAX_ATTEMPTS = 10
NOT_RUN = 503


class LostRefusal(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = SoakCluster(entries=2, flush_s=FLUSH_S)
        self.addAsyncCleanup(self.cluster.shut)
        await self.cluster.open()

    async def reserve_while_stopped(self, entry: Node, name: str, program: dict) -> asyncio.Task:
        """Send a turn whose reservation is made while its entry is stopped; return the request.

        The entry resumes when it can only refuse the turn, since the ledger is stopped by then.
        """
        request = asyncio.create_task(self.cluster.turn(entry, name, b"asks", **program))
        await asyncio.sleep(FLUSH_S / 2)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(FLUSHED_S)
        for ledger in self.cluster.ledgers:
            ledger.signal(signal.SIGSTOP)
        await asyncio.sleep(BEGIN_TIMEOUT_S)
        entry.signal(signal.SIGCONT)
        return request

    async def restart(self) -> None:
        """Kill all processes, and restart them."""
        for node in self.cluster.nodes():
            node.kill()
        for node in self.cluster.nodes():
            node.start()
        for entry in self.cluster.entries:
            await self.cluster.until_ready(entry)

    async def next_turn_status(self, entry: Node, name: str, program: dict) -> int:
        """Repeat the next turn until it is not refused as not run; return its status."""
        for attempt in range(MAX_ATTEMPTS):
            answer = await self.cluster.turn(entry, f"{name}-{attempt}", b"goes on", **program)
            if answer.status != NOT_RUN:
                return answer.status
        return NOT_RUN

    async def check(self, wait_before_kill: Callable[[asyncio.Task], Awaitable[None]]) -> None:
        """Check that a program continues after a restart that follows a refused reservation."""
        first, second = self.cluster.entries
        for number in range(ROUNDS):
            program = {"program_id": f"p{number}", "token_budget": BUDGET}
            answer = await self.cluster.turn(first, f"whole-{number}", b"asks", **program)
            self.assertEqual(200, answer.status, answer.body)
            request = await self.reserve_while_stopped(first, f"lost-{number}", program)
            await wait_before_kill(request)
            await self.restart()
            await asyncio.gather(request, return_exceptions=True)
            self.assertEqual(200, await self.next_turn_status(second, f"next-{number}", program))

    async def test_a_refused_turns_reservation_does_not_outlive_a_full_restart(self) -> None:
        async def wait_for_refusal(request: asyncio.Task) -> None:
            self.assertEqual(NOT_RUN, (await request).status)

        await self.check(wait_for_refusal)

    async def test_a_reservation_does_not_outlive_an_entry_killed_on_resuming(self) -> None:
        await self.check(lambda _: asyncio.sleep(0.03))


if __name__ == "__main__":
    unittest.main()
