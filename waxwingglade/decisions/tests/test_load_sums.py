"""Sums of the loads that entries and members report."""

import unittest

from waxwingglade.base import ZoneId
from waxwingglade.decisions.load_hubs import hub_order, hubs_of
from waxwingglade.decisions.load_sums import (
    FORGET_S,
    LEARNING_S,
    MEMBER_EXPIRY_S,
    REPORT_EXPIRY_S,
    SLOWNESS_HALF_LIFE_S,
    LoadSums,
)
from waxwingglade.decisions.shared_load import EntryLoad, TargetLoad
from waxwingglade.follow.model import Replica


class LoadSumsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 128.0
        self.sums = LoadSums(lambda: self.now)

    def report(self, process: str, **loads: EntryLoad) -> None:
        """Record the report of an entry, or of a member, whose names begin with m."""
        self.sums.record(process, dict(loads), not process.startswith("m"))

    def test_a_process_learns_what_the_others_last_reported(self) -> None:
        self.report("e1", a=EntryLoad(7, 900), b=EntryLoad(1, 50))
        self.report("e1", a=EntryLoad(2, 300))
        self.report("e2", a=EntryLoad(4, 500))
        self.report("m1", a=EntryLoad(8, 900))
        self.assertEqual({"a": TargetLoad(12, 1400), "b": TargetLoad()}, self.sums.loads_for("e1"))
        self.assertEqual(TargetLoad(14, 1700), self.sums.loads_for("e3")["a"])

    def test_a_process_that_ended_counts_no_longer(self) -> None:
        self.report("e1", a=EntryLoad(2))
        self.report("m1", a=EntryLoad(8))
        for seconds, left in ((MEMBER_EXPIRY_S, 2), (REPORT_EXPIRY_S - MEMBER_EXPIRY_S, 0)):
            self.sums.changed = False
            self.now += seconds
            self.sums.expire()
            self.assertEqual(left, self.sums.loads_for("")["a"].in_flight)
        self.assertTrue(self.sums.changed, "other members have to be told")
        self.assertLess(REPORT_EXPIRY_S, 2.0)
        self.now += FORGET_S
        self.sums.expire()
        self.assertEqual({}, self.sums.targets)

    def test_the_latest_stretch_holds_in_any_order_of_reports(self) -> None:
        self.report("e1", a=EntryLoad(1, stretch=2.5, stretch_age_s=0.25))
        self.report("m1", a=EntryLoad(1, stretch=1.0, stretch_age_s=0.5))
        self.now += 0.5
        load = self.sums.loads_for("")["a"]
        self.assertEqual((2.5, 0.75), (load.stretch, load.stretch_age_s))

    def test_slowness_is_an_average_of_recent_turns(self) -> None:
        self.report("e1", a=EntryLoad(slowness_sum=6.0, turns=3))
        self.report("m1", a=EntryLoad(slowness_sum=4.0, turns=1))
        self.assertEqual(TargetLoad(slowness=2.5, turns=4.0), self.sums.loads_for("")["a"])
        self.now += SLOWNESS_HALF_LIFE_S
        self.report("e1", a=EntryLoad(slowness_sum=2.0, turns=2))
        self.assertEqual(TargetLoad(slowness=1.75, turns=4.0), self.sums.loads_for("")["a"])

    def test_failures_count_until_any_entry_succeeds(self) -> None:
        self.report("e1", a=EntryLoad(failures=2))
        self.report("m1", a=EntryLoad(failures=1))
        self.now += 0.25
        load = self.sums.loads_for("")["a"]
        self.assertEqual((3, 0.25), (load.failures, load.failed_age_s))
        self.assertEqual(2, self.sums.take_entries_loads()["a"].failures)
        self.report("e2", a=EntryLoad(successes=1))
        self.assertEqual(TargetLoad(), self.sums.loads_for("")["a"])
        self.assertEqual(1, self.sums.take_entries_loads()["a"].successes)

    def test_members_are_told_the_sums_of_entries_and_observations_once(self) -> None:
        self.report("e1", a=EntryLoad(2, 300, 2.5, 0.25, 3.0, 2))
        self.report("e2", a=EntryLoad(1, 100, slowness_sum=1.5, turns=1))
        self.report("m1", a=EntryLoad(8, 900, 2.0, 0.5, 9.0, 3), b=EntryLoad(1))
        self.assertTrue(self.sums.changed)
        told = self.sums.take_entries_loads()
        self.assertEqual({"a": EntryLoad(3, 400, 2.5, 0.25, 4.5, 3)}, told)
        self.assertFalse(self.sums.changed)
        self.assertEqual({"a": EntryLoad(3, 400)}, self.sums.take_entries_loads())

    def test_the_sums_are_incomplete_after_the_first_report(self) -> None:
        self.report("e1", a=EntryLoad(2))
        self.assertTrue(self.sums.is_learning)
        self.now += LEARNING_S
        self.assertFalse(self.sums.is_learning)


class HubsTest(unittest.TestCase):
    def test_entries_of_a_zone_agree_on_a_hub_in_it(self) -> None:
        members = [Replica(f"d{n}", f"vm{n}", f"at-{n}", ZoneId(f"z{n % 2}")) for n in range(6)]
        orders = [hub_order(ZoneId(zone), members[::-1]) for zone in ("z0", "z1")]
        self.assertEqual({"z1"}, {member.zone for member in orders[1][:3]})
        self.assertEqual([order[0] for order in orders], hubs_of(members))


if __name__ == "__main__":
    unittest.main()
