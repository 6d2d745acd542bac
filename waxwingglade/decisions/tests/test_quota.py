"""Limits of client accounts in any time window."""

import unittest
from itertools import chain

from hypothesis import given
from hypothesis import strategies as st

from waxwingglade.decisions.quota import Grants, QuotaRules, decide, restore_times

RULES = QuotaRules(window_s=5.0, excess=0.1, slack=20.0)


def most_in_a_span(times: list[float], span_s: float) -> int:
    """Return the greatest number of times in any span of this length."""
    return max(
        (sum(start <= at < start + span_s for at in times) for start in times),
        default=0,
    )


class RestoredTest(unittest.TestCase):
    """Stored times of processes whose clocks may have started anew at any value."""

    def test_the_last_time_of_a_process_is_that_of_the_next_process_and_differences_remain(
        self,
    ) -> None:
        self.assertEqual([[6.0, 8.0, 9.0]], restore_times([[1.0, 3.0, 4.0]], 9.0))
        self.assertEqual([[-1.0, 1.0, 2.0]], restore_times([[70.0, 72.0, 73.0]], 2.0))
        self.assertEqual(
            [[-1.0, 1.0], [], [1.0, 2.0]], restore_times([[7.0, 9.0], [], [400.0, 401.0]], 2.0)
        )
        self.assertEqual([], restore_times([], 9.0))

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 9.0), st.one_of(st.none(), st.floats(-1e5, 1e5))),
            min_size=1,
            max_size=30,
        )
    )
    def test_no_time_is_assumed_older_than_it_is(
        self, steps: list[tuple[float, float | None]]
    ) -> None:
        """A clock that starts anew ahead of the earlier one must not make grants look old."""
        true, clock = 0.0, 100.0
        times: list[list[float]] = [[]]
        moments: list[list[float]] = [[]]
        for pause_s, restarted_at in steps:
            true += pause_s
            clock += pause_s
            if restarted_at is not None:
                clock = restarted_at
                times.append([])
                moments.append([])
            times[-1].append(clock)
            moments[-1].append(true)
        restored = restore_times(times, clock)
        for moment, read in zip(chain(*moments), chain(*restored), strict=True):
            self.assertGreaterEqual(true - moment + 1e-6, clock - read)


class LimitTest(unittest.TestCase):
    def test_the_limit_of_a_window_includes_the_tolerated_excess(self) -> None:
        self.assertEqual(int(1.1 * (10 * 5 + 10) + 20), RULES.most(10.0, 10.0))
        self.assertEqual(3, QuotaRules(1.0).most(2.0, 1.0))

    @given(st.lists(st.floats(0.0, 2.0), max_size=60), st.integers(0, 12))
    def test_no_span_holds_more_than_the_limit(self, pauses: list[float], most: int) -> None:
        grants, now, passed = Grants(), 0.0, []
        for pause_s in pauses:
            now += pause_s
            if decide(grants, most, RULES, now).granted:
                grants.record(now)
                passed.append(now)
        self.assertLessEqual(most_in_a_span(passed, RULES.window_s), most)

    def test_a_retry_after_the_stated_delay_is_granted(self) -> None:
        grants = Grants()
        for at in (0.0, 1.0, 2.0):
            grants.record(at)
        refused = decide(grants, 3, RULES, 2.5)
        self.assertFalse(refused.granted)
        self.assertAlmostEqual(2.5, refused.retry_s)
        self.assertTrue(decide(grants, 3, RULES, 2.5 + refused.retry_s).granted)

    def test_a_lowered_limit_applies_at_once(self) -> None:
        grants = Grants()
        for at in range(4):
            grants.record(float(at))
        refused = decide(grants, 2, RULES, 4.0)
        self.assertAlmostEqual(3.0, refused.retry_s)
        self.assertFalse(decide(grants, 0, RULES, 4.0).granted)

    def test_a_returned_grant_is_available_again(self) -> None:
        grants = Grants()
        for at in (0.0, 1.0):
            grants.record(at)
        grants.give_back(0.0)
        self.assertEqual([1.0], list(grants.times), "the other grant still counts")


if __name__ == "__main__":
    unittest.main()
