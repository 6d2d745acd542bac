"""Tests of the measured delay of an event loop that is blocked."""

import asyncio
import time
import unittest

from waxwingglade.base.loop_delay import DELAY_SAMPLES, LoopDelay

STALL_S = 0.3
SHORT_S = 0.001


class LoopDelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stall_is_reported_until_enough_later_sleeps_have_ended(self) -> None:
        delay = LoopDelay()
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        await delay.sleep(SHORT_S)
        self.assertGreater(delay.longest_s, STALL_S / 2)
        for _ in range(DELAY_SAMPLES):
            await delay.sleep(SHORT_S)
        self.assertLess(delay.longest_s, STALL_S / 2)

    async def test_a_late_sleep_is_overdue_only_until_it_ends(self) -> None:
        """Guards against a stall that is subtracted both from its delay and as overdue."""
        delay = LoopDelay()
        overdue_s: list[float] = []

        def stall() -> None:
            time.sleep(STALL_S)
            overdue_s.append(delay.overdue_s)

        asyncio.get_running_loop().call_soon(stall)
        await delay.sleep(SHORT_S)
        self.assertGreater(overdue_s[0], STALL_S / 2)
        self.assertEqual(delay.overdue_s, 0.0)


if __name__ == "__main__":
    unittest.main()
