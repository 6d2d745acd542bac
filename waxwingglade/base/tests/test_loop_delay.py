"""The delay of an event loop that is kept from its work."""

import asyncio
import time
import unittest

from waxwingglade.base.loop_delay import DELAY_SAMPLES, LoopDelay

STALL_S = 0.3
SHORT_S = 0.001


class LoopDelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stall_is_told_until_it_is_long_ago(self) -> None:
        delay = LoopDelay()
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        await delay.sleep(SHORT_S)
        self.assertGreater(delay.longest_s, STALL_S / 2)
        for _ in range(DELAY_SAMPLES):
            await delay.sleep(SHORT_S)
        self.assertLess(delay.longest_s, STALL_S / 2)


if __name__ == "__main__":
    unittest.main()
