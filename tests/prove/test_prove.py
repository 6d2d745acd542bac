"""A short run of ``tests.prove``: fixed seeds, separate processes, all checks."""

import asyncio
import unittest

from tests.prove.run import Shape, run_seed
from tests.prove.schedule import FaultKind, make_schedule

SHAPE = Shape(rounds=4, callers=6)
SEEDS = (24, 84)
"""Seeds with kills, freezes, drains, partitions and store outages, alone and in pairs."""


class Prove(unittest.TestCase):
    def check_seed(self, seed):
        """Run a seed, and check that there are no violations and that everything recovers."""
        result = asyncio.run(run_seed(seed, SHAPE))
        self.assertEqual([], [str(violation) for violation in result.violations])
        self.assertEqual([], result.stuck)

    def test_the_first_seed(self):
        self.check_seed(SEEDS[0])

    def test_the_second_seed(self):
        self.check_seed(SEEDS[1])


class Schedules(unittest.TestCase):
    def test_a_schedule_is_determined_by_its_seed(self):
        self.assertEqual(make_schedule(7, 5, 4), make_schedule(7, 5, 4))
        self.assertNotEqual(make_schedule(7, 5, 4), make_schedule(8, 5, 4))

    def test_the_seeds_cover_the_required_kinds_of_faults(self):
        kinds = {
            fault.kind
            for seed in SEEDS
            for faults in make_schedule(seed, SHAPE.rounds, len(SHAPE.zones))
            for fault in faults
        }
        required = {
            FaultKind.KILL_ENTRY,
            FaultKind.FREEZE_ENTRY,
            FaultKind.DRAIN_ENTRY,
            FaultKind.CUT_STALL,
            FaultKind.STORE_REFUSE,
            FaultKind.STORE_LOST_ANSWERS,
        }
        self.assertLessEqual(required, kinds)
