"""Turns begin and end in time though others of their program begin and end at the same moment."""

import unittest

from waxwingglade.ledger.client import ASK_S
from waxwingglade.ledger.tests.crowds import Crowd

AGENTS = 24
SEEDS = range(1, 5)


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Sub-agents of one program, through entries of all zones, on disks that take their time."""

    async def crowd(self, seed: int) -> Crowd:
        crowd = Crowd(seed)
        self.addAsyncCleanup(crowd.stop)
        await crowd.run(AGENTS)
        self.assertGreater(crowd.begun, 0)
        return crowd

    async def test_no_whole_answer_waits_for_other_turns_of_its_program(self) -> None:
        crowds = [await self.crowd(seed) for seed in SEEDS]
        for crowd in crowds:
            self.assertTrue(all(kept for kept, _ in crowd.ended))
            self.assertLess(max(seconds for _, seconds in crowd.ended), ASK_S)


if __name__ == "__main__":
    unittest.main()
