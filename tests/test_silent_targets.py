"""Pooled connections to targets that stop carrying data, while new connections work.

Guards against a failed request for each pooled connection.  The open connections lose all data
without a close or a reset.  A request on one of them waits for its whole timeout, and the next
request would take the next dead connection from the pool.
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

LATENCY_OBJECTIVE_S = 0.4
TIMEOUT_S = 1.0
POOLED = 6
"""Number of concurrent requests, which open as many connections that are then pooled."""

CALLER_NUMBER = 100


class SilentTargets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.relays = Relays(dict)
        self.addAsyncCleanup(self.relays.close)
        self.fakes: tuple[FakeTarget, ...] = FakeTarget(), FakeTarget()

    async def start_entry(self, **fields: Any) -> EntryUnderTest:
        """Start an entry with pooled connections to its targets, each behind a relay."""
        for number, fake in enumerate(self.fakes):
            await fake.start()
            port = int(fake.address.rpartition(":")[2])
            relay = await self.relays.add(number, port, source=CALLER_NUMBER)
            fake.advertised = f"{ADDRESS}:{relay}"
        entry = EntryUnderTest(*self.fakes, target_latency_s=LATENCY_OBJECTIVE_S, **fields)
        self.addAsyncCleanup(entry.stop)
        await entry.start()
        self.set_targets(delay_s=0.015)
        await asyncio.gather(*(entry.call(PLAIN, f"first-{number}") for number in range(POOLED)))
        self.set_targets(delay_s=0.0)
        for number in range(2 * POOLED):
            await entry.call(PLAIN, f"usual-{number}")
        pooled = sum(len(each) for each in entry.ingress.pool.idle.values())
        self.assertGreaterEqual(pooled, POOLED)
        return entry

    async def fill_pool(self, entry: EntryUnderTest) -> None:
        """Let an entry have two idle connections to each target, so that one is left for a probe.

        Concurrent calls choose their targets by hash before any of them is sent.
        """
        idle = entry.ingress.pool.idle
        self.set_targets(delay_s=0.015)
        for number in range(20):
            if all(len(idle.get(fake.advertised, ())) >= 2 for fake in self.fakes):
                break
            calls = (entry.call(PLAIN, f"more-{number}-{each}") for each in range(2 * POOLED))
            await asyncio.gather(*calls)
        self.set_targets(delay_s=0.0)
        for fake in self.fakes:
            self.assertGreaterEqual(len(idle.get(fake.advertised, ())), 2)

    def set_targets(self, **fields: Any) -> None:
        """Set attributes of all targets."""
        for fake in self.fakes:
            for name, value in fields.items():
                setattr(fake, name, value)

    def requests_received(self) -> int:
        """Return how many requests the targets have received."""
        return sum(len(fake.arrived) for fake in self.fakes)

    async def test_repeatable_calls_are_answered_within_their_latency_objective(self) -> None:
        entry = await self.start_entry()
        self.relays.blackhole()
        for number in range(POOLED):
            status, seconds = await entry.call(PLAIN, f"r{number}")
            self.assertEqual(status, 200)
            self.assertLess(
                seconds, LATENCY_OBJECTIVE_S if number == 0 else LATENCY_OBJECTIVE_S / 2
            )

    async def test_one_call_that_may_not_is_lost_and_no_second_one(self) -> None:
        entry = await self.start_entry()
        before = self.requests_received()
        self.relays.blackhole()
        lost = asyncio.create_task(entry.call(ONCE, "lost"))
        await asyncio.sleep(1.5 * LATENCY_OBJECTIVE_S)
        for number in range(POOLED):
            status, seconds = await entry.call(ONCE, f"o{number}")
            self.assertEqual(status, 200)
            self.assertLess(seconds, LATENCY_OBJECTIVE_S / 2)
        status, seconds = await lost
        self.assertEqual(status, 504)
        self.assertGreater(seconds, TIMEOUT_S)
        self.assertEqual(
            self.requests_received() - before, POOLED, "the lost request was not sent again"
        )

    async def test_a_slow_request_is_not_repeated_while_other_requests_are_answered(self) -> None:
        self.fakes = self.fakes[:1]
        entry = await self.start_entry(timeout_s=2.0)
        before = self.requests_received()
        self.set_targets(delay_s=2 * LATENCY_OBJECTIVE_S)
        slow = asyncio.create_task(entry.call(PLAIN, "slow"))
        await asyncio.sleep(0.02)
        self.set_targets(delay_s=0.0)
        answered = 0
        while not slow.done():
            # These are answered on connections that were open when the slow request was sent.
            self.assertEqual((await entry.call(PLAIN, f"q{answered}"))[0], 200)
            answered += 1
            await asyncio.sleep(0.02)
        self.assertEqual(slow.result()[0], 200)
        self.assertEqual(self.requests_received() - before, 1 + answered)
        self.assertEqual(entry.ingress.pool.opened, POOLED)

    async def test_a_resumable_stream_ends_early_enough_for_the_caller_to_reconnect(
        self,
    ) -> None:
        self.set_targets(behaviour=Behaviour.EVENT)
        for resumable, shortest_s, longest_s in ((True, 0.9, 1.3), (False, 1.9, 2.4)):
            with self.subTest(resumable):
                self.fakes = FakeTarget(), FakeTarget()
                entry = await self.start_entry(resumable=resumable, max_attempts=1, timeout_s=2.0)
                await self.fill_pool(entry)
                self.set_targets(behaviour=Behaviour.EVENT)
                connection = await entry.send(TURNS)
                await connection.read_head(lambda _: True)
                self.relays.blackhole()
                started_at = time.monotonic()
                with self.assertRaises(ConnectionBroken):
                    await connection.read_body(1_000)
                seconds = time.monotonic() - started_at
                self.assertGreater(seconds, shortest_s)
                self.assertLess(seconds, longest_s)


if __name__ == "__main__":
    unittest.main()
