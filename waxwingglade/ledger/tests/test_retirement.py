"""Reports of retiring VMs to a store that fails some or all of them."""

import unittest

from waxwingglade.connection.tests.store_builders import ManualClock
from waxwingglade.follow.store import KeyTooLong
from waxwingglade.follow.tests.builders import MemoryStore
from waxwingglade.ledger.retirement import RetirementReports, RetirementState
from waxwingglade.ledger.tests.log_capture import logged_lines

COMPLETED = RetirementState.COMPLETED
NOT_REPORTED = "state of a retiring VM not reported"


class StoreOfShortKeys(MemoryStore):
    """A store that takes keys of ten characters."""

    def _call(self, key: str = "") -> None:
        if len(key) > 10:
            raise KeyTooLong(f"{key} has {len(key)} characters")
        super()._call(key)


class Reports(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = StoreOfShortKeys()
        self.reports = RetirementReports(self.store, "status/", self.clock)

    async def report(self, *vms: str) -> list[str]:
        """Report VMs as completed; return the keys in the store."""
        await self.reports.report(dict.fromkeys(vms, COMPLETED))
        return sorted(self.store.items)

    async def test_a_name_that_is_too_long_costs_no_call_and_one_warning(self) -> None:
        with logged_lines(NOT_REPORTED) as lines:
            for _ in range(3):
                self.assertEqual(["status/b"], await self.report("a" * 9, "b"))
                self.clock.now += 1000.0
        self.assertEqual(2, self.store.calls["all"])
        self.assertEqual([("a" * 9, 16)], [(line["vm"], line["key_bytes"]) for line in lines])

    async def test_a_report_that_fails_each_time_is_made_every_two_seconds(self) -> None:
        """Guards against a priced call at each check for an order that can't be reported."""
        self.store.failing_keys = {"status/a"}
        with logged_lines(NOT_REPORTED) as lines:
            for _ in range(400):
                await self.report("a", "b")
                self.clock.now += 0.1
        self.assertEqual(["status/b"], sorted(self.store.items))
        self.assertLess(self.store.calls["all"], 2 + 25)
        self.assertEqual(1, len(lines))
        self.store.failing_keys = set()
        self.clock.now += 2.0
        self.assertEqual(["status/a", "status/b"], await self.report("a", "b"))
        self.assertEqual({}, self.reports.failed)

    async def test_a_store_that_is_away_is_called_once_in_a_check(self) -> None:
        self.store.unavailable = True
        await self.report("a", "b", "c")
        self.assertEqual(1, self.store.calls["all"])
        self.store.unavailable = False
        self.assertEqual(["status/b", "status/c"], await self.report("a", "b", "c"))
        self.clock.now += 0.3
        self.assertEqual(["status/a", "status/b", "status/c"], await self.report("a", "b", "c"))

    async def test_an_order_that_is_given_again_is_reported_again(self) -> None:
        await self.report("a")
        await self.report()
        self.store.put("status/a", None)
        self.assertEqual(["status/a"], await self.report("a"))


if __name__ == "__main__":
    unittest.main()
