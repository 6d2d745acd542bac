"""Connections to targets that fall silent for good, while new ones work.

What callers would see: every kept connection to a target carries nothing any more, and nobody is
told. A request sent on one waits until its time is over, and the next one takes the next dead
connection, so that as many requests fail as connections were kept.
"""

import asyncio
import time
import unittest
from typing import Any

from tests.prove.relay import ADDRESS, Relays
from waxwingglade.ingress.tests.entry_builders import (
    ONCE,
    PLAIN,
    TURNS,
    Behaviour,
    EntryUnderTest,
    FakeTarget,
)
from waxwingglade.transport import ConnectionBroken

OBJECTIVE_S = 0.4
TIMEOUT_S = 1.0
KEPT = 6
"""Requests at once, by which as many connections are opened and then kept."""

CALLER = 100


class SilentTargets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.relays = Relays(dict)
        self.addAsyncCleanup(self.relays.close)
        self.fakes: tuple[FakeTarget, ...] = FakeTarget(), FakeTarget()

    async def begin(self, **fields: Any) -> EntryUnderTest:
        """Start an entry that reaches two targets through relays, and keeps connections to them."""
        for number, fake in enumerate(self.fakes):
            await fake.start()
            port = int(fake.address.rpartition(":")[2])
            relay = await self.relays.add(number, port, source=CALLER)
            fake.advertised = f"{ADDRESS}:{relay}"
        entry = EntryUnderTest(*self.fakes, target_latency_s=OBJECTIVE_S, **fields)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        self.use(delay_s=0.015)
        await asyncio.gather(*(entry.call(PLAIN, f"first-{number}") for number in range(KEPT)))
        self.use(delay_s=0.0)
        for number in range(2 * KEPT):
            await entry.call(PLAIN, f"usual-{number}")
        kept = sum(len(each) for each in entry.ingress.pool.idle.values())
        self.assertGreaterEqual(kept, KEPT)
        return entry

    def use(self, **fields: Any) -> None:
        """Set attributes of both targets."""
        for fake in self.fakes:
            for name, value in fields.items():
                setattr(fake, name, value)

    def arrived(self) -> int:
        """Return how many requests the targets have read."""
        return sum(len(fake.arrived) for fake in self.fakes)

    async def test_calls_that_may_be_repeated_are_answered_within_their_objective(self) -> None:
        entry = await self.begin()
        self.relays.silence()
        for number in range(KEPT):
            status, seconds = await entry.call(PLAIN, f"r{number}")
            self.assertEqual(status, 200)
            self.assertLess(seconds, OBJECTIVE_S if number == 0 else OBJECTIVE_S / 2)

    async def test_one_call_that_may_not_is_lost_and_no_second_one(self) -> None:
        entry = await self.begin()
        before = self.arrived()
        self.relays.silence()
        lost = asyncio.create_task(entry.call(ONCE, "lost"))
        await asyncio.sleep(1.5 * OBJECTIVE_S)
        for number in range(KEPT):
            status, seconds = await entry.call(ONCE, f"o{number}")
            self.assertEqual(status, 200)
            self.assertLess(seconds, OBJECTIVE_S / 2)
        status, seconds = await lost
        self.assertEqual(status, 504)
        self.assertGreater(seconds, TIMEOUT_S)
        self.assertEqual(self.arrived() - before, KEPT, "the lost one was not sent again")

    async def test_a_slow_target_is_left_in_peace_while_other_requests_are_answered(self) -> None:
        self.fakes = self.fakes[:1]
        entry = await self.begin(timeout_s=2.0)
        before = self.arrived()
        self.use(delay_s=2 * OBJECTIVE_S)
        slow = asyncio.create_task(entry.call(PLAIN, "slow"))
        await asyncio.sleep(0.02)
        self.use(delay_s=0.0)
        quick = 0
        while not slow.done():
            # Answered on connections that were open when the slow one was sent.
            self.assertEqual((await entry.call(PLAIN, f"q{quick}"))[0], 200)
            quick += 1
            await asyncio.sleep(0.02)
        self.assertEqual(slow.result()[0], 200)
        self.assertEqual(self.arrived() - before, 1 + quick)
        self.assertEqual(entry.ingress.pool.opened, KEPT)

    async def test_a_stream_that_may_be_resumed_ends_in_time_for_the_caller_to_come_back(
        self,
    ) -> None:
        self.use(behaviour=Behaviour.EVENT)
        for resumable, shortest_s, longest_s in ((True, 0.9, 1.3), (False, 1.9, 2.4)):
            with self.subTest(resumable):
                self.fakes = FakeTarget(), FakeTarget()
                entry = await self.begin(resumable=resumable, max_attempts=1, timeout_s=2.0)
                self.use(behaviour=Behaviour.EVENT)
                connection = await entry.send(TURNS)
                await connection.read_head(lambda _: True)
                self.relays.silence()
                began_at = time.monotonic()
                with self.assertRaises(ConnectionBroken):
                    await connection.read_body(1_000)
                seconds = time.monotonic() - began_at
                self.assertGreater(seconds, shortest_s)
                self.assertLess(seconds, longest_s)


if __name__ == "__main__":
    unittest.main()
