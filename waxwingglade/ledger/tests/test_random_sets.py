"""No stored turn is denied and no budget exceeded while members join, are wiped and removed.

Guards against denying a turn that was stored just before a change of the set.  That needs callers
who continue the newest turn at once through another replica, while a member joins beside running
ones.  In the soak test members join only for lost disks, so the two others have all stored turns.
"""

import asyncio
import unittest

from loguru import logger

from waxwingglade.ledger.tests.machines import quick_disks, quick_times
from waxwingglade.ledger.tests.random_sets import RandomSets

SEEDS = range(1, 5)
SECONDS = 13.0
"""Duration of changes for each seed in seconds; all seeds run concurrently."""

FLUSH_S = 0.002
"""Longest duration of a flush in seconds."""


class RandomSetsTest(unittest.TestCase):
    """Runs outside the event loop of unittest, whose debug mode makes tasks ten times slower."""

    def test_no_stored_turn_is_denied_and_no_budget_exceeded(self) -> None:
        for run in asyncio.run(run_all()):
            with self.subTest(seed=run.seed):
                self.assertEqual(run.violations, [])
                self.assertGreater(run.changes, 0)
                self.assertGreater(len(run.kept), 0)


async def run_all() -> list[RandomSets]:
    """Run all seeds concurrently."""
    runs = [RandomSets(seed) for seed in SEEDS]
    # Logging of all replicas of all seeds takes longer than their other work.
    logger.disable("waxwingglade.ledger")
    with quick_times(), quick_disks(FLUSH_S):
        try:
            await asyncio.gather(*(run.run(SECONDS) for run in runs))
        finally:
            await asyncio.gather(*(run.stop() for run in runs))
            logger.enable("waxwingglade.ledger")
    return runs


if __name__ == "__main__":
    unittest.main()
