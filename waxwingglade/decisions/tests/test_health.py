"""Ejection of targets, its bound, and readmission."""

import unittest

from waxwingglade.base import ErrorCode, Failure, TargetId, Verdict
from waxwingglade.decisions import TargetView, health
from waxwingglade.decisions.tests.builders import FakeClock, engine, table
from waxwingglade.settings import Urgency

BROKEN = Failure(Verdict.NOT_RUN, ErrorCode.UNAVAILABLE, "connection refused")
CANCELLED = Failure(Verdict.NOT_RUN, ErrorCode.CANCELLED, "the caller left")
DRAINING = Failure(Verdict.NOT_RUN, ErrorCode.DRAINING, "shutting down")


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        engines = [engine(f"engine-{number}") for number in range(6)]
        self.table = table(
            self.clock, *engines, eject_after=3, eject_s=5.0, eject_max_share=0.34, slow_ratio=3.0
        )
        self.views = list(self.table.targets.values())

    def fail(self, view: TargetView, failure: Failure = BROKEN, times: int = 3) -> None:
        for _ in range(times):
            health.record_failure(self.table, view, failure)

    def usable(self) -> int:
        return sum(self.table.usable(view) for view in self.views)

    def test_consecutive_failures_eject(self) -> None:
        self.fail(self.views[0], times=2)
        self.assertEqual(self.usable(), 6)
        self.fail(self.views[0], times=1)
        self.assertFalse(self.table.has_capacity(self.views[0], Urgency.URGENT))

    def test_success_between_failures_prevents_ejection(self) -> None:
        self.fail(self.views[0], times=2)
        health.record_success(self.views[0])
        self.fail(self.views[0], times=2)
        self.assertEqual(self.usable(), 6)

    def test_failures_not_caused_by_the_target_do_not_eject(self) -> None:
        self.fail(self.views[0], CANCELLED, times=9)
        self.assertEqual(self.usable(), 6)

    def test_no_more_than_the_share_is_ejected(self) -> None:
        for view in self.views:
            self.fail(view)
        self.assertEqual(self.usable(), 4)

    def test_target_that_reports_draining_is_leaving_at_once(self) -> None:
        self.fail(self.views[0], DRAINING, times=1)
        self.assertTrue(self.views[0].leaving)

    def test_target_that_never_succeeds_is_ejected_again(self) -> None:
        view = self.views[0]
        view.ejections = 2_000
        self.fail(view)
        self.assertEqual(self.usable(), 5)

    def test_ejected_target_starts_slowly_and_each_ejection_is_longer(self) -> None:
        view = self.views[0]
        self.fail(view)
        self.clock.advance(4.9)
        self.assertEqual(health.readmit(self.table), [])
        self.clock.advance(0.1)
        self.assertEqual(health.readmit(self.table), [view])
        self.assertEqual(self.table.limit(view, Urgency.NORMAL), 1)
        self.assertTrue(view.on_trial)
        self.fail(view)
        self.clock.advance(9.9)
        self.assertEqual(health.readmit(self.table), [])
        self.clock.advance(0.1)
        self.assertEqual(health.readmit(self.table), [view])

    def observe_speeds(self, *s_per_token: float) -> None:
        for view, seconds in zip(self.views, s_per_token, strict=True):
            for _ in range(30):
                view.observe_decode(100, 100 * seconds)

    def test_slow_target_is_ejected_and_readmitted_with_the_median_speed(self) -> None:
        self.observe_speeds(0.4, 0.1, 0.1, 0.1, 0.1, 0.1)
        for view in self.views:
            health.check_speed(self.table, view)
        self.assertFalse(self.table.usable(self.views[0]))
        self.assertEqual(self.usable(), 5)
        self.clock.advance(5.0)
        health.readmit(self.table)
        usual = self.views[1].decode_s_per_token
        self.assertAlmostEqual(self.views[0].decode_s_per_token, usual)

    def test_targets_that_are_all_slow_are_not_ejected(self) -> None:
        for view in self.views:
            for _ in range(30):
                view.observe_decode(100, 40.0)
                health.check_speed(self.table, view)
        self.assertEqual(self.usable(), 6)


class RemovedTargetTest(unittest.TestCase):
    def test_ejected_target_that_is_removed_no_longer_counts(self) -> None:
        clock = FakeClock()
        targets = table(clock, *[engine(f"engine-{number}") for number in range(3)])
        first, second, _ = targets.targets.values()
        self.assertTrue(health.eject(targets, first))
        self.assertFalse(health.eject(targets, second))
        targets.remove(TargetId("engine-0"))
        targets.add(engine("engine-3"))
        self.assertTrue(health.eject(targets, second))
        clock.advance(60.0)
        self.assertEqual(health.readmit(targets), [second])


if __name__ == "__main__":
    unittest.main()
