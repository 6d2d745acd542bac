"""A short soak run in which others write to the store what no process can use."""

import unittest
from pathlib import Path

from tests.soak.kinds import FaultKind
from tests.soak.run import Size, soak

ARTIFACTS = Path("runs/soak")
KINDS = (FaultKind.ODD_ENTRIES, FaultKind.ODD_ORDERS, FaultKind.LARGE_ITEMS)
SHORT = Size(seconds=5.0, entries=2, programs=4, plain=4, kinds=KINDS, sub_agents=0, fatal=0)
SEED = 72001


class ShortSoak(unittest.IsolatedAsyncioTestCase):
    async def test_foreign_writes_keep_no_process_from_changes_nor_vms_from_reports(self) -> None:
        """Guards against one item of another writer that spoils what others write."""
        outcome = await soak(SEED, SHORT, ARTIFACTS)
        self.assertEqual([], outcome.violations)
        self.assertGreater(outcome.served, 0)
        self.assertGreaterEqual(outcome.faults, len(KINDS))


if __name__ == "__main__":
    unittest.main()
