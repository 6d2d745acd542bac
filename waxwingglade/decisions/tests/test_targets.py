"""Load, cached blocks and states of targets, as estimated by one entry."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingglade.base import TargetId
from waxwingglade.decisions import CacheEvents, LoadReport
from waxwingglade.decisions.cache_index import CacheIndex
from waxwingglade.decisions.tests.builders import MODEL, FakeClock, blocks, engine, table
from waxwingglade.settings import Urgency

A = TargetId("a")


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = table(self.clock, engine("a", slots=4), stale_load_s=10.0)
        self.view = self.table.targets[A]

    def send(self, count: int = 1) -> None:
        self.view.record_in_flight(self.clock(), count)
        self.table.refresh(self.view)

    def report(self, running: int, age_s: float = 0.0) -> None:
        self.table.report_load(A, LoadReport(running, age_s=age_s))

    def test_own_calls_since_the_report_are_added(self) -> None:
        self.clock.advance(1.0)
        self.send(2)
        self.report(running=1, age_s=0.5)
        self.assertEqual(self.view.load, 3)

    def test_own_calls_before_the_report_are_not_counted_twice(self) -> None:
        self.send(2)
        self.clock.advance(1.0)
        self.report(running=3, age_s=0.5)
        self.assertEqual(self.view.load, 3)

    def test_own_calls_that_ended_since_the_report_are_subtracted(self) -> None:
        self.send(2)
        self.clock.advance(1.0)
        self.send(-2)
        self.report(running=3, age_s=0.5)
        self.assertEqual(self.view.load, 1)

    def test_older_report_does_not_replace_a_newer_one(self) -> None:
        self.clock.advance(5.0)
        self.report(running=1)
        self.report(running=9, age_s=3.0)
        self.assertEqual(self.view.load, 1)

    def test_report_expires(self) -> None:
        self.report(running=9)
        self.clock.advance(9.0)
        self.assertEqual(self.table.expire_reports(), [])
        self.clock.advance(3.0)
        self.assertEqual(self.table.expire_reports(), [self.view])
        self.assertTrue(self.table.has_capacity(self.view, Urgency.NORMAL))

    def test_routine_leaves_slots_free_and_urgent_may_exceed_the_slots(self) -> None:
        open_at = {
            urgency: [load for load in range(8) if self.has_capacity_at(load, urgency)]
            for urgency in Urgency
        }
        self.assertEqual(open_at[Urgency.ROUTINE], [0, 1, 2])
        self.assertEqual(open_at[Urgency.NORMAL], [0, 1, 2, 3])
        self.assertEqual(open_at[Urgency.URGENT], [0, 1, 2, 3, 4])

    def has_capacity_at(self, load: int, urgency: Urgency) -> bool:
        self.send(load - self.view.in_flight)
        self.assertEqual(
            self.view in self.table.open[MODEL][urgency],
            self.table.has_capacity(self.view, urgency),
        )
        return self.table.has_capacity(self.view, urgency)


class StateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = table(self.clock, engine("a", slots=8), slow_start_s=10.0)

    def test_leaving_target_has_no_capacity(self) -> None:
        view = self.table.targets[A]
        self.table.set_leaving(A)
        self.assertFalse(any(self.table.has_capacity(view, urgency) for urgency in Urgency))
        self.assertFalse(any(view in members for members in self.table.open[MODEL].values()))
        self.table.set_leaving(A, False)
        self.assertTrue(self.table.has_capacity(view, Urgency.ROUTINE))

    def test_limit_of_a_new_target_rises_gradually(self) -> None:
        view = self.table.add(engine("b", slots=8), slow_start=True)
        limits = []
        for _ in range(5):
            limits.append(self.table.limit(view, Urgency.NORMAL))
            self.clock.advance(2.5)
        self.assertEqual(limits, [1, 2, 4, 6, 8])
        self.assertFalse(view.on_trial)

    def test_removed_target_leaves_no_state_to_its_successor(self) -> None:
        view = self.table.targets[A]
        self.table.cache.add(view.number, blocks(1, 2))
        self.table.remove(A)
        self.assertFalse(any(len(members) for members in self.table.open[MODEL].values()))
        successor = self.table.add(engine("b"))
        self.assertEqual(successor.number, view.number)
        self.assertEqual(self.table.cache.depth(successor.number, blocks(1, 2)), 0)


class CacheEventsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = table(FakeClock(), engine("a"))
        self.view = self.table.targets[A]
        self.table.resync(A, 10, blocks(1, 2, 3))

    def depth(self) -> int:
        return self.table.cache.depth(self.view.number, blocks(1, 2, 3, 4))

    def apply(self, sequence: int, stored=(), removed=()) -> bool:
        return self.table.apply_cache_events(A, CacheEvents(sequence, list(stored), list(removed)))

    def test_batches_in_order_need_no_resync(self) -> None:
        self.assertFalse(self.apply(11, stored=[4]))
        self.assertFalse(self.apply(12, removed=[3, 4]))
        self.assertEqual(self.depth(), 2)

    def test_gap_requests_a_resync_until_it_arrives(self) -> None:
        self.assertTrue(self.apply(12, stored=[4]))
        self.assertTrue(self.apply(13))
        self.table.resync(A, 13, blocks(1))
        self.assertEqual(self.depth(), 1)
        self.assertFalse(self.apply(14))

    def test_batches_newer_than_the_resync_are_retained(self) -> None:
        self.apply(12)
        self.apply(13, removed=[2])
        self.table.resync(A, 12, blocks(1, 2, 3))
        self.assertEqual(self.depth(), 1)
        self.assertFalse(self.apply(14))

    def test_restarted_target_requests_a_resync(self) -> None:
        self.assertTrue(self.apply(1))

    def test_first_batch_requests_a_resync(self) -> None:
        self.table.add(engine("b"))
        self.assertTrue(self.table.apply_cache_events(TargetId("b"), CacheEvents(1)))


class CacheIndexTest(unittest.TestCase):
    @settings(deadline=None, max_examples=200, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["add", "remove", "replace", "drop"]),
                st.integers(0, 3),
                st.lists(st.integers(0, 9), max_size=6),
            ),
            max_size=40,
        )
    )
    def test_matches_simple_sets_and_stays_bounded(self, steps) -> None:
        index, small = CacheIndex(max_blocks=100), CacheIndex(max_blocks=3)
        held: dict[int, set[int]] = {holder: set() for holder in range(4)}
        for action, holder, changed in steps:
            for each in (index, small):
                each.drop(holder) if action == "drop" else getattr(each, action)(holder, changed)
            if action == "add":
                held[holder] |= set(changed)
            elif action == "remove":
                held[holder] -= set(changed)
            else:
                held[holder] = set(changed) if action == "replace" else set()
        for block in range(10):
            bits = sum(1 << holder for holder in held if block in held[holder])
            self.assertEqual(index.holders.get(block, 0), bits)
            self.assertEqual(index.deepest((block,))[1], bits)
        for each in (index, small):
            pairs = sum(bits.bit_count() for bits in each.holders.values())
            self.assertEqual(sum(len(blocks) for blocks in each.held.values()), pairs)
        self.assertLessEqual(len(small.holders), 3)

    def test_depth_of_a_prefix(self) -> None:
        index = CacheIndex(100)
        index.add(0, blocks(1, 2, 3, 4, 5))
        index.add(1, blocks(1, 2))
        self.assertEqual(index.deepest(blocks(1, 2, 3, 9)), (3, 0b01))
        self.assertEqual(index.depth(1, blocks(1, 2, 3, 9)), 2)
        self.assertEqual(index.deepest(blocks(8, 9)), (0, 0))


if __name__ == "__main__":
    unittest.main()
